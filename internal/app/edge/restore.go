package edge

import (
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/crash"
	"fulmarwick/internal/state/feed"
	"fulmarwick/platform"

	"go.uber.org/zap"
)

const (
	// culpritDuty is the duty of writing what is known of suspects again after the store was
	// restored. All instances know the same.
	culpritDuty = "culprits"
	// maxCulpritWriters is how many instances do so.
	maxCulpritWriters = 2
)

// noteRestore gives upstreams that are missing in a store which was restored from a copy a grace period:
// they were not removed, and write their rows again. known is the version of the table before the
// change that was just applied; s.mu is held.
func (s *stateView) noteRestore(table string, known spec.Revision) {
	version := s.tables[table].Version()
	if known == 0 || version.Era() <= known.Era() {
		return
	}
	s.onRestore()
	s.log.Warn("edge: table follows a restored store", zap.String("table", table), zap.Stringer("version", version), zap.Stringer("before", known))
	if table == platform.TableUpstreams {
		s.keepMissingUntil = time.Now().Add(missingUpstreamGrace)
	}
}

// configStage orders configurations by their own version.
func configStage(key string, value []byte) feed.Stage {
	version, ok := platform.ParseConfigVersion(key, value)
	return feed.Stage{Known: ok, Step: int64(version)}
}

// handleStoreEra handles that a call shows a new era of the store.
func (i *Instance) handleStoreEra(era uint64) {
	i.Log.Warn("edge: store was restored from an older copy", zap.Uint64("era", era))
	i.rewriteStored()
}

// rewriteStored has written again what instances keep in the store, which may have lost it. The planning
// lease is acquired anew by its holder.
func (i *Instance) rewriteStored() {
	i.mesh.rosterInDoubt.Store(true)
	if i.mesh.logic.DutyRank(culpritDuty) < maxCulpritWriters {
		go i.rewriteCulprits()
	}
}

// rewriteCulprits stores the suspects again that are quarantined or held to crash upstreams. A row that the
// store still has is changed only if it is less strict.
func (i *Instance) rewriteCulprits() {
	for _, e := range i.router.knownCrashes() {
		age := time.Duration(e.AgeMs) * time.Millisecond
		switch e.Kind {
		case crash.EventQuarantine:
			i.culprits.add(e.Key(), crash.StandingQuarantined, time.Now().Add(-age))
		case crash.EventVerdict:
			i.culprits.add(e.Key(), crash.StandingCulprit, time.Now().Add(-age))
		}
	}
}

// knownCrashes returns what is known of suspects.
func (r *router) knownCrashes() []crash.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashBook.Known(r.now())
}
