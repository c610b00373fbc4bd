// Package core runs the systems of the routing logic over a World each tick.
//
// It imports route/world and the systems beside it. The loop of wire/loop
// calls Tick at each wake-up and at least every 20 ms; tests and benches call
// it directly. The same events give the same commands, byte for byte.
package core

import (
	"math/rand/v2"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/admit"
	"fulmarwick/internal/route/fair"
	"fulmarwick/internal/route/pick"
	"fulmarwick/internal/route/poison"
	"fulmarwick/internal/route/retry"
	"fulmarwick/internal/route/world"
)

// Planner is a system that plans what engines should hold.
type Planner interface {
	Run(w *world.World)
}

// Logic is the routing logic of one instance. Set the exported fields before
// the first Tick; the zero value works alone.
type Logic struct {
	// ID is this instance; suspects of poison are spread over instances by it.
	ID spec.InstanceID
	// Seed makes the instance's draws its own; give each instance another.
	Seed uint64
	// Pick chooses chains; nil is a pick.Picker.
	Pick pick.Chooser
	// Limit is the part of an engine's capacity up to which it takes new
	// work; zero lets the targets decide.
	Limit float64
	// Open starts every request at once and suspects none of poison. It is the
	// naive side of comparisons.
	Open bool
	// Planner, if set, runs at the end of each tick.
	Planner Planner

	ready    bool
	world    world.World
	rand     *rand.Rand
	cache    pick.Cache
	margins  admit.Margins
	fill     admit.Fill
	rates    fair.Rates
	budget   retry.Budget
	patience retry.Patience
	book     poison.Book
	queues   map[spec.ModelName]*queue
	order    []spec.ModelName
	held     []*held
	tell     tell
}

// World gives the tables for reading.
func (l *Logic) World() *world.World { return &l.world }

// Waiting is how many requests wait in the queues.
func (l *Logic) Waiting() int {
	n := len(l.held)
	for _, name := range l.order {
		n += l.queues[name].fair.Len()
	}
	return n
}

// Tick applies events at now, runs the systems and returns their commands.
func (l *Logic) Tick(now time.Duration, events []world.Event) []world.Command {
	l.init()
	w := &l.world
	w.Begin(now)
	for _, ev := range events {
		l.apply(ev)
	}
	l.book.Run(w)
	for _, r := range w.Requests().Due() {
		l.decide(r)
	}
	l.runHeld()
	l.runQueues()
	l.rates.Run(w)
	l.tell.run(l)
	if l.Planner != nil {
		l.Planner.Run(w)
	}
	return w.Commands()
}

func (l *Logic) init() {
	if l.ready {
		return
	}
	l.ready = true
	l.rand = rand.New(rand.NewPCG(l.Seed, 0))
	if l.Pick == nil {
		l.Pick = &pick.Picker{Rand: l.rand, Cache: &l.cache}
	}
	l.queues = map[spec.ModelName]*queue{}
}

// apply takes an event into the tables and tells the systems that keep state
// of their own.
func (l *Logic) apply(ev world.Event) {
	w := &l.world
	switch ev := ev.(type) {
	case world.Finished:
		l.learn(ev)
	case world.StageLost:
		l.crashed(ev)
	case world.EngineDown:
		l.cache.Gone(ev.Engine)
	case world.EngineGone:
		l.cache.Gone(ev.Engine)
		l.tell.forget(ev.Engine)
	case world.CacheSeen:
		l.cache.Seen(w.Now(), ev)
	case world.TeamUsed:
		l.rates.Heard(w.Now(), ev)
	case world.Suspected:
		l.book.Heard(w.Now(), ev)
	case world.ConfigSet:
		if ev.Version >= w.Version() {
			l.budget.Keep(ev.Classes)
			l.patience.Keep(ev.Classes)
			l.margins.Keep(ev.Classes)
		}
	}
	w.Apply(ev)
}

// learn compares what was predicted for an answer with what it took.
func (l *Logic) learn(ev world.Finished) {
	r := l.world.Requests().Get(ev.Request)
	if r == nil || !ev.OK || r.Attempt() != 1 {
		return
	}
	l.margins.Saw(r, ev)
	l.fill.Saw(r, ev, l.queue(r.Arrived().Model).fair.Len() > 0)
	l.patience.Saw(r, ev)
}

// crashed counts a death against the request before the tables forget on
// which chain it ran.
func (l *Logic) crashed(ev world.StageLost) {
	w := &l.world
	r := w.Requests().Get(ev.Request)
	if r == nil || r.Attempt() != ev.Attempt || r.Asking() {
		return
	}
	l.book.Lost(r)
	if ev.Cause != world.CauseBroken && !l.isDown(ev) {
		return
	}
	l.cache.Gone(ev.Engine)
	if l.Open {
		return
	}
	for _, e := range r.Plan().Fresh {
		if e == ev.Engine {
			l.book.Crashed(w, r, ev.Engine)
		}
	}
}

func (l *Logic) isDown(ev world.StageLost) bool {
	e := l.world.Engines().Get(ev.Engine)
	return ev.Cause == world.CauseTimeout && e != nil && e.State() == world.StateDown
}

func (l *Logic) decide(r *world.Request) {
	if r.Attempt() == 0 && r.Arrived().Done == 0 {
		l.fresh(r)
		return
	}
	l.resume(r)
}
