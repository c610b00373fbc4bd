package config

import (
	"maps"

	"fulmarwick/internal/state/store"
)

// storedRow is a row as this instance last read it.
type storedRow struct {
	version uint64
	value   []byte
	item    item
}

// state holds all rows of one head. It is not changed after it is activated.
type state struct {
	rows           map[string]*storedRow
	head           head
	headRowVersion uint64
	// maxVersion is the highest version of a row.
	maxVersion uint64
	digest     uint64
	lastItem   *item
}

func newState() *state { return &state{rows: map[string]*storedRow{}} }

func (s *state) clone() *state {
	c := *s
	c.rows = maps.Clone(s.rows)
	return &c
}

// put stores a row unless the same or a later version of it is present.
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
		s.digest ^= rowDigest(row.Key(), old.value)
	}
	if s.lastItem != nil && s.lastItem.ChangeID == i.ChangeID {
		// Rows of one change share its ID and author strings; 37,000 copies
		// take 3 MB.
		i.ChangeID, i.Author = s.lastItem.ChangeID, s.lastItem.Author
	}
	s.digest ^= rowDigest(row.Key(), row.Value())
	h := &storedRow{version: row.Version(), value: row.Value(), item: i}
	s.rows[row.Key()], s.lastItem = h, &h.item
	s.maxVersion = max(s.maxVersion, row.Version())
	return nil
}

func (s *state) putHead(row store.Row) error {
	if row.Version() <= s.headRowVersion {
		return nil
	}
	h, err := decodeHead(row.Value())
	if err != nil {
		return err
	}
	s.head, s.headRowVersion = h, row.Version()
	s.maxVersion = max(s.maxVersion, row.Version())
	return nil
}

// isConsistent reports whether the rows are exactly those of the head. Stale reads can
// mix rows of different changes. The digest detects such a mixture, which is never
// activated.
func (s *state) isConsistent() bool { return s.digest == s.head.Digest }

// item returns the item if it exists and is not deleted.
func (s *state) item(sort ItemKind, name string) (item, bool) {
	h, ok := s.rows[rowKey(sort, name)]
	if !ok || h.item.Deleted {
		return item{}, false
	}
	return h.item, true
}

// items returns all items that are not deleted, ordered by key.
func (s *state) items() []*item {
	out := make([]*item, 0, len(s.rows))
	for _, key := range sortedKeys(s.rows) {
		if i := &s.rows[key].item; !i.Deleted {
			out = append(out, i)
		}
	}
	return out
}
