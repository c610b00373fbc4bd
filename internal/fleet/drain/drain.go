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
	PhaseServing Phase = iota // serving
	PhaseHanding              // handing over
	PhaseHanded               // handed over
	PhaseGoodbye              // saying goodbye
	PhaseDone                 // done
)

// Times of a stop.
const (
	// Overlap is how long the watches are kept after the others know, so that
	// their first polls are done before the last one here.
	Overlap = time.Second
	// HandMost and ByeMost bound the wait for others that do not answer; their
	// failure detection does the rest.
	HandMost = 5 * time.Second
	ByeMost  = 2 * time.Second
)

// Drain is the state of a stop. The zero value serves.
type Drain struct {
	phase Phase
	since time.Duration
	waits []spec.InstanceID
	known time.Duration
}

// Phase is how far the stop got.
func (d *Drain) Phase() Phase { return d.phase }

// Stopping reports whether a stop began.
func (d *Drain) Stopping() bool { return d.phase != PhaseServing }

// Begin starts the stop; peers must all hear of it.
func (d *Drain) Begin(now time.Duration, peers []spec.InstanceID) {
	if d.phase == PhaseServing {
		d.enter(now, PhaseHanding, peers)
	}
}

// Bye starts the goodbye, once nothing is in progress here.
func (d *Drain) Bye(now time.Duration, peers []spec.InstanceID) {
	if d.phase < PhaseGoodbye {
		d.enter(now, PhaseGoodbye, peers)
	}
}

// Heard notes that a peer answered a message that said so.
func (d *Drain) Heard(now time.Duration, peer spec.InstanceID) {
	had := len(d.waits)
	d.waits = slices.DeleteFunc(d.waits, func(id spec.InstanceID) bool { return id == peer })
	if had > 0 && len(d.waits) == 0 {
		d.known = now
	}
}

// Waits returns the peers that did not answer yet.
func (d *Drain) Waits() []spec.InstanceID { return d.waits }

// Tick moves on and reports whether a phase ended.
func (d *Drain) Tick(now time.Duration) bool {
	switch d.phase {
	case PhaseHanding:
		if d.heard(now, Overlap) || now-d.since >= HandMost {
			d.phase = PhaseHanded
			return true
		}
	case PhaseGoodbye:
		if d.heard(now, 0) || now-d.since >= ByeMost {
			d.phase = PhaseDone
			return true
		}
	}
	return false
}

func (d *Drain) heard(now, after time.Duration) bool {
	return len(d.waits) == 0 && now-d.known >= after
}

func (d *Drain) enter(now time.Duration, p Phase, peers []spec.InstanceID) {
	d.phase = p
	d.since = now
	d.known = now
	d.waits = slices.Clone(peers)
}
