// Package loop runs the routing logic in its own goroutine: it gathers
// events, ticks, and hands commands to whoever waits for them.
//
// It imports base/spec and route/domain. The app builds one Loop per process;
// package chain posts to it and waits on it, once per decision and never once
// per token.
//
// Under a flood the queue of arrivals is bounded: an arrival above the limit
// is refused at once and never reaches the logic. Other events are never
// dropped, since the logic would keep what they end; there are at most a few
// per request in progress and per engine.
package loop

import (
	"context"
	"sync"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"

	"github.com/VictoriaMetrics/metrics"
)

// TickInterval is the longest time between two ticks.
const TickInterval = 20 * time.Millisecond

const (
	// DefaultMaxArrivals is the most arrivals that wait for a tick if Queue is not
	// set.
	DefaultMaxArrivals = 8192
	// overloadRetryAfter is what callers are told whose arrival found the queue full.
	overloadRetryAfter = time.Second
	// maxPendingCommands is how many commands wait for one request's goroutine.
	maxPendingCommands = 4
)

// Logic is the deterministic part.
type Logic interface {
	Tick(now time.Duration, events []domain.Event) []domain.Command
}

// Loop drives a Logic. Set the exported fields before Run.
type Loop struct {
	Logic Logic
	// HandleOther receives the commands that no request waits for; nil drops them.
	// It runs between ticks and must not block.
	HandleOther func(domain.Command)
	// MaxArrivals is the most arrivals that wait for a tick.
	MaxArrivals int
	// Meters takes the metrics; nil makes a private set.
	Meters *metrics.Set

	once     sync.Once
	wake     chan struct{}
	ended    chan struct{}
	counters loopMetrics

	mu          sync.Mutex
	queue       []domain.Event
	spareQueue  []domain.Event
	arrivals    int
	inspections []func()
	watchers    map[spec.RequestID]chan domain.Command
}

// loopMetrics is what the loop tells about itself.
type loopMetrics struct {
	ticks           *metrics.Counter
	refusedArrivals *metrics.Counter
	tickDuration    *metrics.Histogram
}

func (l *Loop) init() {
	l.once.Do(func() {
		l.wake = make(chan struct{}, 1)
		l.ended = make(chan struct{})
		l.watchers = map[spec.RequestID]chan domain.Command{}
		if l.MaxArrivals == 0 {
			l.MaxArrivals = DefaultMaxArrivals
		}
		if l.Meters == nil {
			l.Meters = metrics.NewSet()
		}
		l.counters = loopMetrics{
			ticks:           l.Meters.GetOrCreateCounter("fulmarwick_ticks_total"),
			refusedArrivals: l.Meters.GetOrCreateCounter("fulmarwick_arrivals_flooded_total"),
			tickDuration:    l.Meters.GetOrCreateHistogram("fulmarwick_tick_seconds"),
		}
		l.Meters.GetOrCreateGauge("fulmarwick_requests_waited", func() float64 { return float64(l.WatchCount()) })
	})
}

// Post queues an event for the next tick and wakes the loop. An arrival that
// finds the queue full is refused at once.
func (l *Loop) Post(ev domain.Event) {
	l.init()
	arrived, is := ev.(domain.RequestArrived)
	l.mu.Lock()
	if is && l.arrivals >= l.MaxArrivals {
		l.mu.Unlock()
		l.counters.refusedArrivals.Inc()
		l.deliver(domain.Refuse{Request: arrived.Request, Reason: domain.ReasonOverload, RetryAfter: overloadRetryAfter})
		return
	}
	if is {
		l.arrivals++
	}
	l.queue = append(l.queue, ev)
	l.mu.Unlock()
	l.wakeUp()
}

func (l *Loop) wakeUp() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Watch returns the channel on which commands for a request arrive. Call
// Forget when the request ended; without it the channel would stay for ever.
func (l *Loop) Watch(id spec.RequestID) <-chan domain.Command {
	l.init()
	ch := make(chan domain.Command, maxPendingCommands)
	l.mu.Lock()
	l.watchers[id] = ch
	l.mu.Unlock()
	return ch
}

// Unwatch ends a Watch.
func (l *Loop) Unwatch(id spec.RequestID) {
	l.mu.Lock()
	delete(l.watchers, id)
	l.mu.Unlock()
}

// WatchCount is how many requests are watched.
func (l *Loop) WatchCount() int {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.watchers)
}

// Inspect runs look in the loop's goroutine between two ticks, where the tables
// of the logic may be read, and returns when it ran. The error is that of ctx,
// or context.Canceled if the loop ended.
func (l *Loop) Inspect(ctx context.Context, look func()) error {
	l.init()
	done := make(chan struct{})
	l.mu.Lock()
	l.inspections = append(l.inspections, func() { look(); close(done) })
	l.mu.Unlock()
	l.wakeUp()
	select {
	case <-done:
		return nil
	case <-l.ended:
		return context.Canceled
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run ticks until ctx ends.
func (l *Loop) Run(ctx context.Context) error {
	l.init()
	defer close(l.ended)
	start := time.Now()
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.wake:
		case <-ticker.C:
		}
		l.tick(start)
	}
}

func (l *Loop) tick(start time.Time) {
	events, looks := l.takeQueued()
	began := time.Now()
	for _, c := range l.Logic.Tick(began.Sub(start), events) {
		l.deliver(c)
	}
	l.counters.ticks.Inc()
	l.counters.tickDuration.UpdateDuration(began)
	for _, look := range looks {
		look()
	}
	// The logic may keep an event but not the slice; its room serves again.
	clear(events)
	l.mu.Lock()
	l.spareQueue = events[:0]
	l.mu.Unlock()
}

func (l *Loop) takeQueued() ([]domain.Event, []func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	events, looks := l.queue, l.inspections
	l.queue, l.spareQueue, l.inspections, l.arrivals = l.spareQueue, nil, nil, 0
	return events, looks
}

func (l *Loop) deliver(c domain.Command) {
	id, ok := requestID(c)
	if !ok {
		if l.HandleOther != nil {
			l.HandleOther(c)
		}
		return
	}
	if r, is := c.(domain.Refuse); is {
		l.Meters.GetOrCreateCounter(`fulmarwick_refusals_total{reason="` + r.Reason.String() + `"}`).Inc()
	}
	l.mu.Lock()
	ch := l.watchers[id]
	l.mu.Unlock()
	if ch == nil {
		return
	}
	// A request has at most one decision open, so the buffer never fills
	// while its goroutine lives; a full one belongs to a goroutine that ended.
	select {
	case ch <- c:
	default:
	}
}

func requestID(c domain.Command) (spec.RequestID, bool) {
	switch c := c.(type) {
	case domain.Start:
		return c.Request, true
	case domain.Refuse:
		return c.Request, true
	case domain.Forward:
		return c.Request, true
	default:
		return "", false
	}
}
