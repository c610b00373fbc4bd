// Package loop runs the routing logic in its own goroutine: it queues events, calls the
// logic at each tick, and delivers commands to the goroutines that wait for them.
//
// It imports base/spec and route/domain. The app builds one Loop per process; package
// chain posts events to it and waits for its commands, once per decision and never once
// per token.
//
// The queue of arrivals is bounded in case of overload: an arrival above the limit is
// refused at once and never reaches the logic. Other events are never dropped, since
// the logic would keep the state that they end; there are at most a few per request in
// progress and per engine.
package loop

import (
	"context"
	"sync"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"

	"github.com/VictoriaMetrics/metrics"
)

// TickInterval is the maximum time between two ticks.
const TickInterval = 20 * time.Millisecond

const (
	// DefaultMaxArrivals is the limit of arrivals that wait for a tick if MaxArrivals
	// is not set.
	DefaultMaxArrivals = 8192
	// overloadRetryAfter is the Retry-After for callers whose request arrives while the
	// queue is full.
	overloadRetryAfter = time.Second
	// maxPendingCommands is how many commands are buffered for one request's goroutine.
	maxPendingCommands = 4
)

// Logic is the deterministic routing logic: its commands depend only on the time and the
// events that it is passed.
type Logic interface {
	Tick(now time.Duration, events []domain.Event) []domain.Command
}

// Loop runs a Logic. Set the exported fields before Run.
type Loop struct {
	Logic Logic
	// HandleCommand is called with each command that belongs to no request; nil drops
	// them. It runs in the loop's goroutine and must not block.
	HandleCommand func(domain.Command)
	// MaxArrivals is the maximum number of arrivals that wait for a tick; zero means
	// DefaultMaxArrivals.
	MaxArrivals int
	// Meters receives the metrics; nil creates a private set.
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

// loopMetrics holds the metrics of the loop.
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

// Post queues an event for the next tick and wakes the loop. If MaxArrivals arrivals are
// queued already, a further arrival is refused at once.
func (l *Loop) Post(event domain.Event) {
	l.init()
	arrived, isArrival := event.(domain.RequestArrived)
	l.mu.Lock()
	if isArrival && l.arrivals >= l.MaxArrivals {
		l.mu.Unlock()
		l.counters.refusedArrivals.Inc()
		l.deliver(domain.Refuse{Request: arrived.Request, Reason: domain.ReasonOverload, RetryAfter: overloadRetryAfter})
		return
	}
	if isArrival {
		l.arrivals++
	}
	l.queue = append(l.queue, event)
	l.mu.Unlock()
	l.wakeUp()
}

func (l *Loop) wakeUp() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Watch returns the channel on which commands for a request are delivered. Call Unwatch
// when the request has ended; otherwise the channel is never freed.
func (l *Loop) Watch(id spec.RequestID) <-chan domain.Command {
	l.init()
	commands := make(chan domain.Command, maxPendingCommands)
	l.mu.Lock()
	l.watchers[id] = commands
	l.mu.Unlock()
	return commands
}

// Unwatch removes the channel of a request.
func (l *Loop) Unwatch(id spec.RequestID) {
	l.mu.Lock()
	delete(l.watchers, id)
	l.mu.Unlock()
}

// WatchCount returns how many requests are watched.
func (l *Loop) WatchCount() int {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.watchers)
}

// Inspect runs inspect in the loop's goroutine between two ticks, where the tables of the
// logic may be read, and returns when it has run. It returns the error of ctx if ctx ends
// first, or context.Canceled if the loop has ended.
func (l *Loop) Inspect(ctx context.Context, inspect func()) error {
	l.init()
	done := make(chan struct{})
	l.mu.Lock()
	l.inspections = append(l.inspections, func() { inspect(); close(done) })
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
	events, inspections := l.takeQueued()
	tickStart := time.Now()
	for _, c := range l.Logic.Tick(tickStart.Sub(start), events) {
		l.deliver(c)
	}
	l.counters.ticks.Inc()
	l.counters.tickDuration.UpdateDuration(tickStart)
	for _, inspect := range inspections {
		inspect()
	}
	// The logic may keep an event but not the slice, so the slice is reused.
	clear(events)
	l.mu.Lock()
	l.spareQueue = events[:0]
	l.mu.Unlock()
}

func (l *Loop) takeQueued() ([]domain.Event, []func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	events, inspections := l.queue, l.inspections
	l.queue, l.spareQueue, l.inspections, l.arrivals = l.spareQueue, nil, nil, 0
	return events, inspections
}

func (l *Loop) deliver(c domain.Command) {
	id, ok := requestID(c)
	if !ok {
		if l.HandleCommand != nil {
			l.HandleCommand(c)
		}
		return
	}
	if refusal, ok := c.(domain.Refuse); ok {
		l.Meters.GetOrCreateCounter(`fulmarwick_refusals_total{reason="` + refusal.Reason.String() + `"}`).Inc()
	}
	l.mu.Lock()
	commands := l.watchers[id]
	l.mu.Unlock()
	if commands == nil {
		return
	}
	// A request has at most one pending decision, so the buffer never fills while the
	// request's goroutine runs. A full buffer belongs to a goroutine that has ended.
	select {
	case commands <- c:
	default:
	}
}

func requestID(c domain.Command) (spec.RequestID, bool) {
	switch c := c.(type) {
	case domain.Start:
		return c.Request, true
	case domain.Wait:
		return c.Request, true
	case domain.Refuse:
		return c.Request, true
	case domain.Forward:
		return c.Request, true
	default:
		return "", false
	}
}
