// Package feed follows tables of the platform's store: it reads a whole table once,
// then only the changes, and merges the changes that other instances send.
//
// It imports the errors, hash and log libraries. The adapter of the platform
// implements Source; app/edge follows the operator's configuration and the
// list of upstreams with it.
package feed

import (
	"encoding/binary"
	"sort"

	"fulmarwick/internal/base/spec"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
)

// ErrHistoryLost means that the store no longer has all changes since the requested
// version, so that the whole table must be read.
var ErrHistoryLost = errors.New("feed: change history lost")

// Row is a row of a table as of a version. A deleted row has no value.
type Row struct {
	Key     string        `cbor:"1,keyasint"`
	Version spec.Revision `cbor:"2,keyasint"`
	Value   []byte        `cbor:"3,keyasint,omitempty"`
	Deleted bool          `cbor:"4,keyasint,omitempty"`
	// Writer is who had written a deleted row, as far as its values say so.
	Writer int64 `cbor:"5,keyasint,omitempty"`
}

// Page holds rows and the version up to which they are complete.
type Page struct {
	Rows    []Row
	Version spec.Revision
}

// maxTombstones limits the deleted rows that a view keeps. Above it the older half is
// dropped, and a peer that is further behind is sent the whole table.
const maxTombstones = 4096

// Checkpoint describes the state of a view: it has all changes up to Version, and
// Digest is a hash of its live rows. Two views with the same digest hold the same
// rows.
type Checkpoint struct {
	Version spec.Revision
	Digest  uint64
}

// View is the local copy of one table. The newest version of each row wins, no matter
// who sent it, so a late or duplicate message changes nothing. A store that was restored
// from an older copy has lost values that it acknowledged. They are kept until their
// writers write them again: a row goes back to no earlier stage, and a row that was
// removed is not taken up again from the copy. It is not safe for concurrent use.
type View struct {
	// Fingerprint hashes the significant part of a row's value, in the same way on all
	// instances, so that a heartbeat is not a change; nil hashes the whole value.
	Fingerprint func(key string, value []byte) uint64
	// Stage returns how far the writer of a row had come when it wrote a value, as the value
	// itself says; nil means that values do not say so.
	Stage func(key string, value []byte) Stage

	rows       map[string]entry
	version    spec.Revision
	digest     uint64
	tombstones int
	// tombstoneFloor is the version below which some deleted rows are not known.
	tombstoneFloor spec.Revision
}

// entry is a row as a view stores it.
type entry struct {
	Row
	hash uint64
	// stage is that of the value, or of the last value of a deleted row.
	stage Stage
	// contentVersion is the version in which the content last changed; the row may
	// have been rewritten with the same content since.
	contentVersion spec.Revision
}

// Version returns the version up to which all changes are known.
func (v *View) Version() spec.Revision { return v.version }

// Checkpoint returns the version and the digest of the view.
func (v *View) Checkpoint() Checkpoint { return Checkpoint{Version: v.version, Digest: v.digest} }

// ConfirmVersion raises the version to that of a peer's view with the same digest. No
// rows are needed, since nothing significant changed in between.
func (v *View) ConfirmVersion(peer Checkpoint) {
	if peer.Digest == v.digest {
		v.version = max(v.version, peer.Version)
	}
}

// ApplyChanges applies a page of the store with all changes after since and returns
// the rows that changed; all changes since 0 are the whole table. Rows newer than the
// view are always applied. The version rises only if there is no gap between the
// version of the view and since.
func (v *View) ApplyChanges(since spec.Revision, p Page) []Row {
	if since == 0 {
		return v.ApplySnapshot(p)
	}
	changed := v.merge(p)
	if since <= v.version {
		v.version = max(v.version, p.Version)
	}
	return changed
}

// ApplyPeerChanges applies the changes after since that a peer with the given
// checkpoint sent. The version rises only if both views then hold the same rows: the
// peer may not know of a row that was deleted before the peer started, or of a change
// that was reverted before the peer read the table.
func (v *View) ApplyPeerChanges(since spec.Revision, rows []Row, peer Checkpoint) []Row {
	p := Page{Rows: rows, Version: peer.Version}
	var changed []Row
	if since == 0 && peer.Version >= v.version {
		changed = v.replaceAll(p)
	} else {
		changed = v.merge(p)
	}
	v.ConfirmVersion(peer)
	return changed
}

// merge applies the newer rows and returns the rows whose content changed. Rows up to
// the view's own version are skipped because their changes are known already: such a
// row that the view lacks was deleted since.
func (v *View) merge(p Page) []Row {
	var changed []Row
	for _, r := range p.Rows {
		if r.Version > v.version && v.putIfNewer(r, p.Version) {
			changed = append(changed, r)
		}
	}
	return changed
}

// putIfNewer stores a row of a page that is complete up to a version if it is newer, and reports
// whether its content changed. A held value of a later stage stays, as of the page's version, so
// that instances which took the earlier one learn of it.
func (v *View) putIfNewer(r Row, complete spec.Revision) bool {
	old, found := v.rows[r.Key]
	if found && old.Version >= r.Version {
		return false
	}
	if v.rows == nil {
		v.rows = map[string]entry{}
	}
	e, same := v.newEntry(r, old, found)
	if found && !old.Deleted && !e.Deleted && e.stage.precedes(old.stage) {
		v.keep(old, complete)
		return false
	}
	v.rows[r.Key] = e
	v.digest ^= old.hash ^ e.hash
	v.tombstones += countDeleted(e.Deleted) - countDeleted(old.Deleted)
	if v.tombstones > maxTombstones {
		v.pruneTombstones()
	}
	return !same
}

// newEntry returns the entry of a row in place of an old one, and whether the content is the same.
func (v *View) newEntry(r Row, old entry, found bool) (e entry, same bool) {
	e = entry{Row: r, hash: v.rowHash(r), contentVersion: r.Version}
	same = found && old.Deleted == r.Deleted && old.hash == e.hash
	switch {
	case same:
		e.contentVersion, e.stage = old.contentVersion, old.stage
	case r.Deleted && r.Writer != 0:
		e.stage = Stage{Known: true, Writer: r.Writer}
	case r.Deleted:
		e.stage, e.Writer = old.stage, old.stage.Writer
	default:
		e.stage = v.stageOf(r)
	}
	return e, same
}

func countDeleted(deleted bool) int {
	if deleted {
		return 1
	}
	return 0
}

// rowHash returns the contribution of a row to the digest; zero for a deleted row.
func (v *View) rowHash(r Row) uint64 {
	if r.Deleted {
		return 0
	}
	content := xxhash.Sum64(r.Value)
	if v.Fingerprint != nil {
		content = v.Fingerprint(r.Key, r.Value)
	}
	var hash xxhash.Digest
	hash.Reset()
	_, _ = hash.WriteString(r.Key)
	_, _ = hash.Write(binary.BigEndian.AppendUint64(nil, content))
	return hash.Sum64()
}

// pruneTombstones drops the older half of the deleted rows.
func (v *View) pruneTombstones() {
	var deleted []Row
	for _, key := range v.sortedKeys() {
		if r := v.rows[key]; r.Deleted {
			deleted = append(deleted, r.Row)
		}
	}
	sort.Slice(deleted, func(i, j int) bool { return deleted[i].Version < deleted[j].Version })
	for _, r := range deleted[:len(deleted)/2] {
		delete(v.rows, r.Key)
		v.tombstoneFloor = max(v.tombstoneFloor, r.Version)
		v.tombstones--
	}
}

// ChangesSince returns all changes after a version. If some of them are not known it
// returns the whole table, which is all changes since 0.
func (v *View) ChangesSince(version spec.Revision) (since spec.Revision, p Page) {
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

// Rows returns the live rows in the order of their keys.
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
