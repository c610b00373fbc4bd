package edge

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/state/feed"
	"fulmarwick/platform"

	"go.uber.org/zap"
)

// stateView holds the configuration in force and the list of upstreams as this instance
// knows them, from the store or from other instances.
type stateView struct {
	log *zap.Logger
	// onConfig and onList are called after a change, one call at a time.
	onConfig func(*site.Config)
	// onRestore is called when a table follows a store that was restored from a copy.
	onRestore func()
	onList    func([]site.Upstream)

	config atomic.Pointer[site.Config]

	mu        sync.Mutex
	tables    map[string]*feed.View
	upstreams map[string]site.Upstream
	// missing holds the upstreams whose rows were deleted, with the time until which
	// they are kept.
	missing map[string]time.Time
	// keepMissingUntil is that time for rows that are deleted now.
	keepMissingUntil time.Time
	// listUnreachable is set while the list of upstreams can't be read. Rows that turn out
	// to be deleted when it can be read again may have expired meanwhile.
	listUnreachable bool
	// malformed holds the keys of rows that can't be parsed, so that each is logged once.
	malformed map[string]bool
	// upstreamsKnown is set once the list of upstreams was received.
	upstreamsKnown bool
	// readyCh is closed once enough is known to serve callers.
	readyCh chan struct{}
	isReady bool
	// awaitsPeers is set while an instance that starts asks others for their tables before it serves:
	// the store may have been restored from a copy that lacks what they know.
	awaitsPeers bool
	// lastRead is when each table was last read from the store.
	lastRead map[string]time.Time
	// changedVersions is the version of the last change of each table that was read from
	// the store since the last call of takeChangedVersions.
	changedVersions map[string]spec.Revision
}

func newStateView(log *zap.Logger) *stateView {
	return &stateView{
		log: log, readyCh: make(chan struct{}), awaitsPeers: true,
		tables:    map[string]*feed.View{platform.TableConfig: {Stage: configStage}, platform.TableUpstreams: {Fingerprint: fingerprintUpstream, Stage: upstreamStage}},
		upstreams: map[string]site.Upstream{}, missing: map[string]time.Time{}, malformed: map[string]bool{}, lastRead: map[string]time.Time{}, changedVersions: map[string]spec.Revision{},
	}
}

// Config returns the configuration in force, or nil before both a configuration and the
// upstreams are known.
func (s *stateView) Config() *site.Config {
	select {
	case <-s.readyCh:
		return s.config.Load()
	default:
		return nil
	}
}

// AwaitConfig waits until Config has a value or ctx ends, and returns that value.
func (s *stateView) AwaitConfig(ctx context.Context) *site.Config {
	select {
	case <-s.readyCh:
	case <-ctx.Done():
	}
	return s.Config()
}

// openIfReady marks the instance as ready once a configuration and the upstreams are
// known; s.mu is held.
func (s *stateView) openIfReady() {
	if !s.isReady && !s.awaitsPeers && s.upstreamsKnown && s.config.Load() != nil {
		s.isReady = true
		close(s.readyCh)
	}
}

// ready reports whether enough is known to serve callers.
func (s *stateView) ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isReady
}

// Version returns the version up to which a table is known.
func (s *stateView) Version(table string) spec.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tables[table].Version()
}

// Since returns the changes of a table after a version, or the whole table for version 0.
func (s *stateView) Since(table string, version spec.Revision) (since spec.Revision, p feed.Page) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tables[table].ChangesSince(version)
}

// ApplySnapshot applies a whole table read from the store.
func (s *stateView) ApplySnapshot(table string, p feed.Page) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.tables[table].Version()
	changed := s.tables[table].ApplySnapshot(p)
	s.noteRestore(table, known)
	s.lastRead[table] = time.Now()
	if known != 0 {
		// The first snapshot after a start is not announced: instances that run know it
		// or read it themselves.
		s.recordChanges(table, changed)
	}
	s.upstreamsKnown = s.upstreamsKnown || table == platform.TableUpstreams
	s.applyRows(table, changed, "store")
	s.openIfReady()
}

// ApplyChanges applies changes of a table read from the store.
func (s *stateView) ApplyChanges(table string, since spec.Revision, p feed.Page) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastRead[table] = time.Now()
	changed := s.tables[table].ApplyChanges(since, p)
	s.recordChanges(table, changed)
	s.applyRows(table, changed, "store")
	s.openIfReady()
}

// ApplyPeerChanges applies changes of a table sent by another instance.
func (s *stateView) ApplyPeerChanges(table string, since spec.Revision, rows []feed.Row, checkpoint feed.Checkpoint, from spec.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tables[table] == nil {
		return
	}
	known := s.tables[table].Version()
	var changed []feed.Row
	if s.isStarting() && since == 0 && checkpoint.Version > 0 {
		changed = s.tables[table].Adopt(rows, checkpoint)
		// What others hold as removed gets no grace period.
		s.keepMissingUntil = time.Time{}
	} else {
		changed = s.tables[table].ApplyPeerChanges(since, rows, checkpoint)
	}
	s.noteRestore(table, known)
	s.upstreamsKnown = s.upstreamsKnown || table == platform.TableUpstreams && since == 0 && len(rows) > 0
	s.applyRows(table, changed, string(from))
	s.openIfReady()
}

// ConfirmVersion applies the checkpoint of a table that another instance reported.
func (s *stateView) ConfirmVersion(table string, checkpoint feed.Checkpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v := s.tables[table]; v != nil {
		v.ConfirmVersion(checkpoint)
	}
}

// SetReachable records that the store became reachable or unreachable for a table. Once it
// is reachable again, missing upstreams get a grace period.
func (s *stateView) SetReachable(table string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if table != platform.TableUpstreams {
		return
	}
	s.listUnreachable = !ok
	if ok && s.upstreamsKnown {
		s.keepMissingUntil = time.Now().Add(missingUpstreamGrace)
	}
}

// age returns how long ago the store was last read for the table read least recently. It is
// negative if a table was never read.
func (s *stateView) age() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	oldest := time.Duration(0)
	for table := range s.tables {
		at, ok := s.lastRead[table]
		if !ok {
			return -time.Millisecond
		}
		oldest = max(oldest, time.Since(at))
	}
	return oldest
}

// recordChanges records the versions of changes read from the store, to announce them to
// the other instances; s.mu is held.
func (s *stateView) recordChanges(table string, changed []feed.Row) {
	for _, r := range changed {
		s.changedVersions[table] = max(s.changedVersions[table], r.Version)
	}
}

// takeChangedVersions returns the version of the last change of each table that was read
// from the store since the last call.
func (s *stateView) takeChangedVersions() map[string]spec.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.changedVersions) == 0 {
		return nil
	}
	versions := s.changedVersions
	s.changedVersions = map[string]spec.Revision{}
	return versions
}

// checkpoints returns the checkpoint of each table.
func (s *stateView) checkpoints() map[string]feed.Checkpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]feed.Checkpoint, len(s.tables))
	for name, v := range s.tables {
		out[name] = v.Checkpoint()
	}
	return out
}

// applyRows updates the configuration or the list of upstreams from changed rows; s.mu is
// held.
func (s *stateView) applyRows(table string, changed []feed.Row, source string) {
	if len(changed) == 0 {
		return
	}
	if table == platform.TableConfig {
		for _, r := range changed {
			s.applyConfig(r, source)
		}
		return
	}
	for _, r := range changed {
		s.applyUpstream(r, source)
	}
	s.publish()
}

// applyConfig puts the configuration in a row into force if it is newer; s.mu is held.
func (s *stateView) applyConfig(r feed.Row, source string) {
	if r.Deleted {
		return
	}
	c, ok, err := platform.ParseConfig(r.Key, r.Value)
	if err != nil {
		s.log.Error("edge: invalid configuration, keeping the previous one", zap.String("source", source), zap.Stringer("row", r.Version), zap.Error(err))
		return
	}
	old := s.config.Load()
	if !ok || old != nil && c.Version <= old.Version {
		return
	}
	s.config.Store(c)
	s.log.Info("edge: configuration applied", zap.Uint64("version", c.Version), zap.Stringer("row", r.Version),
		zap.String("source", source), zap.Int("routes", len(c.Routes)), zap.Int("teams", len(c.Teams)))
	s.onConfig(c)
}
