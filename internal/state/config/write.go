package config

import (
	"time"

	"fulmarwick/internal/state/store"
)

// checkConflict returns a ConflictError with the changes by others that this change
// would overwrite.
func (t *attempt) checkConflict() error {
	var winners []Winner
	st := t.follower.currentState()
	for _, c := range t.changes {
		h, ok := st.rows[c.item.key()]
		if !ok || h.item.Version <= t.baseVersion || h.item.sameDefinition(&c.item) {
			continue
		}
		winners = append(winners, Winner{
			Section: c.item.sectionName(), Version: h.item.Version, Author: h.item.Author, At: time.Unix(h.item.At, 0),
		})
	}
	if len(winners) > 0 {
		return &ConflictError{Winners: winners}
	}
	return nil
}

// nextState returns the state after the change, and the problems of that state.
func (t *attempt) nextState() (*state, []Problem) {
	next := t.follower.currentState().clone()
	for _, c := range t.changes {
		old, ok := next.rows[c.item.key()]
		if c.item.Deleted && (!ok || old.item.Deleted) {
			continue
		}
		h := &storedRow{item: c.item}
		if ok {
			h.version = old.version
		}
		next.rows[c.item.key()] = h
	}
	return next, check(next, t.changes, t.TeamInUse)
}

// buildWrites returns the writes of the changed rows, the head and the history entry,
// and the version that they lead to. There are none if no row changes.
func (t *attempt) buildWrites(next *state) ([]store.Write, uint64) {
	current := t.follower.currentState()
	target := current.head.Version + 1
	digest := current.digest
	var writes []store.Write
	t.entry.Version, t.entry.Sections = target, nil
	for _, c := range t.changes {
		key := c.item.key()
		old, ok := current.rows[key]
		i := next.rows[key].item
		if ok && old.item.sameDefinition(&i) {
			continue
		}
		i.Version, i.ChangeID, i.Author, i.At = target, t.entry.ID, t.entry.Author, t.entry.At
		value := encode(i)
		version := uint64(0)
		if ok {
			digest ^= rowDigest(key, old.value)
			version = old.version
		}
		digest ^= rowDigest(key, value)
		writes = append(writes, store.Put(key, version, value))
		t.entry.Sections = append(t.entry.Sections, i.sectionName())
	}
	if len(writes) == 0 {
		return nil, target
	}
	h := head{Version: target, ChangeID: t.entry.ID, Digest: digest}
	return append(writes,
		store.Put(headKey, current.headRowVersion, encode(h)),
		store.Put(historyKey(target), 0, encode(t.entry))), target
}
