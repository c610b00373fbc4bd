// Package drain is the graceful stop of an instance among the others: its
// duties and watches pass on first, its own requests end in their time, and
// its goodbye is heard before it falls silent.
//
// It imports base/spec. Package node drives it.
package drain

import (
	"slices"
	"time"

	"fulmarwick/internal/base/spec"
)

// Phase is how far a stop got.
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

// Times of a stop.
const (
	// WatchOverlap is how long the watches are kept after the others know, so that
	// their first polls are done before the last one here.
	WatchOverlap = time.Second
	// MaxHandOverWait and ByeMost bound the wait for others that do not answer; their
	// failure detection does the rest.
	MaxHandOverWait = 5 * time.Second
	MaxLeaveWait    = 2 * time.Second
)

// Drainer is the state of a stop. The zero value serves.
type Drainer struct {
	phase      Phase
	phaseStart time.Duration
	pending    []spec.InstanceID
	allAckedAt time.Duration
}

// Phase is how far the stop got.
func (d *Drainer) Phase() Phase { return d.phase }

// Stopping reports whether a stop began.
func (d *Drainer) Stopping() bool { return d.phase != PhaseServing }

// Begin starts the stop; peers must all hear of it.
func (d *Drainer) Begin(now time.Duration, peers []spec.InstanceID) {
	if d.phase == PhaseServing {
		d.enter(now, PhaseHandingOver, peers)
	}
}

// BeginLeave starts the goodbye, once nothing is in progress here.
func (d *Drainer) BeginLeave(now time.Duration, peers []spec.InstanceID) {
	if d.phase < PhaseLeaving {
		d.enter(now, PhaseLeaving, peers)
	}
}

// RecordAck notes that a peer answered a message that said so.
func (d *Drainer) RecordAck(now time.Duration, peer spec.InstanceID) {
	had := len(d.pending)
	d.pending = slices.DeleteFunc(d.pending, func(id spec.InstanceID) bool { return id == peer })
	if had > 0 && len(d.pending) == 0 {
		d.allAckedAt = now
	}
}

// Pending returns the peers that did not answer yet.
func (d *Drainer) Pending() []spec.InstanceID { return d.pending }

// Tick moves on and reports whether a phase ended.
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

func (d *Drainer) allAcked(now, after time.Duration) bool {
	return len(d.pending) == 0 && now-d.allAckedAt >= after
}

func (d *Drainer) enter(now time.Duration, p Phase, peers []spec.InstanceID) {
	d.phase = p
	d.phaseStart = now
	d.allAckedAt = now
	d.pending = slices.Clone(peers)
}
