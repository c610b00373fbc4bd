package config

import (
	"time"

	"fulmarwick/internal/state/store"
)

// conflict returns the changes of others that this one would undo.
func (t *attempt) conflict() error {
	var winners []Winner
	st := t.follower.now()
	for _, c := range t.changes {
		h, ok := st.rows[c.item.key()]
		if !ok || h.item.Version <= t.base || h.item.same(&c.item) {
			continue
		}
		winners = append(winners, Winner{
			Section: c.item.section(), Version: h.item.Version, Who: h.item.Who, At: time.Unix(h.item.At, 0),
		})
	}
	if len(winners) > 0 {
		return &ConflictError{Winners: winners}
	}
	return nil
}

// next is the state after the change and its problems.
func (t *attempt) next() (*state, []Problem) {
	next := t.follower.now().clone()
	for _, c := range t.changes {
		old, ok := next.rows[c.item.key()]
		if c.item.Gone && (!ok || old.item.Gone) {
			continue
		}
		h := &held{item: c.item}
		if ok {
			h.version = old.version
		}
		next.rows[c.item.key()] = h
	}
	return next, check(next, t.changes, t.Uses)
}

// writes are the rows that differ, the head and the log entry.
func (t *attempt) writes(next *state) ([]store.Write, uint64) {
	now := t.follower.now()
	target := now.head.Version + 1
	digest := now.digest
	var writes []store.Write
	t.entry.Version, t.entry.Sections = target, nil
	for _, c := range t.changes {
		key := c.item.key()
		old, ok := now.rows[key]
		i := next.rows[key].item
		if ok && old.item.same(&i) {
			continue
		}
		i.Version, i.Change, i.Who, i.At = target, t.entry.ID, t.entry.Who, t.entry.At
		value := encode(i)
		version := uint64(0)
		if ok {
			digest ^= digestOf(key, old.value)
			version = old.version
		}
		digest ^= digestOf(key, value)
		writes = append(writes, store.Put(key, version, value))
		t.entry.Sections = append(t.entry.Sections, i.section())
	}
	if len(writes) == 0 {
		return nil, target
	}
	h := head{Version: target, Change: t.entry.ID, Digest: digest}
	return append(writes,
		store.Put(headKey, now.headRow, encode(h)),
		store.Put(logKey(target), 0, encode(t.entry))), target
}
