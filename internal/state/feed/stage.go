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
