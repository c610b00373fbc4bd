// Package drain is the graceful stop of an instance in the fleet. First its
// duties and watches are handed over, then its own requests end within their
// time limit, and at last its peers acknowledge that it leaves before it stops
// sending.
//
// It imports base/spec. Package node drives it.
package drain

import (
	"slices"
	"time"

	"fulmarwick/internal/base/spec"
)

// Phase is the progress of a stop.
type Phase int

//go:generate stringer -type=Phase -linecomment -output=phase_string.go

// The phases, in order.
const (
	PhaseServing     Phase = iota // serving
	PhaseHandingOver              // handing over
	PhaseHandedOver               // handed over
	PhaseLeaving                  // saying goodbye
	PhaseDone                     // done
)

// Time limits of a stop.
const (
	// WatchOverlap is how long the watches are kept after the peers know
	// of the stop, so that the new watchers have polled once before the
	// last poll here.
	WatchOverlap = time.Second
	// MaxHandOverWait bounds the wait for peers that do not answer during
	// the hand-over. After it, their failure detection does the rest.
	MaxHandOverWait = 5 * time.Second
	// MaxLeaveWait is the same bound while leaving.
	MaxLeaveWait = 2 * time.Second
)

// Drainer is the state of a stop. The zero value has not begun to stop.
type Drainer struct {
	phase      Phase
	phaseStart time.Duration
	pending    []spec.InstanceID
	allAckedAt time.Duration
}

// Phase returns the current phase.
func (d *Drainer) Phase() Phase { return d.phase }

// Stopping reports whether a stop began.
func (d *Drainer) Stopping() bool { return d.phase != PhaseServing }

// Begin starts the stop. All peers must acknowledge it.
func (d *Drainer) Begin(now time.Duration, peers []spec.InstanceID) {
	if d.phase == PhaseServing {
		d.enter(now, PhaseHandingOver, peers)
	}
}

// BeginLeave starts the last phase, once no work is in progress here.
func (d *Drainer) BeginLeave(now time.Duration, peers []spec.InstanceID) {
	if d.phase < PhaseLeaving {
		d.enter(now, PhaseLeaving, peers)
	}
}

// RecordAck records that a peer answered the announcement of the current
// phase.
func (d *Drainer) RecordAck(now time.Duration, peer spec.InstanceID) {
	pendingBefore := len(d.pending)
	d.pending = slices.DeleteFunc(d.pending, func(id spec.InstanceID) bool { return id == peer })
	if pendingBefore > 0 && len(d.pending) == 0 {
		d.allAckedAt = now
	}
}

// Pending returns the peers that have not answered yet.
func (d *Drainer) Pending() []spec.InstanceID { return d.pending }

// Tick advances the stop and reports whether a phase ended.
func (d *Drainer) Tick(now time.Duration) bool {
	switch d.phase {
	case PhaseHandingOver:
		if d.allAcked(now, WatchOverlap) || now-d.phaseStart >= MaxHandOverWait {
			d.phase = PhaseHandedOver
			return true
		}
	case PhaseLeaving:
		if d.allAcked(now, 0) || now-d.phaseStart >= MaxLeaveWait {
			d.phase = PhaseDone
			return true
		}
	}
	return false
}

func (d *Drainer) allAcked(now, overlap time.Duration) bool {
	return len(d.pending) == 0 && now-d.allAckedAt >= overlap
}

func (d *Drainer) enter(now time.Duration, p Phase, peers []spec.InstanceID) {
	d.phase = p
	d.phaseStart = now
	d.allAckedAt = now
	d.pending = slices.Clone(peers)
}
