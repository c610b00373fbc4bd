package spec_test

import (
	"fmt"
	"slices"
	"testing"

	"fulmarwick/internal/base/spec"
)

func ExampleRevision() {
	before, after := spec.NewRevision(1, 97), spec.NewRevision(2, 85)
	fmt.Println(before, after, before < after)
	// Output: 1.97 2.85 true
}

// Guards against versions of an earlier era that count as later because their number is higher.
func TestRevisionsOrderByEraFirst(t *testing.T) {
	var got []spec.Revision
	for _, era := range []uint64{0, 1, 2, 1 << 19} {
		for _, version := range []uint64{1, 97, 1 << 43} {
			r := spec.NewRevision(era, version)
			if r.Era() != era || r.Version() != version {
				t.Errorf("got era %d and version %d, want %d and %d", r.Era(), r.Version(), era, version)
			}
			got = append(got, r)
		}
	}
	if !slices.IsSorted(got) {
		t.Errorf("got %v, want it sorted", got)
	}
}
