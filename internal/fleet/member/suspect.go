package member

import (
	"slices"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/proto"
)

// Suspect records that id did not answer. The suspicion spreads, and id is
// declared dead after a time unless it refutes the suspicion.
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

// Tick declares suspects dead whose time is over.
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

// ExtendSuspicions gives all suspects more time after this process was paused,
// since their answers may wait unread.
func (t *Table) ExtendSuspicions(now time.Duration) {
	for _, r := range t.suspects {
		r.deadAt = max(r.deadAt, now+MinSuspicionTimeout)
	}
}

// updateSuspicion starts or ends the suspicion timeout of a row according to
// its state.
func (t *Table) updateSuspicion(r *row) {
	t.suspects = slices.DeleteFunc(t.suspects, func(other *row) bool { return other == r })
	r.suspectedBy = nil
	if r.record.State != proto.StateSuspect {
		return
	}
	r.suspectedBy = []spec.InstanceID{r.record.SuspectedBy}
	r.deadAt = t.now + t.suspicionTimeout(1)
	t.suspects = append(t.suspects, r)
}

// confirmSuspicion records that another instance suspects the same
// incarnation. Each confirmation shortens the timeout, since one bad link
// alone does not cause two suspicions.
func (t *Table) confirmSuspicion(r *row, rec proto.Record) bool {
	if slices.Contains(r.suspectedBy, rec.SuspectedBy) || len(r.suspectedBy) > MaxConfirmations {
		return false
	}
	r.suspectedBy = append(r.suspectedBy, rec.SuspectedBy)
	r.deadAt = min(r.deadAt, r.changedAt+t.suspicionTimeout(len(r.suspectedBy)))
	t.updates = append(t.updates, rec)
	return true
}

// pruneDead drops dead members after DeadTTL.
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
