package feed

import "fulmarwick/internal/base/spec"

// Stage orders the values of a row by what they say themselves. Of two values from the same
// writer, the one of the higher step was written later. The zero value says nothing.
type Stage struct {
	Known  bool
	Writer int64
	Step   int64
}

// precedes reports whether a value was written before another one by the same writer.
func (s Stage) precedes(other Stage) bool {
	return s.sameWriter(other) && s.Step < other.Step
}

func (s Stage) sameWriter(other Stage) bool {
	return s.Known && other.Known && s.Writer == other.Writer
}

// isLeftover reports whether a row of a whole table was removed in an earlier era by the process that
// wrote it. It comes from the copy from which the store was restored.
func (v *View) isLeftover(r Row, old entry, complete spec.Revision) bool {
	return old.Deleted && old.Version.Era() < complete.Era() && v.stageOf(r).sameWriter(old.stage)
}

// keep holds an entry against the store's row, as of a version.
func (v *View) keep(e entry, version spec.Revision) {
	e.Version, e.contentVersion = max(e.Version, version), max(e.contentVersion, version)
	v.rows[e.Key] = e
}

// stageOf returns the stage of a row's value.
func (v *View) stageOf(r Row) Stage {
	if v.Stage == nil || r.Deleted {
		return Stage{}
	}
	return v.Stage(r.Key, r.Value)
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
