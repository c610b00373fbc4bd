// Package watch follows the platform's list and the reports of the engines
// and turns them into events for the logic and addresses for the clients.
//
// It reads the reports of the engines that the fleet logic assigns to this
// instance and tells the other instances; reports of the rest come from them.
// It imports base, fleet/node, state/store, route/domain and wire/engine. The
// daemon runs one Watcher.
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
	// defaultPoll, standby and cacheEvery keep what one of four instances asks
	// half of thirty engines within 16 KB a second.
	defaultPoll        = 400 * time.Millisecond
	defaultTimeout     = 300 * time.Millisecond
	defaultRemoveAfter = time.Minute
	// retryInterval is the wait after a poll without an answer, so that a death is
	// known in about a second.
	retryInterval = 50 * time.Millisecond
	// standbyFactor is how many times slower a watcher asks that only stands by.
	standbyFactor = 5
	// cacheInterval is the time between two questions for cache events.
	cacheInterval = 4 * time.Second
	// warnInterval is the least time between two warnings about one engine.
	warnInterval = time.Minute
	// maxPolls bounds the polls that are under way at one time.
	maxPolls = 32
)

// Lister reads the platform's lagging list.
type Lister interface {
	ListInstances(ctx context.Context) ([]store.ListedBody, error)
}

// Poster takes events for the logic.
type Poster interface {
	Post(ev domain.Event)
}

// Locator learns where an engine is.
type Locator interface {
	Locate(id spec.UpstreamID, base string)
}

// Services learns where a plain service's instances are.
type Services interface {
	Locate(service spec.ServiceName, bases []string)
}

// Publisher spreads items among the instances.
type Publisher interface {
	Say(item news.Item)
}

// Caches reads the cache events of the engine at base since a number.
type Caches interface {
	Events(ctx context.Context, base string, since uint64) (frame.Events, error)
}

// Watcher follows upstreams. Set the exported fields before Run.
type Watcher struct {
	List     Lister
	Loop     Poster
	Engines  Locator
	Services Services
	HTTP     *http.Client
	Log      *zap.Logger
	// Every is the time between two reads of the list.
	Every time.Duration
	// Poll is the time between two reports of one engine, Timeout how long an
	// answer may take; zero is 400 and 300 ms.
	Poll, Timeout time.Duration
	// Gone is how long an engine must be missing from the list and silent
	// before it is dropped; zero is a minute.
	Gone time.Duration
	// News spreads what is found. Nil watches every engine listed alone.
	News Publisher
	// Self is the own instance; Listed receives each list read, to be posted
	// to the fleet logic. Both are needed with News.
	Self   spec.InstanceID
	Listed func([]store.ListedBody)
	// Caches reads cache events of the engines watched here; nil reads none.
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
		w.tracker = tracker{self: w.Self, post: w.Loop.Post, setURL: w.Engines.Locate}
		if w.News != nil {
			w.tracker.publish = w.News.Say
		}
		for _, d := range []struct {
			field *time.Duration
			value time.Duration
		}{{&w.Poll, defaultPoll}, {&w.Timeout, defaultTimeout}, {&w.Gone, defaultRemoveAfter}} {
			if *d.field == 0 {
				*d.field = d.value
			}
		}
	})
}

// Run watches until ctx ends.
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
		case <-time.After(jitter(w.Every)):
		}
	}
}

// Assign follows the Watch command of the fleet logic.
func (w *Watcher) Assign(c node.Watch) {
	w.init()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tracker.assign(c.Engines, c.Primary)
	w.syncPollers()
}

// Heard takes an item of another instance.
func (w *Watcher) Heard(item news.Item) {
	w.init()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tracker.handleItem(w.now(), item)
	if item.Kind == news.KindDoubt {
		w.wakePoller(spec.UpstreamID(item.Key))
	}
}

// wakePoller has an engine asked at once if it is watched here.
func (w *Watcher) wakePoller(id spec.UpstreamID) {
	select {
	case w.pollers[id].wake <- struct{}{}:
	default:
	}
}

// now is the time since the start, on a clock that only goes forward.
func (w *Watcher) now() time.Duration { return time.Since(w.start) }

// readList reads the list once.
func (w *Watcher) readList(ctx context.Context) {
	listed, err := w.List.ListInstances(ctx)
	if err != nil {
		// A list that cannot be read removes nobody: the engines of the last
		// one still answer, and dropping them would stop all work.
		w.Log.Warn("watch: list unreadable", zap.Error(err))
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
			// A service whose last instance leaves is told of too, or that
			// instance would get new calls until it is gone.
			name := spec.ServiceName(l.Service)
			services[name] = append(services[name], nil...)
		case l.Role == store.RoleEngine:
			w.applyListed(l)
		}
	}
	w.tracker.removeExpired(w.now(), w.Gone)
	w.syncPollers()
	w.mu.Unlock()
	for name, bases := range services {
		w.Services.Locate(name, bases)
	}
}

func (w *Watcher) applyListed(l store.ListedBody) {
	e := w.tracker.getOrCreate(w.now(), spec.UpstreamID(l.ID), l.URL)
	e.lastListed = w.now()
	if w.News == nil {
		e.watched, e.primary = true, true
	}
	if l.State == frame.StateLeaving {
		w.tracker.markLeaving(e, true)
	}
}

// syncPollers starts and ends polls so that just the engines watched are polled.
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

// jitter is d with up to a tenth more or less, so that instances that started
// together do not ask together.
func jitter(d time.Duration) time.Duration { return d*9/10 + rand.N(d/5+1) }
