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
	peers    peers
	centres  map[spec.ModelName][]*Centre
	classes  map[spec.ClassName]spec.Class
	teams    map[spec.TeamID]spec.Team
	version  uint64
	duties   Duties
	paces    map[spec.ModelName]int64
	touched  []*Engine
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

// Duties are those that this instance holds under a lease.
func (w *World) Duties() Duties { return w.duties }

// Begin starts a tick at now.
func (w *World) Begin(now time.Duration) {
	w.now = now
	w.out = nil
}

// Commands returns what the systems asked for in this tick.
func (w *World) Commands() []Command { return w.out }

// Emit adds a command that concerns no request.
func (w *World) Emit(c Command) { w.out = append(w.out, c) }

// Touched takes the engines whose own load changed since the last call; an
// engine may come twice.
func (w *World) Touched() []*Engine {
	t := w.touched
	w.touched = nil
	return t
}

// Start settles a request by running it by plan under a new attempt. The
// times say how long the wire waits before a stage counts as lost.
func (w *World) Start(r *Request, plan Plan, prio int, patience, prefill time.Duration) {
	w.release(r)
	r.attempt++
	r.asking = false
	r.plan = plan
	r.started = w.now
	r.from = r.tokens
	w.charge(r)
	w.Emit(Start{
		Request: r.arrived.Request, Attempt: r.attempt, Chain: plan.Chain, Depth: plan.Depth,
		Prio: prio, Patience: patience, Prefill: prefill,
	})
}

// Refuse settles a request by its final refusal and forgets it.
func (w *World) Refuse(r *Request, reason Reason, after time.Duration) {
	w.Emit(Refuse{Request: r.arrived.Request, Reason: reason, After: after, Ran: r.attempt > 0})
	w.forget(r)
}

// Forward settles a request by having the instance to run it.
func (w *World) Forward(r *Request, to spec.InstanceID) {
	w.Emit(Forward{Request: r.arrived.Request, To: to})
	w.forget(r)
}

func (w *World) forget(r *Request) {
	w.release(r)
	r.gone = true
	delete(w.requests.index, r.arrived.Request)
}

func (w *World) charge(r *Request) {
	for i, s := range r.plan.Chain {
		e := w.engines.Get(s.Engine())
		if e == nil {
			continue
		}
		draw := int64(0)
		if i < len(r.plan.Draws) {
			draw = r.plan.Draws[i]
		}
		e.own++
		kv := int64(r.KV())
		e.addOwn(draw, kv)
		r.charges = append(r.charges, charge{engine: e, draw: draw, kv: kv})
		w.touched = append(w.touched, e)
	}
	w.paced(r.arrived.Model, r.plan.Token, 1)
}

// release takes back what charge added, from the same rows: an engine that
// was removed and came back is another row and owes nothing.
func (w *World) release(r *Request) {
	if len(r.charges) == 0 {
		return
	}
	for _, c := range r.charges {
		c.engine.own--
		c.engine.addOwn(-c.draw, -c.kv)
		for _, g := range c.engine.groups {
			g.free(c.engine)
		}
		w.touched = append(w.touched, c.engine)
	}
	w.paced(r.arrived.Model, r.plan.Token, -1)
	r.charges = nil
	r.plan = Plan{Version: r.plan.Version}
}

func (w *World) paced(model spec.ModelName, token time.Duration, sign int64) {
	if w.paces == nil {
		w.paces = map[spec.ModelName]int64{}
	}
	w.paces[model] += sign * milli * int64(time.Second) / int64(max(token, time.Microsecond))
}

const milli = 1000

// Pace is how many tokens a second this instance's requests of the model make
// as predicted.
func (w *World) Pace(model spec.ModelName) float64 {
	return float64(w.paces[model]) / milli
}
