// Package watch reads the platform's list of instances and polls the engines.
// It turns the results into events for the routing logic and addresses for the
// clients.
//
// It polls the engines that the fleet logic assigns to this instance and
// publishes their reports to the other instances, which report the remaining
// engines. It imports base, fleet/node, state/store, route/domain and
// wire/engine. The daemon runs one Watcher.
package watch

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"fulmarwick/internal/base/frame"
	"fulmarwick/internal/base/news"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/node"
	"fulmarwick/internal/route/domain"
	"fulmarwick/internal/state/store"

	"go.uber.org/zap"
)

// Defaults of the fields that may be zero.
const (
	// defaultPoll, standbyFactor and cacheInterval keep the traffic of one
	// instance within 16 KB a second if four instances share thirty engines and
	// each one polls half of them.
	defaultPoll        = 400 * time.Millisecond
	defaultTimeout     = 300 * time.Millisecond
	defaultRemoveAfter = time.Minute
	// retryInterval is the delay after a poll without an answer. It is short so
	// that a death is detected in about one second.
	retryInterval = 50 * time.Millisecond
	// standbyFactor is how many times less often a standby watcher polls.
	standbyFactor = 5
	// cacheInterval is the time between two requests for cache events.
	cacheInterval = 4 * time.Second
	// warnInterval is the minimum time between two warnings about one engine.
	warnInterval = time.Minute
	// maxPolls limits the number of concurrent polls.
	maxPolls = 32
)

// Lister reads the platform's list, which lags behind the true state.
type Lister interface {
	ListInstances(ctx context.Context) ([]store.ListedBody, error)
}

// Poster receives events for the routing logic.
type Poster interface {
	Post(ev domain.Event)
}

// Locator receives the addresses of engines.
type Locator interface {
	SetAddress(id spec.UpstreamID, base string)
}

// Services receives the addresses of the instances of plain services.
type Services interface {
	Locate(service spec.ServiceName, bases []string)
}

// Publisher publishes items to the other instances.
type Publisher interface {
	Publish(item news.Item)
}

// Caches reads the cache events of the engine at base that follow event number
// since.
type Caches interface {
	Events(ctx context.Context, base string, since uint64) (frame.Events, error)
}

// Watcher polls upstreams. Set the exported fields before calling Run.
type Watcher struct {
	List     Lister
	Events   Poster
	Engines  Locator
	Services Services
	HTTP     *http.Client
	Log      *zap.Logger
	// ListInterval is the interval at which the list is read.
	ListInterval time.Duration
	// PollInterval is the interval between two polls of one engine, Timeout the maximum
	// time for an answer; zero means 400 and 300 ms.
	PollInterval, Timeout time.Duration
	// RemoveAfter is the time after which an engine that is neither listed nor answers
	// is dropped; zero means one minute.
	RemoveAfter time.Duration
	// Publisher publishes the results. If it is nil, this instance polls every
	// listed engine itself.
	Publisher Publisher
	// Self is the ID of this instance. Listed receives each list that was read,
	// to be posted to the fleet logic. Both are required if Publisher is set.
	Self   spec.InstanceID
	Listed func([]store.ListedBody)
	// Caches reads cache events of the engines polled here; nil disables this.
	Caches Caches

	once    sync.Once
	start   time.Time
	slots   chan struct{}
	mu      sync.Mutex
	tracker tracker
	pollers map[spec.UpstreamID]runningPoller
	group   sync.WaitGroup
	ctx     context.Context
}

func (w *Watcher) init() {
	w.once.Do(func() {
		w.start = time.Now()
		w.slots = make(chan struct{}, maxPolls)
		w.pollers = map[spec.UpstreamID]runningPoller{}
		w.tracker = tracker{self: w.Self, post: w.Events.Post, setURL: w.Engines.SetAddress}
		if w.Publisher != nil {
			w.tracker.publish = w.Publisher.Publish
		}
		for _, d := range []struct {
			field *time.Duration
			value time.Duration
		}{{&w.PollInterval, defaultPoll}, {&w.Timeout, defaultTimeout}, {&w.RemoveAfter, defaultRemoveAfter}} {
			if *d.field == 0 {
				*d.field = d.value
			}
		}
	})
}

// Run reads the list and polls engines until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	w.init()
	ctx, cancel := context.WithCancel(ctx)
	defer w.group.Wait()
	defer cancel()
	w.mu.Lock()
	w.ctx = ctx
	w.mu.Unlock()
	for {
		w.readList(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(jitter(w.ListInterval)):
		}
	}
}

// Assign applies the Watch command of the fleet logic.
func (w *Watcher) Assign(c node.Watch) {
	w.init()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tracker.assign(c.Engines, c.Primary)
	w.syncPollers()
}

// HandleItem processes an item of another instance.
func (w *Watcher) HandleItem(item news.Item) {
	w.init()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tracker.handleItem(w.now(), item)
	if item.Kind == news.KindDoubt {
		w.wakePoller(spec.UpstreamID(item.Key))
	}
}

// wakePoller makes the poller of an engine poll at once if the engine is
// watched here.
func (w *Watcher) wakePoller(id spec.UpstreamID) {
	select {
	case w.pollers[id].wake <- struct{}{}:
	default:
	}
}

// now returns the time since the start on a monotonic clock.
func (w *Watcher) now() time.Duration { return time.Since(w.start) }

// readList reads the list once.
func (w *Watcher) readList(ctx context.Context) {
	listed, err := w.List.ListInstances(ctx)
	if err != nil {
		// A list that cannot be read removes no engine: the engines of the last
		// list still answer, and dropping them would stop all work.
		w.Log.Warn("watch: cannot read instance list", zap.Error(err))
		return
	}
	if w.Listed != nil {
		w.Listed(listed)
	}
	services := map[spec.ServiceName][]string{}
	w.mu.Lock()
	for _, l := range listed {
		switch {
		case l.Role == store.RoleService && l.State == frame.StateLive:
			name := spec.ServiceName(l.Service)
			services[name] = append(services[name], l.URL)
		case l.Role == store.RoleService:
			// A service is passed on even if its last instance is leaving.
			// Otherwise that instance would receive new calls until it is gone.
			name := spec.ServiceName(l.Service)
			services[name] = append(services[name], nil...)
		case l.Role == store.RoleEngine:
			w.applyListed(l)
		}
	}
	w.tracker.removeExpired(w.now(), w.RemoveAfter)
	w.syncPollers()
	w.mu.Unlock()
	for name, bases := range services {
		w.Services.Locate(name, bases)
	}
}

func (w *Watcher) applyListed(l store.ListedBody) {
	e := w.tracker.getOrCreate(w.now(), spec.UpstreamID(l.ID), l.URL)
	e.lastListed = w.now()
	if w.Publisher == nil {
		e.watched, e.primary = true, true
	}
	if l.State == frame.StateLeaving {
		w.tracker.markLeaving(e, true)
	}
}

// syncPollers starts and stops pollers so that exactly the watched engines are
// polled.
func (w *Watcher) syncPollers() {
	for id, running := range w.pollers {
		if e := w.tracker.get(id); e == nil || !e.watched {
			running.cancel()
			delete(w.pollers, id)
		}
	}
	if w.ctx == nil {
		return
	}
	for _, e := range w.tracker.engines {
		if !e.watched || e.url == "" || w.pollers[e.id].cancel != nil {
			continue
		}
		ctx, cancel := context.WithCancel(w.ctx)
		wake := make(chan struct{}, 1)
		w.pollers[e.id] = runningPoller{cancel: cancel, wake: wake}
		w.group.Add(1)
		go (&poller{Watcher: w, id: e.id, wake: wake}).run(ctx)
	}
}

// jitter returns d changed randomly by up to 10 %, so that instances that
// started together do not poll in step.
func jitter(d time.Duration) time.Duration { return d*9/10 + rand.N(d/5+1) }
