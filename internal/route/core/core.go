// Package core runs the systems of the routing logic over a World each tick.
//
// It imports route/world and the systems beside it. The loop of wire/loop
// calls Tick at each wake-up and at least every 20 ms; tests and benches call
// it directly. The same events give the same commands, byte for byte.
package core

import (
	"time"

	"fulmarwick/internal/route/pick"
	"fulmarwick/internal/route/world"
)

// retryAfter is what callers are told when no engine serves their model now.
const retryAfter = 2 * time.Second

// maxAttempts bounds the chains tried for one request.
const maxAttempts = 6

// Logic is the routing logic of one instance.
type Logic struct {
	world world.World
}

// World gives the tables for reading.
func (l *Logic) World() *world.World { return &l.world }

// Tick applies events at now, runs the systems and returns their commands.
func (l *Logic) Tick(now time.Duration, events []world.Event) []world.Command {
	w := &l.world
	w.Begin(now)
	for _, ev := range events {
		w.Apply(ev)
	}
	l.decide()
	return w.Commands()
}

func (l *Logic) decide() {
	w := &l.world
	due := append([]*world.Request(nil), w.Requests().Due()...)
	for _, r := range due {
		l.route(r)
	}
}

func (l *Logic) route(r *world.Request) {
	w := &l.world
	if _, ok := w.Class(r.Arrived().Class); !ok {
		w.Refuse(r, world.ReasonClass, 0)
		return
	}
	if r.Attempt() >= maxAttempts {
		w.Refuse(r, world.ReasonRetries, retryAfter)
		return
	}
	choice, ok := pick.Choose(w, r)
	if !ok {
		w.Refuse(r, world.ReasonNoEngine, retryAfter)
		return
	}
	w.Start(r, choice.Chain, choice.Depth, 0)
}
