// Package loop runs the routing logic in its own goroutine: it gathers
// events, ticks, and hands commands to whoever waits for them.
//
// It imports base/spec and route/world. The app builds one Loop per process;
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
	"fulmarwick/internal/route/world"

	"github.com/VictoriaMetrics/metrics"
)

// Every is the longest time between two ticks.
const Every = 20 * time.Millisecond

const (
	// DefaultQueue is the most arrivals that wait for a tick if Queue is not
	// set.
	DefaultQueue = 8192
	// floodRetry is what callers are told whose arrival found the queue full.
	floodRetry = time.Second
	// pending is how many commands wait for one request's goroutine.
	pending = 4
)

// Logic is the deterministic part.
type Logic interface {
	Tick(now time.Duration, events []world.Event) []world.Command
}

// Loop drives a Logic. Set the exported fields before Run.
type Loop struct {
	Logic Logic
	// Other receives the commands that no request waits for; nil drops them.
	// It runs between ticks and must not block.
	Other func(world.Command)
	// Queue is the most arrivals that wait for a tick.
	Queue int
	// Meters takes the metrics; nil makes a private set.
	Meters *metrics.Set

	once  sync.Once
	wake  chan struct{}
	ended chan struct{}
	meter meter

	mu       sync.Mutex
	queue    []world.Event
	spare    []world.Event
	arrivals int
	looks    []func()
	waits    map[spec.RequestID]chan world.Command
}

// meter is what the loop tells about itself.
type meter struct {
	ticks    *metrics.Counter
	flooded  *metrics.Counter
	duration *metrics.Histogram
}

func (l *Loop) init() {
	l.once.Do(func() {
		l.wake = make(chan struct{}, 1)
		l.ended = make(chan struct{})
		l.waits = map[spec.RequestID]chan world.Command{}
		if l.Queue == 0 {
			l.Queue = DefaultQueue
		}
		if l.Meters == nil {
			l.Meters = metrics.NewSet()
		}
		l.meter = meter{
			ticks:    l.Meters.GetOrCreateCounter("fulmarwick_ticks_total"),
			flooded:  l.Meters.GetOrCreateCounter("fulmarwick_arrivals_flooded_total"),
			duration: l.Meters.GetOrCreateHistogram("fulmarwick_tick_seconds"),
		}
		l.Meters.GetOrCreateGauge("fulmarwick_requests_waited", func() float64 { return float64(l.Waiting()) })
	})
}

// Post queues an event for the next tick and wakes the loop. An arrival that
// finds the queue full is refused at once.
func (l *Loop) Post(ev world.Event) {
	l.init()
	arrived, is := ev.(world.Arrived)
	l.mu.Lock()
	if is && l.arrivals >= l.Queue {
		l.mu.Unlock()
		l.meter.flooded.Inc()
		l.deliver(world.Refuse{Request: arrived.Request, Reason: world.ReasonOverload, After: floodRetry})
		return
	}
	if is {
		l.arrivals++
	}
	l.queue = append(l.queue, ev)
	l.mu.Unlock()
	l.signal()
}

func (l *Loop) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Watch returns the channel on which commands for a request arrive. Call
// Forget when the request ended; without it the channel would stay for ever.
func (l *Loop) Watch(id spec.RequestID) <-chan world.Command {
	l.init()
	ch := make(chan world.Command, pending)
	l.mu.Lock()
	l.waits[id] = ch
	l.mu.Unlock()
	return ch
}

// Forget ends a Watch.
func (l *Loop) Forget(id spec.RequestID) {
	l.mu.Lock()
	delete(l.waits, id)
	l.mu.Unlock()
}

// Waiting is how many requests are watched.
func (l *Loop) Waiting() int {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waits)
}

// Look runs look in the loop's goroutine between two ticks, where the tables
// of the logic may be read, and returns when it ran. The error is that of ctx,
// or context.Canceled if the loop ended.
func (l *Loop) Look(ctx context.Context, look func()) error {
	l.init()
	done := make(chan struct{})
	l.mu.Lock()
	l.looks = append(l.looks, func() { look(); close(done) })
	l.mu.Unlock()
	l.signal()
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
	ticker := time.NewTicker(Every)
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
	events, looks := l.take()
	began := time.Now()
	for _, c := range l.Logic.Tick(began.Sub(start), events) {
		l.deliver(c)
	}
	l.meter.ticks.Inc()
	l.meter.duration.UpdateDuration(began)
	for _, look := range looks {
		look()
	}
	// The logic may keep an event but not the slice; its room serves again.
	clear(events)
	l.mu.Lock()
	l.spare = events[:0]
	l.mu.Unlock()
}

func (l *Loop) take() ([]world.Event, []func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	events, looks := l.queue, l.looks
	l.queue, l.spare, l.looks, l.arrivals = l.spare, nil, nil, 0
	return events, looks
}

func (l *Loop) deliver(c world.Command) {
	id, ok := target(c)
	if !ok {
		if l.Other != nil {
			l.Other(c)
		}
		return
	}
	if r, is := c.(world.Refuse); is {
		l.Meters.GetOrCreateCounter(`fulmarwick_refusals_total{reason="` + r.Reason.String() + `"}`).Inc()
	}
	l.mu.Lock()
	ch := l.waits[id]
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

func target(c world.Command) (spec.RequestID, bool) {
	switch c := c.(type) {
	case world.Start:
		return c.Request, true
	case world.Refuse:
		return c.Request, true
	case world.Forward:
		return c.Request, true
	default:
		return "", false
	}
}
