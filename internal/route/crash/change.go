package crash

import "time"

// Change is a change of the standing of a suspect that follows from what was recorded here.
type Change struct {
	Key      Key
	Kind     EventKind
	Standing Standing
	// Own means that this instance is to report the change: it sent a request of the suspect
	// when an upstream crashed, or cleared the suspect.
	Own bool
	// Lifted means that the change lifts a restriction. Otherwise a clearance keeps other
	// instances from one.
	Lifted bool
	// Ended is the number of upstreams that ended under the suspect.
	Ended int
	// At is when the last one ended, or the time before which crashes are cleared.
	At time.Duration
}

// TakeChanges returns the changes since the last call.
func (t *Tracker) TakeChanges() []Change {
	out := t.changes
	t.changes = nil
	return out
}

func (t *Tracker) recordChange(key Key, s suspect) {
	t.changes = append(t.changes, Change{Key: key, Kind: s.standing.event(), Standing: s.standing, Own: s.own, Lifted: s.standing == StandingFree, Ended: len(s.ended), At: s.lastCrash})
}

// Event returns the event that reports the change to other instances.
func (c Change) Event(now time.Duration) Event {
	return Event{Fingerprint: c.Key.Fingerprint, IsPart: c.Key.IsPart, Kind: c.Kind, AgeMs: (now - c.At).Milliseconds()}
}

// event returns the kind of event that reports a standing.
func (s Standing) event() EventKind {
	switch s {
	case StandingCulprit:
		return EventVerdict
	case StandingQuarantined:
		return EventQuarantine
	}
	return EventClearance
}
