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

// belief is what this instance takes to be in force: the newest configuration
// and the list of upstreams, from the store or from other instances.
type belief struct {
	log *zap.Logger
	// onConfig and onList are called after a change, one call at a time.
	onConfig func(*site.Config)
	onList   func([]site.Upstream)

	config atomic.Pointer[site.Config]

	mu    sync.Mutex
	views map[string]*feed.View
	list  map[string]site.Upstream
	// missing are upstreams whose entries are gone, with the time until which
	// they are kept.
	missing map[string]time.Time
	hold    time.Time
	bad     map[string]bool
	known   bool
	// opened is closed once enough is known to serve callers.
	opened chan struct{}
	open   bool
	// read is when the store last told of each table.
	read map[string]time.Time
	// news is the version of the last change of each table of which the store told
	// since takeNews.
	news map[string]uint64
}

func newBelief(log *zap.Logger) *belief {
	return &belief{
		log: log, opened: make(chan struct{}), views: map[string]*feed.View{platform.TableConfig: {}, platform.TableUpstreams: {Print: printUpstream}},
		list: map[string]site.Upstream{}, missing: map[string]time.Time{}, bad: map[string]bool{}, read: map[string]time.Time{}, news: map[string]uint64{},
	}
}

// Config is the configuration in force; nil before one and the upstreams are
// known.
func (b *belief) Config() *site.Config {
	select {
	case <-b.opened:
		return b.config.Load()
	default:
		return nil
	}
}

// Await waits for the first configuration.
func (b *belief) Await(ctx context.Context) *site.Config {
	select {
	case <-b.opened:
	case <-ctx.Done():
	}
	return b.Config()
}

// look opens for callers once enough is known; b.mu is held.
func (b *belief) look() {
	if !b.open && b.known && b.config.Load() != nil {
		b.open = true
		close(b.opened)
	}
}

// limits are those in force; none before a configuration is known.
func (b *belief) limits() site.Limits {
	if c := b.config.Load(); c != nil {
		return c.Limits
	}
	return site.Limits{}
}

// ready reports whether enough is known to serve callers.
func (b *belief) ready() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.open
}

// Version is up to where a table is known.
func (b *belief) Version(table string) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.views[table].Version()
}

// Since returns the changes of a table after a version, or all of it since 0.
func (b *belief) Since(table string, version uint64) (since uint64, p feed.Page) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.views[table].Since(version)
}

// Whole takes a whole table from the store.
func (b *belief) Whole(table string, p feed.Page) {
	b.mu.Lock()
	defer b.mu.Unlock()
	first := b.views[table].Version() == 0
	changed := b.views[table].Whole(p)
	b.read[table] = time.Now()
	if !first {
		// What a start brings is no news: all that run know it or read it themselves.
		b.note(table, changed)
	}
	b.known = b.known || table == platform.TableUpstreams
	b.take(table, changed, "store")
	b.look()
}

// Changes takes what changed from the store.
func (b *belief) Changes(table string, since uint64, p feed.Page) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.read[table] = time.Now()
	changed := b.views[table].Changes(since, p)
	b.note(table, changed)
	b.take(table, changed, "store")
	b.look()
}

// Told takes what another instance knows.
func (b *belief) Told(table string, since uint64, rows []feed.Row, m feed.Mark, from spec.InstanceID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.views[table] == nil {
		return
	}
	changed := b.views[table].Told(since, rows, m)
	b.known = b.known || table == platform.TableUpstreams && since == 0 && len(rows) > 0
	b.take(table, changed, string(from))
	b.look()
}

// Known takes how much another instance knows.
func (b *belief) Known(table string, m feed.Mark) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if v := b.views[table]; v != nil {
		v.Confirm(m)
	}
}

// Reach notes that the store answers again, or no more.
func (b *belief) Reach(table string, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ok && b.known && table == platform.TableUpstreams {
		b.hold = time.Now().Add(returnHold)
	}
}

// age is how long ago the store last told of all tables; negative if it has not
// told of one.
func (b *belief) age() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	oldest := time.Duration(0)
	for table := range b.views {
		at, ok := b.read[table]
		if !ok {
			return -time.Millisecond
		}
		oldest = max(oldest, time.Since(at))
	}
	return oldest
}

// note keeps what the store told for the other instances; b.mu is held.
func (b *belief) note(table string, changed []feed.Row) {
	for _, r := range changed {
		b.news[table] = max(b.news[table], r.Version)
	}
}

// takeNews returns the version of the last change of each table of which the store
// told since the last call.
func (b *belief) takeNews() map[string]uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.news) == 0 {
		return nil
	}
	news := b.news
	b.news = map[string]uint64{}
	return news
}

// marks is how much is known of each table.
func (b *belief) marks() map[string]feed.Mark {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]feed.Mark, len(b.views))
	for name, v := range b.views {
		out[name] = v.Mark()
	}
	return out
}

// take turns changed rows into what is in force; b.mu is held.
func (b *belief) take(table string, changed []feed.Row, source string) {
	if len(changed) == 0 {
		return
	}
	if table == platform.TableConfig {
		for _, r := range changed {
			b.takeConfig(r, source)
		}
		return
	}
	for _, r := range changed {
		b.takeUpstream(r, source)
	}
	b.publish()
}

func (b *belief) takeConfig(r feed.Row, source string) {
	if r.Gone {
		return
	}
	c, ok, err := platform.Config(r.Key, r.Value)
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
