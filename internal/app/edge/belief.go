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

// stateView is what this instance takes to be in force: the newest configuration
// and the list of upstreams, from the store or from other instances.
type stateView struct {
	log *zap.Logger
	// onConfig and onList are called after a change, one call at a time.
	onConfig func(*site.Config)
	onList   func([]site.Upstream)

	config atomic.Pointer[site.Config]

	mu        sync.Mutex
	tables    map[string]*feed.View
	upstreams map[string]site.Upstream
	// missing are upstreams whose entries are gone, with the time until which
	// they are kept.
	missing          map[string]time.Time
	keepMissingUntil time.Time
	malformed        map[string]bool
	upstreamsKnown   bool
	// readyCh is closed once enough is known to serve callers.
	readyCh chan struct{}
	isReady bool
	// lastRead is when the store last told of each table.
	lastRead map[string]time.Time
	// changedVersions is the version of the last change of each table of which the store told
	// since takeNews.
	changedVersions map[string]uint64
}

func newStateView(log *zap.Logger) *stateView {
	return &stateView{
		log: log, readyCh: make(chan struct{}), tables: map[string]*feed.View{platform.TableConfig: {}, platform.TableUpstreams: {Fingerprint: fingerprintUpstream}},
		upstreams: map[string]site.Upstream{}, missing: map[string]time.Time{}, malformed: map[string]bool{}, lastRead: map[string]time.Time{}, changedVersions: map[string]uint64{},
	}
}

// Config is the configuration in force; nil before one and the upstreams are
// known.
func (b *stateView) Config() *site.Config {
	select {
	case <-b.readyCh:
		return b.config.Load()
	default:
		return nil
	}
}

// AwaitConfig waits for the first configuration.
func (b *stateView) AwaitConfig(ctx context.Context) *site.Config {
	select {
	case <-b.readyCh:
	case <-ctx.Done():
	}
	return b.Config()
}

// openIfReady opens for callers once enough is known; b.mu is held.
func (b *stateView) openIfReady() {
	if !b.isReady && b.upstreamsKnown && b.config.Load() != nil {
		b.isReady = true
		close(b.readyCh)
	}
}

// limits are those in force; none before a configuration is known.
func (b *stateView) limits() site.Limits {
	if c := b.config.Load(); c != nil {
		return c.Limits
	}
	return site.Limits{}
}

// ready reports whether enough is known to serve callers.
func (b *stateView) ready() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.isReady
}

// Version is up to where a table is known.
func (b *stateView) Version(table string) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tables[table].Version()
}

// Since returns the changes of a table after a version, or all of it since 0.
func (b *stateView) Since(table string, version uint64) (since uint64, p feed.Page) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tables[table].ChangesSince(version)
}

// ApplySnapshot takes a whole table from the store.
func (b *stateView) ApplySnapshot(table string, p feed.Page) {
	b.mu.Lock()
	defer b.mu.Unlock()
	first := b.tables[table].Version() == 0
	changed := b.tables[table].ApplySnapshot(p)
	b.lastRead[table] = time.Now()
	if !first {
		// What a start brings is no news: all that run know it or read it themselves.
		b.recordChanges(table, changed)
	}
	b.upstreamsKnown = b.upstreamsKnown || table == platform.TableUpstreams
	b.applyRows(table, changed, "store")
	b.openIfReady()
}

// ApplyChanges takes what changed from the store.
func (b *stateView) ApplyChanges(table string, since uint64, p feed.Page) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastRead[table] = time.Now()
	changed := b.tables[table].ApplyChanges(since, p)
	b.recordChanges(table, changed)
	b.applyRows(table, changed, "store")
	b.openIfReady()
}

// ApplyPeerChanges takes what another instance knows.
func (b *stateView) ApplyPeerChanges(table string, since uint64, rows []feed.Row, m feed.Checkpoint, from spec.InstanceID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tables[table] == nil {
		return
	}
	changed := b.tables[table].ApplyPeerChanges(since, rows, m)
	b.upstreamsKnown = b.upstreamsKnown || table == platform.TableUpstreams && since == 0 && len(rows) > 0
	b.applyRows(table, changed, string(from))
	b.openIfReady()
}

// ConfirmVersion takes how much another instance knows.
func (b *stateView) ConfirmVersion(table string, m feed.Checkpoint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if v := b.tables[table]; v != nil {
		v.ConfirmVersion(m)
	}
}

// SetReachable notes that the store answers again, or no more.
func (b *stateView) SetReachable(table string, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ok && b.upstreamsKnown && table == platform.TableUpstreams {
		b.keepMissingUntil = time.Now().Add(missingUpstreamGrace)
	}
}

// age is how long ago the store last told of all tables; negative if it has not
// told of one.
func (b *stateView) age() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	oldest := time.Duration(0)
	for table := range b.tables {
		at, ok := b.lastRead[table]
		if !ok {
			return -time.Millisecond
		}
		oldest = max(oldest, time.Since(at))
	}
	return oldest
}

// recordChanges keeps what the store told for the other instances; b.mu is held.
func (b *stateView) recordChanges(table string, changed []feed.Row) {
	for _, r := range changed {
		b.changedVersions[table] = max(b.changedVersions[table], r.Version)
	}
}

// takeChangedVersions returns the version of the last change of each table of which the store
// told since the last call.
func (b *stateView) takeChangedVersions() map[string]uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.changedVersions) == 0 {
		return nil
	}
	news := b.changedVersions
	b.changedVersions = map[string]uint64{}
	return news
}

// marks is how much is known of each table.
func (b *stateView) marks() map[string]feed.Checkpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]feed.Checkpoint, len(b.tables))
	for name, v := range b.tables {
		out[name] = v.Checkpoint()
	}
	return out
}

// applyRows turns changed rows into what is in force; b.mu is held.
func (b *stateView) applyRows(table string, changed []feed.Row, source string) {
	if len(changed) == 0 {
		return
	}
	if table == platform.TableConfig {
		for _, r := range changed {
			b.applyConfig(r, source)
		}
		return
	}
	for _, r := range changed {
		b.applyUpstream(r, source)
	}
	b.publish()
}

func (b *stateView) applyConfig(r feed.Row, source string) {
	if r.Deleted {
		return
	}
	c, ok, err := platform.ParseConfig(r.Key, r.Value)
	if err != nil {
		b.log.Error("edge: configuration not understood, the former one stays", zap.String("source", source), zap.Uint64("row", r.Version), zap.Error(err))
		return
	}
	old := b.config.Load()
	if !ok || old != nil && c.Version <= old.Version {
		return
	}
	b.config.Store(c)
	b.log.Info("edge: configuration in force", zap.Uint64("version", c.Version), zap.Uint64("row", r.Version),
		zap.String("source", source), zap.Int("routes", len(c.Routes)), zap.Int("teams", len(c.Teams)))
	b.onConfig(c)
}
