package member

import (
	"slices"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/proto"
)

// Suspect notes that id did not answer. The suspicion spreads, and id is dead
// after a time unless it refutes.
func (t *Table) Suspect(now time.Duration, id spec.InstanceID) {
	r := t.index[id]
	if r == nil || !isLive(&r.record) {
		return
	}
	rec := r.record
	rec.State = proto.StateSuspect
	rec.SuspectedBy = t.Local.ID
	t.ApplyRecord(now, rec)
}

// Tick turns suspects whose time is over into dead ones.
func (t *Table) Tick(now time.Duration) {
	t.now = now
	for _, r := range slices.Clone(t.suspects) {
		if now < r.deadAt {
			continue
		}
		rec := r.record
		rec.State = proto.StateDead
		rec.SuspectedBy = ""
		t.replace(r, rec)
	}
	t.pruneDead()
}

// ExtendSuspicions gives all suspects more time: the own instance was paused, and
// their answers wait unread.
func (t *Table) ExtendSuspicions(now time.Duration) {
	for _, r := range t.suspects {
		r.deadAt = max(r.deadAt, now+MinSuspicionTimeout)
	}
}

// updateSuspicion starts or ends the wait of a row by its state.
func (t *Table) updateSuspicion(r *row) {
	t.suspects = slices.DeleteFunc(t.suspects, func(w *row) bool { return w == r })
	r.suspectedBy = nil
	if r.record.State != proto.StateSuspect {
		return
	}
	r.suspectedBy = []spec.InstanceID{r.record.SuspectedBy}
	r.deadAt = t.now + t.suspicionTimeout(1)
	t.suspects = append(t.suspects, r)
}

// confirmSuspicion counts another instance that suspects the same incarnation. Each
// one shortens the time, since one bad link alone does not suspect twice.
func (t *Table) confirmSuspicion(r *row, rec proto.Record) bool {
	if slices.Contains(r.suspectedBy, rec.SuspectedBy) || len(r.suspectedBy) > MaxConfirmations {
		return false
	}
	r.suspectedBy = append(r.suspectedBy, rec.SuspectedBy)
	r.deadAt = min(r.deadAt, r.changedAt+t.suspicionTimeout(len(r.suspectedBy)))
	t.updates = append(t.updates, rec)
	return true
}

// pruneDead forgets the dead after Keep.
func (t *Table) pruneDead() {
	if t.now-t.prunedAt < DeadTTL/60 {
		return
	}
	t.prunedAt = t.now
	t.rows = slices.DeleteFunc(t.rows, func(r *row) bool {
		if isLive(&r.record) || t.now-r.changedAt < DeadTTL {
			return false
		}
		delete(t.index, r.record.ID)
		return true
	})
}
