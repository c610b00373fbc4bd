package domain

import (
	"time"

	"fulmarwick/internal/base/spec"
)

// RoutingState is all that the routing logic of one instance knows.
type RoutingState struct {
	now            time.Duration
	engines        Engines
	requests       Requests
	peers          peers
	remoteCentres  map[spec.ModelName][]*RemoteCentre
	classes        map[spec.ClassName]spec.Class
	teams          map[spec.TeamID]spec.Team
	version        uint64
	duties         Duties
	tokenRates     map[spec.ModelName]int64
	changedEngines []*Engine
	commands       []Command
}

// Now is the time of the running tick, on a clock that only goes forward.
func (w *RoutingState) Now() time.Duration { return w.now }

// Engines is the table of engines.
func (w *RoutingState) Engines() *Engines { return &w.engines }

// Requests is the table of requests.
func (w *RoutingState) Requests() *Requests { return &w.requests }

// Class returns the class in force under name.
func (w *RoutingState) Class(name spec.ClassName) (spec.Class, bool) {
	c, ok := w.classes[name]
	return c, ok
}

// Team returns the team in force under id.
func (w *RoutingState) Team(id spec.TeamID) (spec.Team, bool) {
	t, ok := w.teams[id]
	return t, ok
}

// Version is the configuration version in force.
func (w *RoutingState) Version() uint64 { return w.version }

// Duties are those that this instance holds under a lease.
func (w *RoutingState) Duties() Duties { return w.duties }

// BeginTick starts a tick at now.
func (w *RoutingState) BeginTick(now time.Duration) {
	w.now = now
	w.commands = nil
}

// Commands returns what the systems asked for in this tick.
func (w *RoutingState) Commands() []Command { return w.commands }

// Emit adds a command that concerns no request.
func (w *RoutingState) Emit(c Command) { w.commands = append(w.commands, c) }

// TakeChangedEngines takes the engines whose own load changed since the last call; an
// engine may come twice.
func (w *RoutingState) TakeChangedEngines() []*Engine {
	t := w.changedEngines
	w.changedEngines = nil
	return t
}

// Start settles a request by running it by plan under a new attempt. The
// times say how long the wire waits before a stage counts as lost.
func (w *RoutingState) Start(r *Request, plan Plan, prio int, patience, prefill time.Duration) {
	w.releaseEngines(r)
	r.attempt++
	r.awaitsRestart = false
	r.plan = plan
	r.startedAt = w.now
	r.tokensAtStart = r.tokens
	w.chargeEngines(r)
	w.Emit(Start{
		Request: r.arrival.Request, Attempt: r.attempt, Chain: plan.Chain, Depth: plan.Depth,
		Priority: prio, StepTimeout: patience, PrefillTimeout: prefill,
	})
}

// Refuse settles a request by its final refusal and forgets it.
func (w *RoutingState) Refuse(r *Request, reason Reason, after time.Duration) {
	w.Emit(Refuse{Request: r.arrival.Request, Reason: reason, RetryAfter: after, Ran: r.attempt > 0})
	w.removeRequest(r)
}

// Forward settles a request by having the instance to run it.
func (w *RoutingState) Forward(r *Request, to spec.InstanceID) {
	w.Emit(Forward{Request: r.arrival.Request, To: to})
	w.removeRequest(r)
}

func (w *RoutingState) removeRequest(r *Request) {
	w.releaseEngines(r)
	r.ended = true
	delete(w.requests.index, r.arrival.Request)
}

func (w *RoutingState) chargeEngines(r *Request) {
	for i, s := range r.plan.Chain {
		e := w.engines.Get(s.Engine())
		if e == nil {
			continue
		}
		draw := int64(0)
		if i < len(r.plan.StageDemands) {
			draw = r.plan.StageDemands[i]
		}
		e.localRequests++
		kv := int64(r.MaxKVTokens())
		e.addLocalLoad(draw, kv)
		r.charges = append(r.charges, charge{engine: e, demand: draw, kvTokens: kv})
		w.changedEngines = append(w.changedEngines, e)
	}
	w.adjustTokenRate(r.arrival.Model, r.plan.TokenTime, 1)
}

// releaseEngines takes back what charge added, from the same rows: an engine that
// was removed and came back is another row and owes nothing.
func (w *RoutingState) releaseEngines(r *Request) {
	if len(r.charges) == 0 {
		return
	}
	for _, c := range r.charges {
		c.engine.localRequests--
		c.engine.addLocalLoad(-c.demand, -c.kvTokens)
		for _, g := range c.engine.groups {
			g.recordFreed(c.engine)
		}
		w.changedEngines = append(w.changedEngines, c.engine)
	}
	w.adjustTokenRate(r.arrival.Model, r.plan.TokenTime, -1)
	r.charges = nil
	r.plan = Plan{Version: r.plan.Version}
}

func (w *RoutingState) adjustTokenRate(model spec.ModelName, token time.Duration, sign int64) {
	if w.tokenRates == nil {
		w.tokenRates = map[spec.ModelName]int64{}
	}
	w.tokenRates[model] += sign * milliTokens * int64(time.Second) / int64(max(token, time.Microsecond))
}

const milliTokens = 1000

// TokenRate is how many tokens a second this instance's requests of the model make
// as predicted.
func (w *RoutingState) TokenRate(model spec.ModelName) float64 {
	return float64(w.tokenRates[model]) / milliTokens
}
