// Package feed follows tables of the platform's store: it reads a table whole
// once, then only what changed, and merges what other instances learned.
//
// It imports the errors, hash and log libraries. The adapter of the platform
// implements Source; app/edge follows the operator's configuration and the
// list of upstreams with it.
package feed

import (
	"encoding/binary"
	"sort"

	"github.com/cespare/xxhash/v2"
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

// Mark is how much of a table is known: all changes up to Version, and a Digest of
// the rows that are there. Two views with the same digest hold the same.
type Mark struct {
	Version uint64
	Digest  uint64
}

// View is what is believed of one table. The newest version of each row wins,
// whoever told it, so a late or repeated message changes nothing. It is not
// safe for concurrent use.
type View struct {
	// Print hashes what matters of a row's value, the same at all instances, so
	// that a heartbeat is no change; nil hashes the value.
	Print func(key string, value []byte) uint64

	rows    map[string]entry
	version uint64
	digest  uint64
	tombs   int
	// floor is the version below which not all gone rows are known.
	floor uint64
}

// entry is a row as it is held.
type entry struct {
	Row
	print uint64
	// changed is the version with which the content came; the row may have been
	// written anew since.
	changed uint64
}

// Version is up to where everything is known.
func (v *View) Version() uint64 { return v.version }

// Mark is how much is known.
func (v *View) Mark() Mark { return Mark{Version: v.version, Digest: v.digest} }

// Confirm raises the version to that of a view which holds the same, without a row
// being told: nothing that matters changed in between.
func (v *View) Confirm(m Mark) {
	if m.Digest == v.digest {
		v.version = max(v.version, m.Version)
	}
}

// Whole takes a page with all rows of the table and returns what changed.
func (v *View) Whole(p Page) []Row {
	if p.Version < v.version {
		// A stale read knows less than the changes taken since.
		return nil
	}
	changed := v.replace(p)
	v.version = p.Version
	return changed
}

// Changes takes a page of the store with all changes after since and returns
// those that are new here; all changes since 0 are the whole table. Rows that are
// newer than what is known are taken in any case; the version rises only if there
// is no gap between what is known and since.
func (v *View) Changes(since uint64, p Page) []Row {
	if since == 0 {
		return v.Whole(p)
	}
	changed := v.merge(p)
	if since <= v.version {
		v.version = max(v.version, p.Version)
	}
	return changed
}

// Told takes the changes after since that another view with that mark tells. The
// version rises only if both hold the same after it: the other one may not know
// of a row that was dropped before it began, or of a change that was undone before
// it looked.
func (v *View) Told(since uint64, rows []Row, m Mark) []Row {
	p := Page{Rows: rows, Version: m.Version}
	var changed []Row
	if since == 0 && m.Version >= v.version {
		changed = v.replace(p)
	} else {
		changed = v.merge(p)
	}
	v.Confirm(m)
	return changed
}

// merge takes the rows that are newer and returns those that tell something new.
// Rows up to the own version are known: one that is held older was dropped since.
func (v *View) merge(p Page) []Row {
	var changed []Row
	for _, r := range p.Rows {
		if r.Version > v.version && v.put(r) {
			changed = append(changed, r)
		}
	}
	return changed
}

// replace makes the rows those of a whole table, but for newer ones, and returns
// what changed.
func (v *View) replace(p Page) []Row {
	var changed []Row
	there := make(map[string]bool, len(p.Rows))
	for _, r := range p.Rows {
		there[r.Key] = !r.Gone
		held, ok := v.rows[r.Key]
		if ok && held.Version <= p.Version && held.Version > r.Version {
			// Whoever tells it missed versions in between, but knows what the row is
			// in the end.
			r.Version = p.Version
		}
		if v.put(r) {
			changed = append(changed, r)
		}
	}
	for _, key := range v.keys() {
		held := v.rows[key]
		if held.Gone || there[key] || held.Version > p.Version {
			continue
		}
		gone := Row{Key: key, Version: p.Version, Gone: true}
		v.put(gone)
		changed = append(changed, gone)
	}
	// Rows that were dropped before and never held here are not known: telling
	// the changes since an older version would leave them out.
	v.floor = max(v.floor, p.Version)
	return changed
}

// put takes a row that is newer and reports whether it tells something new.
func (v *View) put(r Row) bool {
	old, held := v.rows[r.Key]
	if held && old.Version >= r.Version {
		return false
	}
	if v.rows == nil {
		v.rows = map[string]entry{}
	}
	e := entry{Row: r, print: v.print(r), changed: r.Version}
	same := held && old.Gone == r.Gone && old.print == e.print
	if same {
		e.changed = old.changed
	}
	v.rows[r.Key] = e
	v.digest ^= old.print ^ e.print
	v.tombs += count(e.Gone) - count(old.Gone)
	if v.tombs > maxTombs {
		v.forget()
	}
	return !same
}

func count(gone bool) int {
	if gone {
		return 1
	}
	return 0
}

// print is the part of a row in the digest; none for a row that is gone.
func (v *View) print(r Row) uint64 {
	if r.Gone {
		return 0
	}
	content := xxhash.Sum64(r.Value)
	if v.Print != nil {
		content = v.Print(r.Key, r.Value)
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(r.Key)
	_, _ = d.Write(binary.BigEndian.AppendUint64(nil, content))
	return d.Sum64()
}

// forget drops the older half of the gone rows.
func (v *View) forget() {
	var gone []Row
	for _, key := range v.keys() {
		if r := v.rows[key]; r.Gone {
			gone = append(gone, r.Row)
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
		if r := v.rows[key]; version == 0 || r.changed > version {
			p.Rows = append(p.Rows, r.Row)
		}
	}
	return version, p
}

// Rows returns the rows that are there, in order of their keys.
func (v *View) Rows() []Row {
	var out []Row
	for _, key := range v.keys() {
		if r := v.rows[key]; !r.Gone {
			out = append(out, r.Row)
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
