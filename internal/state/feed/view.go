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

// ErrHistoryLost means that the store no longer knows all changes since the
// version asked for; only reading the table whole helps.
var ErrHistoryLost = errors.New("feed: history is gone")

// Row is a row as of a version. A row that is gone has no value.
type Row struct {
	Key     string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	Value   []byte `cbor:"3,keyasint,omitempty"`
	Deleted bool   `cbor:"4,keyasint,omitempty"`
}

// Page is rows and the version up to which they tell all.
type Page struct {
	Rows    []Row
	Version uint64
}

// maxTombstones bounds the gone rows remembered. Beyond it the oldest are forgotten
// and a peer that is further behind is told the whole table.
const maxTombstones = 4096

// Checkpoint is how much of a table is known: all changes up to Version, and a Digest of
// the rows that are there. Two views with the same digest hold the same.
type Checkpoint struct {
	Version uint64
	Digest  uint64
}

// View is what is believed of one table. The newest version of each row wins,
// whoever told it, so a late or repeated message changes nothing. It is not
// safe for concurrent use.
type View struct {
	// Fingerprint hashes what matters of a row's value, the same at all instances, so
	// that a heartbeat is no change; nil hashes the value.
	Fingerprint func(key string, value []byte) uint64

	rows       map[string]entry
	version    uint64
	digest     uint64
	tombstones int
	// tombstoneFloor is the version below which not all gone rows are known.
	tombstoneFloor uint64
}

// entry is a row as it is held.
type entry struct {
	Row
	hash uint64
	// contentVersion is the version with which the content came; the row may have been
	// written anew since.
	contentVersion uint64
}

// Version is up to where everything is known.
func (v *View) Version() uint64 { return v.version }

// Checkpoint is how much is known.
func (v *View) Checkpoint() Checkpoint { return Checkpoint{Version: v.version, Digest: v.digest} }

// ConfirmVersion raises the version to that of a view which holds the same, without a row
// being told: nothing that matters changed in between.
func (v *View) ConfirmVersion(m Checkpoint) {
	if m.Digest == v.digest {
		v.version = max(v.version, m.Version)
	}
}

// ApplySnapshot takes a page with all rows of the table and returns what changed.
func (v *View) ApplySnapshot(p Page) []Row {
	if p.Version < v.version {
		// A stale read knows less than the changes taken since.
		return nil
	}
	changed := v.replaceAll(p)
	v.version = p.Version
	return changed
}

// ApplyChanges takes a page of the store with all changes after since and returns
// those that are new here; all changes since 0 are the whole table. Rows that are
// newer than what is known are taken in any case; the version rises only if there
// is no gap between what is known and since.
func (v *View) ApplyChanges(since uint64, p Page) []Row {
	if since == 0 {
		return v.ApplySnapshot(p)
	}
	changed := v.merge(p)
	if since <= v.version {
		v.version = max(v.version, p.Version)
	}
	return changed
}

// ApplyPeerChanges takes the changes after since that another view with that mark tells. The
// version rises only if both hold the same after it: the other one may not know
// of a row that was dropped before it began, or of a change that was undone before
// it looked.
func (v *View) ApplyPeerChanges(since uint64, rows []Row, m Checkpoint) []Row {
	p := Page{Rows: rows, Version: m.Version}
	var changed []Row
	if since == 0 && m.Version >= v.version {
		changed = v.replaceAll(p)
	} else {
		changed = v.merge(p)
	}
	v.ConfirmVersion(m)
	return changed
}

// merge takes the rows that are newer and returns those that tell something new.
// Rows up to the own version are known: one that is held older was dropped since.
func (v *View) merge(p Page) []Row {
	var changed []Row
	for _, r := range p.Rows {
		if r.Version > v.version && v.putIfNewer(r) {
			changed = append(changed, r)
		}
	}
	return changed
}

// replaceAll makes the rows those of a whole table, but for newer ones, and returns
// what changed.
func (v *View) replaceAll(p Page) []Row {
	var changed []Row
	there := make(map[string]bool, len(p.Rows))
	for _, r := range p.Rows {
		there[r.Key] = !r.Deleted
		held, ok := v.rows[r.Key]
		if ok && held.Version <= p.Version && held.Version > r.Version {
			// Whoever tells it missed versions in between, but knows what the row is
			// in the end.
			r.Version = p.Version
		}
		if v.putIfNewer(r) {
			changed = append(changed, r)
		}
	}
	for _, key := range v.sortedKeys() {
		held := v.rows[key]
		if held.Deleted || there[key] || held.Version > p.Version {
			continue
		}
		gone := Row{Key: key, Version: p.Version, Deleted: true}
		v.putIfNewer(gone)
		changed = append(changed, gone)
	}
	// Rows that were dropped before and never held here are not known: telling
	// the changes since an older version would leave them out.
	v.tombstoneFloor = max(v.tombstoneFloor, p.Version)
	return changed
}

// putIfNewer takes a row that is newer and reports whether it tells something new.
func (v *View) putIfNewer(r Row) bool {
	old, held := v.rows[r.Key]
	if held && old.Version >= r.Version {
		return false
	}
	if v.rows == nil {
		v.rows = map[string]entry{}
	}
	e := entry{Row: r, hash: v.rowHash(r), contentVersion: r.Version}
	same := held && old.Deleted == r.Deleted && old.hash == e.hash
	if same {
		e.contentVersion = old.contentVersion
	}
	v.rows[r.Key] = e
	v.digest ^= old.hash ^ e.hash
	v.tombstones += countDeleted(e.Deleted) - countDeleted(old.Deleted)
	if v.tombstones > maxTombstones {
		v.pruneTombstones()
	}
	return !same
}

func countDeleted(gone bool) int {
	if gone {
		return 1
	}
	return 0
}

// rowHash is the part of a row in the digest; none for a row that is gone.
func (v *View) rowHash(r Row) uint64 {
	if r.Deleted {
		return 0
	}
	content := xxhash.Sum64(r.Value)
	if v.Fingerprint != nil {
		content = v.Fingerprint(r.Key, r.Value)
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(r.Key)
	_, _ = d.Write(binary.BigEndian.AppendUint64(nil, content))
	return d.Sum64()
}

// pruneTombstones drops the older half of the gone rows.
func (v *View) pruneTombstones() {
	var gone []Row
	for _, key := range v.sortedKeys() {
		if r := v.rows[key]; r.Deleted {
			gone = append(gone, r.Row)
		}
	}
	sort.Slice(gone, func(i, j int) bool { return gone[i].Version < gone[j].Version })
	for _, r := range gone[:len(gone)/2] {
		delete(v.rows, r.Key)
		v.tombstoneFloor = max(v.tombstoneFloor, r.Version)
		v.tombstones--
	}
}

// ChangesSince returns all changes after a version. Where not all of them are known it
// returns the whole table, which is all changes since 0.
func (v *View) ChangesSince(version uint64) (since uint64, p Page) {
	if version < v.tombstoneFloor {
		version = 0
	}
	p.Version = v.version
	for _, key := range v.sortedKeys() {
		if r := v.rows[key]; version == 0 || r.contentVersion > version {
			p.Rows = append(p.Rows, r.Row)
		}
	}
	return version, p
}

// Rows returns the rows that are there, in order of their keys.
func (v *View) Rows() []Row {
	var out []Row
	for _, key := range v.sortedKeys() {
		if r := v.rows[key]; !r.Deleted {
			out = append(out, r.Row)
		}
	}
	return out
}

func (v *View) sortedKeys() []string {
	keys := make([]string, 0, len(v.rows))
	for key := range v.rows {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
