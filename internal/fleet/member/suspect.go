package member

import (
	"slices"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/talk"
)

// Suspect notes that id did not answer. The suspicion spreads, and id is dead
// after a time unless it refutes.
func (t *Table) Suspect(now time.Duration, id spec.InstanceID) {
	r := t.index[id]
	if r == nil || !live(&r.rec) {
		return
	}
	rec := r.rec
	rec.State = talk.StateSuspect
	rec.By = t.Self.ID
	t.Learn(now, rec)
}

// Tick turns suspects whose time is over into dead ones.
func (t *Table) Tick(now time.Duration) {
	t.now = now
	for _, r := range slices.Clone(t.waits) {
		if now < r.until {
			continue
		}
		rec := r.rec
		rec.State = talk.StateDead
		rec.By = ""
		t.replace(r, rec)
	}
	t.prune()
}

// Postpone gives all suspects more time: the own instance was paused, and
// their answers wait unread.
func (t *Table) Postpone(now time.Duration) {
	for _, r := range t.waits {
		r.until = max(r.until, now+SuspectMin)
	}
}

// suspected starts or ends the wait of a row by its state.
func (t *Table) suspected(r *row) {
	t.waits = slices.DeleteFunc(t.waits, func(w *row) bool { return w == r })
	r.by = nil
	if r.rec.State != talk.StateSuspect {
		return
	}
	r.by = []spec.InstanceID{r.rec.By}
	r.until = t.now + t.patience(1)
	t.waits = append(t.waits, r)
}

// confirm counts another instance that suspects the same incarnation. Each
// one shortens the time, since one bad link alone does not suspect twice.
func (t *Table) confirm(r *row, rec talk.Record) bool {
	if slices.Contains(r.by, rec.By) || len(r.by) > Confirms {
		return false
	}
	r.by = append(r.by, rec.By)
	r.until = min(r.until, r.since+t.patience(len(r.by)))
	t.spread = append(t.spread, rec)
	return true
}

// prune forgets the dead after Keep.
func (t *Table) prune() {
	if t.now-t.pruned < Keep/60 {
		return
	}
	t.pruned = t.now
	t.rows = slices.DeleteFunc(t.rows, func(r *row) bool {
		if live(&r.rec) || t.now-r.since < Keep {
			return false
		}
		delete(t.index, r.rec.ID)
		return true
	})
}
