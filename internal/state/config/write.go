package config

import (
	"time"

	"fulmarwick/internal/state/store"
)

// checkConflict returns the changes of others that this one would undo.
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

// nextState is the state after the change and its problems.
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

// buildWrites are the rows that differ, the head and the log entry.
func (t *attempt) buildWrites(next *state) ([]store.Write, uint64) {
	now := t.follower.currentState()
	target := now.head.Version + 1
	digest := now.digest
	var writes []store.Write
	t.entry.Version, t.entry.Sections = target, nil
	for _, c := range t.changes {
		key := c.item.key()
		old, ok := now.rows[key]
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
		store.Put(headKey, now.headRowVersion, encode(h)),
		store.Put(historyKey(target), 0, encode(t.entry))), target
}
