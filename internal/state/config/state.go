package config

import (
	"maps"

	"fulmarwick/internal/state/store"
)

// held is a row as this instance knows it.
type held struct {
	version uint64
	value   []byte
	item    item
}

// state is all rows at one head. It never changes once it was taken.
type state struct {
	rows    map[string]held
	head    head
	headRow uint64
	// since is the highest version of a row.
	since  uint64
	digest uint64
}

func newState() *state { return &state{rows: map[string]held{}} }

func (s *state) clone() *state {
	c := *s
	c.rows = maps.Clone(s.rows)
	return &c
}

// put takes a row unless a later one is there.
func (s *state) put(row store.Row) error {
	if row.Key() == headKey {
		return s.putHead(row)
	}
	old, ok := s.rows[row.Key()]
	if ok && old.version >= row.Version() {
		return nil
	}
	i, err := decodeItem(row.Value())
	if err != nil {
		return err
	}
	if ok {
		s.digest ^= digestOf(row.Key(), old.value)
	}
	s.digest ^= digestOf(row.Key(), row.Value())
	s.rows[row.Key()] = held{version: row.Version(), value: row.Value(), item: i}
	s.since = max(s.since, row.Version())
	return nil
}

func (s *state) putHead(row store.Row) error {
	if row.Version() <= s.headRow {
		return nil
	}
	h, err := decodeHead(row.Value())
	if err != nil {
		return err
	}
	s.head, s.headRow = h, row.Version()
	s.since = max(s.since, row.Version())
	return nil
}

// whole reports whether the rows are just those of the head. Stale reads can
// mix rows of different changes; the digest shows it, and such a mixture is
// never put in force.
func (s *state) whole() bool { return s.digest == s.head.Digest }

// item returns the definition in force, if there is one.
func (s *state) item(sort Sort, name string) (item, bool) {
	h, ok := s.rows[rowKey(sort, name)]
	return h.item, ok && !h.item.Gone
}

// items are the definitions in force in order of their keys.
func (s *state) items() []item {
	var out []item
	for _, key := range sortedKeys(s.rows) {
		if i := s.rows[key].item; !i.Gone {
			out = append(out, i)
		}
	}
	return out
}
