package world_test

import (
	"testing"
	"time"

	"fulmarwick/internal/route/world"
)

// A link degrades: after two bad reports the engine counts as slow. It hovers
// around the limit, then heals. New work leaves it once and comes back once;
// a single bad report and the hovering change nothing.
func TestSlowLinkIsLeftOnceAndTakenBackOnce(t *testing.T) {
	w := &world.World{}
	w.Apply(world.EngineSeen{Engine: world.Engine{ID: "e", Hop: time.Millisecond, Seq: 1}})
	e := w.Engines().Get("e")
	changes, last := 0, false
	report := func(ms ...int) {
		for _, m := range ms {
			w.Apply(world.HopTimed{Engine: "e", P50: time.Duration(m) * time.Millisecond, Count: 9})
			if e.Slow() != last {
				changes++
				last = e.Slow()
			}
		}
	}
	report(1, 20, 1, 1)
	if e.Slow() {
		t.Error("one bad report: got slow, want not")
	}
	report(20, 20)
	if !e.Slow() {
		t.Error("two bad reports: got not slow, want slow")
	}
	report(5, 7, 5, 2, 7, 4, 2, 2, 7, 5)
	if !e.Slow() || changes != 1 {
		t.Errorf("hovering: got slow %v after %d changes, want slow after 1", e.Slow(), changes)
	}
	report(1, 1, 1, 1, 1)
	if e.Slow() || changes != 2 {
		t.Errorf("healed: got slow %v after %d changes, want not slow after 2", e.Slow(), changes)
	}
}
