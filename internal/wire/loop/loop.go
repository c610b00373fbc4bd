// Package loop runs the routing logic in its own goroutine: it gathers
// events, ticks, and hands commands to whoever waits for them.
//
// It imports route/world. The app builds one Loop per process.
package loop

import (
	"context"
	"sync"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/world"
)

// Every is the longest time between two ticks.
const Every = 20 * time.Millisecond

// Logic is the deterministic part.
type Logic interface {
	Tick(now time.Duration, events []world.Event) []world.Command
}

// Loop drives a Logic. Set the exported fields before Run.
type Loop struct {
	Logic Logic
	// Other receives the commands that no request waits for; nil drops them.
	Other func(world.Command)

	once  sync.Once
	mu    sync.Mutex
	queue []world.Event
	wake  chan struct{}
	waits map[spec.RequestID]chan world.Command
}

func (l *Loop) init() {
	l.once.Do(func() {
		l.wake = make(chan struct{}, 1)
		l.waits = map[spec.RequestID]chan world.Command{}
	})
}

// Post queues an event for the next tick and wakes the loop.
func (l *Loop) Post(ev world.Event) {
	l.init()
	l.mu.Lock()
	l.queue = append(l.queue, ev)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Watch returns the channel on which commands for a request arrive. Call
// Forget when the request ended.
func (l *Loop) Watch(id spec.RequestID) <-chan world.Command {
	l.init()
	ch := make(chan world.Command, 4)
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

// Run ticks until ctx ends.
func (l *Loop) Run(ctx context.Context) error {
	l.init()
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
		l.tick(time.Since(start))
	}
}

func (l *Loop) tick(now time.Duration) {
	l.mu.Lock()
	events := l.queue
	l.queue = nil
	l.mu.Unlock()
	for _, c := range l.Logic.Tick(now, events) {
		l.deliver(c)
	}
}

func (l *Loop) deliver(c world.Command) {
	id, ok := target(c)
	if !ok {
		if l.Other != nil {
			l.Other(c)
		}
		return
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
