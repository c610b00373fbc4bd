package config_test

import (
	"fmt"
	"os"
	"runtime"
	"strings"
	"testing"

	"fulmarwick/internal/fakes/infra"
	"fulmarwick/internal/state/config"
)

// The example in the operators' documentation is accepted unchanged.
func TestDocumentedExampleIsAccepted(t *testing.T) {
	page, err := os.ReadFile("../../../docs/operate/config.md")
	if err != nil {
		t.Fatal(err)
	}
	var example strings.Builder
	for _, line := range strings.Split(string(page), "\n") {
		if text, ok := strings.CutPrefix(line, "    "); ok {
			example.WriteString(text + "\n")
		}
	}
	table := &infra.Table{}
	mustApply(t, table, document(example.String()))
	s, err := (&config.Applier{Table: table}).ReadSnapshot(t.Context())
	if err != nil || len(s.Classes()) != 2 || len(s.Teams()) != 1 {
		t.Errorf("got %d classes and %d teams %v, want 2 and 1", len(s.Classes()), len(s.Teams()), err)
	}
}

// heapBytes returns the heap memory in use after a garbage collection.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkManyTeams measures how long a follower takes to read a change of one of many
// teams, up to the planned size of 37,000 teams.
func BenchmarkManyTeams(b *testing.B) {
	for _, n := range []int{10, 1000, 37000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var text strings.Builder
			for i := range n {
				fmt.Fprintf(&text, "[team t%d]\nkey-hash = %s\n", i, config.HashKey(fmt.Sprint(i)))
			}
			table := &infra.Table{}
			a := &config.Applier{Table: table}
			put := func(docs []config.Document) {
				if _, err := a.Apply(b.Context(), config.Change{Documents: docs}); err != nil {
					b.Fatal(err)
				}
			}
			put(document(text.String()))
			before := heapBytes()
			f := &config.Follower{Table: table, Active: &config.Active{}}
			if err := f.Poll(b.Context()); err != nil {
				b.Fatal(err)
			}
			used := heapBytes() - before
			share := 1
			for b.Loop() {
				b.StopTimer()
				share++
				put(document(fmt.Sprintf("[team t1]\nkey-hash = %s\nshare = %d\n", config.HashKey("1"), share)))
				b.StartTimer()
				if err := f.Poll(b.Context()); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(used), "bytes/follower")
			b.ReportMetric(float64(len(f.Active.Snapshot().Encode())), "bytes/snapshot")
		})
	}
}
