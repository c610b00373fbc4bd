package domain_test

import (
	"testing"
	"time"

	"fulmarwick/internal/route/domain"
)

// A link degrades, hovers around the limit and then recovers. The engine must
// count as slow after two bad reports and as fast again after five good ones.
// A single bad report and the hovering must change nothing, so that new work
// moves away once and back once.
func TestSlowLinkStateChangesOnce(t *testing.T) {
	state := &domain.RoutingState{}
	state.Apply(domain.EngineReport{Engine: domain.Engine{ID: "e", ReportedHopTime: time.Millisecond, Seq: 1}})
	e := state.Engines().Get("e")
	changes, last := 0, false
	report := func(ms ...int) {
		for _, m := range ms {
			state.Apply(domain.HopMeasured{Engine: "e", P50: time.Duration(m) * time.Millisecond, Count: 9})
			if e.HasSlowLink() != last {
				changes++
				last = e.HasSlowLink()
			}
		}
	}
	report(1, 20, 1, 1)
	if e.HasSlowLink() {
		t.Error("one bad report: got slow, want not")
	}
	report(20, 20)
	if !e.HasSlowLink() {
		t.Error("two bad reports: got not slow, want slow")
	}
	report(5, 7, 5, 2, 7, 4, 2, 2, 7, 5)
	if !e.HasSlowLink() || changes != 1 {
		t.Errorf("hovering: got slow %v after %d changes, want slow after 1", e.HasSlowLink(), changes)
	}
	report(1, 1, 1, 1, 1)
	if e.HasSlowLink() || changes != 2 {
		t.Errorf("recovered: got slow %v after %d changes, want not slow after 2", e.HasSlowLink(), changes)
	}
}
