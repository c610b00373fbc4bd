package drain_test

import (
	"testing"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/drain"
)

// An instance stops while one of its peers does not answer. It must keep its
// watches until all peers know, at most for the time that failure detection
// needs, and must not wait for the unresponsive peer for ever when it leaves.
func TestUnresponsivePeerDoesNotBlockStop(t *testing.T) {
	var d drain.Drainer
	peers := []spec.InstanceID{"a", "b"}
	d.Begin(0, peers)
	d.RecordAck(time.Millisecond, "a")
	for _, c := range []struct {
		at   time.Duration
		want drain.Phase
	}{{drain.WatchOverlap, drain.PhaseHandingOver}, {drain.MaxHandOverWait, drain.PhaseHandedOver}} {
		d.Tick(c.at)
		if got := d.Phase(); got != c.want {
			t.Errorf("got %v at %v, want %v", got, c.at, c.want)
		}
	}
	d.BeginLeave(time.Minute, peers)
	d.RecordAck(time.Minute, "b")
	if d.Tick(time.Minute); d.Phase() != drain.PhaseLeaving {
		t.Errorf("got %v before all peers acknowledged, want leaving", d.Phase())
	}
	if d.Tick(time.Minute + drain.MaxLeaveWait); d.Phase() != drain.PhaseDone {
		t.Errorf("got %v after MaxLeaveWait, want done", d.Phase())
	}
}

func TestHandOverEndsAfterAllAcksAndOverlap(t *testing.T) {
	var d drain.Drainer
	d.Begin(0, []spec.InstanceID{"a"})
	d.RecordAck(100*time.Millisecond, "a")
	if d.Tick(drain.WatchOverlap); d.Phase() != drain.PhaseHandingOver {
		t.Errorf("got %v, want the watches kept for the overlap", d.Phase())
	}
	if !d.Tick(100*time.Millisecond+drain.WatchOverlap) || d.Phase() != drain.PhaseHandedOver {
		t.Errorf("got %v, want handed over", d.Phase())
	}
	d.BeginLeave(time.Minute, nil)
	if !d.Tick(time.Minute) || d.Phase() != drain.PhaseDone {
		t.Errorf("got %v without peers, want done", d.Phase())
	}
}
