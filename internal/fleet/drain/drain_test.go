package drain_test

import (
	"testing"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/drain"
)

// An instance stops while one of its peers does not answer. It keeps its
// watches until all know, at most for the time that failure detection needs,
// and its goodbye does not wait for the silent one for ever.
func TestSilentPeerDelaysButDoesNotHold(t *testing.T) {
	var d drain.Drain
	peers := []spec.InstanceID{"a", "b"}
	d.Begin(0, peers)
	d.Heard(time.Millisecond, "a")
	for _, c := range []struct {
		at   time.Duration
		want drain.Phase
	}{{drain.Overlap, drain.PhaseHanding}, {drain.HandMost, drain.PhaseHanded}} {
		d.Tick(c.at)
		if got := d.Phase(); got != c.want {
			t.Errorf("got %v at %v, want %v", got, c.at, c.want)
		}
	}
	d.Bye(time.Minute, peers)
	d.Heard(time.Minute, "b")
	if d.Tick(time.Minute); d.Phase() != drain.PhaseGoodbye {
		t.Errorf("got %v before all heard the goodbye, want it to go on", d.Phase())
	}
	if d.Tick(time.Minute + drain.ByeMost); d.Phase() != drain.PhaseDone {
		t.Errorf("got %v after the longest goodbye, want done", d.Phase())
	}
}

func TestAllHeardEndsTheWaitAfterTheOverlap(t *testing.T) {
	var d drain.Drain
	d.Begin(0, []spec.InstanceID{"a"})
	d.Heard(100*time.Millisecond, "a")
	if d.Tick(drain.Overlap); d.Phase() != drain.PhaseHanding {
		t.Errorf("got %v, want the watches kept for the overlap", d.Phase())
	}
	if !d.Tick(100*time.Millisecond+drain.Overlap) || d.Phase() != drain.PhaseHanded {
		t.Errorf("got %v, want handed over", d.Phase())
	}
	d.Bye(time.Minute, nil)
	if !d.Tick(time.Minute) || d.Phase() != drain.PhaseDone {
		t.Errorf("got %v with nobody to tell, want done", d.Phase())
	}
}
