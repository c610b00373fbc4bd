// Package feed follows tables of the platform's store: it reads a table whole
// once, then only what changed, and merges what other instances learned.
//
// It imports the errors and log libraries. The adapter of the platform
// implements Source; app/edge follows the operator's configuration and the
// list of upstreams with it.
package feed

import (
	"sort"

	"github.com/go-faster/errors"
)

// ErrHistory means that the store no longer knows all changes since the
// version asked for; only reading the table whole helps.
var ErrHistory = errors.New("feed: history is gone")

// Row is a row as of a version. A row that is gone has no value.
type Row struct {
	Key     string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	Value   []byte `cbor:"3,keyasint,omitempty"`
	Gone    bool   `cbor:"4,keyasint,omitempty"`
}

// Page is rows and the version up to which they tell all.
type Page struct {
	Rows    []Row
	Version uint64
}

// maxTombs bounds the gone rows remembered. Beyond it the oldest are forgotten
// and a peer that is further behind is told the whole table.
const maxTombs = 4096

// View is what is believed of one table. The newest version of each row wins,
// whoever told it, so a late or repeated message changes nothing. It is not
// safe for concurrent use.
type View struct {
	// Same reports whether two values of a row tell the same, so that a
	// heartbeat is no change; nil compares nothing.
	Same func(key string, a, b []byte) bool

	rows    map[string]Row
	version uint64
	tombs   int
	// floor is the version below which not all gone rows are known.
	floor uint64
}

// Version is up to where everything is known.
func (v *View) Version() uint64 { return v.version }

// Whole takes a page with all rows of the table and returns what changed.
func (v *View) Whole(p Page) []Row {
	if p.Version < v.version {
		// A stale read knows less than the changes taken since.
		return nil
	}
	there := make(map[string]bool, len(p.Rows))
	for _, r := range p.Rows {
		there[r.Key] = !r.Gone
	}
	changed := v.merge(p, 0)
	for _, key := range v.keys() {
		r := v.rows[key]
		if r.Gone || there[key] || r.Version > p.Version {
			continue
		}
		gone := Row{Key: key, Version: p.Version, Gone: true}
		v.put(gone)
		changed = append(changed, gone)
	}
	v.version = p.Version
	// Rows that were dropped before and never held here are not known: telling
	// the changes since an older version would leave them out.
	v.floor = max(v.floor, p.Version)
	return changed
}

// Changes takes a page with all changes after since and returns those that are
// new here; all changes since 0 are the whole table. Rows that are newer than
// what is known are taken in any case; the version rises only if there is no gap
// between what is known and since.
func (v *View) Changes(since uint64, p Page) []Row {
	if since == 0 {
		return v.Whole(p)
	}
	changed := v.merge(p, v.version)
	if since <= v.version {
		v.version = max(v.version, p.Version)
	}
	return changed
}

// merge takes the rows that are newer and returns those that tell something new.
// Rows up to known are left out: one that is held older was dropped since.
func (v *View) merge(p Page, known uint64) []Row {
	var changed []Row
	for _, r := range p.Rows {
		old, held := v.rows[r.Key]
		if r.Version <= known || held && (old.Version >= r.Version || v.same(old, r)) {
			continue
		}
		v.put(r)
		changed = append(changed, r)
	}
	return changed
}

func (v *View) same(old, r Row) bool {
	return v.Same != nil && !old.Gone && !r.Gone && v.Same(r.Key, old.Value, r.Value)
}

func (v *View) put(r Row) {
	if v.rows == nil {
		v.rows = map[string]Row{}
	}
	if v.rows[r.Key].Gone {
		v.tombs--
	}
	v.rows[r.Key] = r
	if r.Gone {
		v.tombs++
	}
	if v.tombs > maxTombs {
		v.forget()
	}
}

// forget drops the older half of the gone rows.
func (v *View) forget() {
	var gone []Row
	for _, key := range v.keys() {
		if r := v.rows[key]; r.Gone {
			gone = append(gone, r)
		}
	}
	sort.Slice(gone, func(i, j int) bool { return gone[i].Version < gone[j].Version })
	for _, r := range gone[:len(gone)/2] {
		delete(v.rows, r.Key)
		v.floor = max(v.floor, r.Version)
		v.tombs--
	}
}

// Since returns all changes after a version. Where not all of them are known it
// returns the whole table, which is all changes since 0.
func (v *View) Since(version uint64) (since uint64, p Page) {
	if version < v.floor {
		version = 0
	}
	p.Version = v.version
	for _, key := range v.keys() {
		if r := v.rows[key]; r.Version > version {
			p.Rows = append(p.Rows, r)
		}
	}
	return version, p
}

// Rows returns the rows that are there, in order of their keys.
func (v *View) Rows() []Row {
	var out []Row
	for _, key := range v.keys() {
		if r := v.rows[key]; !r.Gone {
			out = append(out, r)
		}
	}
	return out
}

func (v *View) keys() []string {
	keys := make([]string, 0, len(v.rows))
	for key := range v.rows {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
