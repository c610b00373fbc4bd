package rank_test

import (
	"fmt"
	"testing"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/rank"
)

func instanceIDs(n int) []spec.InstanceID {
	var out []spec.InstanceID
	for i := range n {
		out = append(out, spec.InstanceID(fmt.Sprintf("i%d", i)))
	}
	return out
}

func TestAddedInstanceMovesOneKeyInN(t *testing.T) {
	const keys, n = 10_000, 19
	before, after := instanceIDs(n), instanceIDs(n+1)
	moved := 0
	for k := range keys {
		key := fmt.Sprint("key", k)
		oldTop, newTop := rank.Top(key, before, 1)[0], rank.Top(key, after, 1)[0]
		if oldTop == newTop {
			continue
		}
		moved++
		if newTop != after[n] {
			t.Errorf("got %s moved from %s to %s, want it moved to the new instance only", key, oldTop, newTop)
		}
	}
	if got, want := moved, keys/(n+1); got < want*8/10 || got > want*12/10 {
		t.Errorf("got %d keys moved, want about %d", got, want)
	}
}

func TestTopDoesNotDependOnOrder(t *testing.T) {
	ids := instanceIDs(9)
	want := fmt.Sprint(rank.Top("k", ids, 3))
	for range ids {
		ids = append(ids[1:], ids[0])
		if got := fmt.Sprint(rank.Top("k", ids, 3)); got != want {
			t.Errorf("got %s, want %s", got, want)
		}
	}
	if got := rank.Top("k", nil, 3); len(got) != 0 {
		t.Errorf("got %v for no IDs, want none", got)
	}
}
