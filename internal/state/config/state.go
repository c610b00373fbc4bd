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
	rows    map[string]*held
	head    head
	headRow uint64
	// since is the highest version of a row.
	since  uint64
	digest uint64
	last   *item
}

func newState() *state { return &state{rows: map[string]*held{}} }

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
	if s.last != nil && s.last.Change == i.Change {
		// Rows of one change share its words; 37,000 copies take 3 MB.
		i.Change, i.Who = s.last.Change, s.last.Who
	}
	s.digest ^= digestOf(row.Key(), row.Value())
	h := &held{version: row.Version(), value: row.Value(), item: i}
	s.rows[row.Key()], s.last = h, &h.item
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
	if !ok || h.item.Gone {
		return item{}, false
	}
	return h.item, true
}

// items are the definitions in force in order of their keys.
func (s *state) items() []*item {
	out := make([]*item, 0, len(s.rows))
	for _, key := range sortedKeys(s.rows) {
		if i := &s.rows[key].item; !i.Gone {
			out = append(out, i)
		}
	}
	return out
}
