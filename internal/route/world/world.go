package world

import (
	"time"

	"fulmarwick/internal/base/spec"
)

// World is all that the routing logic of one instance knows.
type World struct {
	now      time.Duration
	engines  Engines
	requests Requests
	classes  map[spec.ClassName]spec.Class
	teams    map[spec.TeamID]spec.Team
	version  uint64
	out      []Command
}

// Now is the time of the running tick, on a clock that only goes forward.
func (w *World) Now() time.Duration { return w.now }

// Engines is the table of engines.
func (w *World) Engines() *Engines { return &w.engines }

// Requests is the table of requests.
func (w *World) Requests() *Requests { return &w.requests }

// Class returns the class in force under name.
func (w *World) Class(name spec.ClassName) (spec.Class, bool) {
	c, ok := w.classes[name]
	return c, ok
}

// Team returns the team in force under id.
func (w *World) Team(id spec.TeamID) (spec.Team, bool) {
	t, ok := w.teams[id]
	return t, ok
}

// Version is the configuration version in force.
func (w *World) Version() uint64 { return w.version }

// Begin starts a tick at now.
func (w *World) Begin(now time.Duration) {
	w.now = now
	w.out = nil
}

// Commands returns what the systems asked for in this tick.
func (w *World) Commands() []Command { return w.out }

// Emit adds a command that concerns no request.
func (w *World) Emit(c Command) { w.out = append(w.out, c) }

// Start settles a request by running it on chain under a new attempt.
func (w *World) Start(r *Request, chain spec.Chain, depth, prio int) {
	w.release(r)
	r.attempt++
	r.chain = chain
	for _, s := range chain {
		if e := w.engines.Get(s.Engine()); e != nil {
			e.own++
		}
	}
	w.requests.settled(r)
	w.Emit(Start{Request: r.arrived.Request, Attempt: r.attempt, Chain: chain, Depth: depth, Prio: prio})
}

// Refuse settles a request by its final refusal and forgets it.
func (w *World) Refuse(r *Request, reason Reason, after time.Duration) {
	w.Emit(Refuse{Request: r.arrived.Request, Reason: reason, After: after, Ran: r.attempt > 0})
	w.forget(r)
}

func (w *World) forget(r *Request) {
	w.release(r)
	w.requests.settled(r)
	delete(w.requests.index, r.arrived.Request)
}

func (w *World) release(r *Request) {
	for _, s := range r.chain {
		if e := w.engines.Get(s.Engine()); e != nil && e.own > 0 {
			e.own--
		}
	}
	r.chain = nil
}
