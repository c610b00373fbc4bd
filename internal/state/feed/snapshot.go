package feed

import "fulmarwick/internal/base/spec"

// ApplySnapshot applies a page with all rows of the table and returns the rows that
// changed.
func (v *View) ApplySnapshot(p Page) []Row {
	if p.Version < v.version {
		// A stale read lacks changes that were applied already.
		return nil
	}
	changed := v.replaceAll(p)
	v.version = p.Version
	return changed
}

// Adopt replaces the whole view by a table of another instance, also by an older one, and returns the
// rows that changed. Values of a later stage stay.
func (v *View) Adopt(rows []Row, peer Checkpoint) []Row {
	own := *v
	*v = View{Fingerprint: own.Fingerprint, Stage: own.Stage}
	v.replaceAll(Page{Rows: rows, Version: peer.Version})
	v.version = peer.Version
	var changed []Row
	for _, key := range own.sortedKeys() {
		old, e := own.rows[key], v.rows[key]
		switch isLive := e.Key != "" && !e.Deleted; {
		case old.Deleted:
		case isLive && e.stage.precedes(old.stage):
			v.digest ^= e.hash ^ old.hash
			v.keep(old, peer.Version)
		case !isLive:
			changed = append(changed, Row{Key: key, Version: peer.Version, Deleted: true})
		}
	}
	for _, r := range v.Rows() {
		if old, ok := own.rows[r.Key]; !ok || old.Deleted || old.hash != v.rows[r.Key].hash {
			changed = append(changed, r)
		}
	}
	return changed
}

// replaceAll replaces all rows by those of a whole table, except for rows that are
// newer, and returns the rows that changed.
func (v *View) replaceAll(p Page) []Row {
	var changed []Row
	present := make(map[string]bool, len(p.Rows))
	for _, r := range p.Rows {
		present[r.Key] = !r.Deleted
		if stored, ok := v.replace(r, p.Version); ok {
			changed = append(changed, stored)
		}
	}
	for _, key := range v.sortedKeys() {
		old := v.rows[key]
		if old.Deleted || present[key] || old.Version > p.Version {
			continue
		}
		deleted := Row{Key: key, Version: p.Version, Deleted: true}
		v.putIfNewer(deleted, p.Version)
		changed = append(changed, deleted)
	}
	// Rows that were deleted earlier and never stored here are not known: the changes
	// since an older version would omit their deletion. A restored table is compared with
	// what all instances held before, so that few miss anything; those are sent the whole
	// table next.
	if v.version == 0 || v.version.Era() == p.Version.Era() {
		v.tombstoneFloor = max(v.tombstoneFloor, p.Version)
	}
	return changed
}

// replace stores a row of a whole table. It returns the row as it is stored, and whether its content
// changed.
func (v *View) replace(r Row, complete spec.Revision) (stored Row, changed bool) {
	old, ok := v.rows[r.Key]
	if ok && old.Version <= complete && old.Version > r.Version {
		// The sender of the page missed versions in between, but has the final
		// content of the row.
		r.Version = complete
	}
	if ok && v.isLeftover(r, old, complete) {
		v.keep(old, complete)
		return old.Row, false
	}
	return r, v.putIfNewer(r, complete)
}
