package domain

import (
	"time"

	"fulmarwick/internal/base/spec"
)

// RoutingState is everything that the routing logic of one instance knows:
// engines, requests, peers, configuration and duties. It also collects the
// commands of the current tick.
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

// Now returns the time of the current tick, on a monotonic clock.
func (state *RoutingState) Now() time.Duration { return state.now }

// Engines returns the table of engines.
func (state *RoutingState) Engines() *Engines { return &state.engines }

// Requests returns the table of requests.
func (state *RoutingState) Requests() *Requests { return &state.requests }

// Class returns the configured class with this name.
func (state *RoutingState) Class(name spec.ClassName) (spec.Class, bool) {
	c, ok := state.classes[name]
	return c, ok
}

// Team returns the configured team with this ID.
func (state *RoutingState) Team(id spec.TeamID) (spec.Team, bool) {
	t, ok := state.teams[id]
	return t, ok
}

// Version returns the configuration version in force.
func (state *RoutingState) Version() uint64 { return state.version }

// Duties returns the duties that this instance holds under a lease.
func (state *RoutingState) Duties() Duties { return state.duties }

// BeginTick starts a tick at time now and clears the commands of the previous
// tick.
func (state *RoutingState) BeginTick(now time.Duration) {
	state.now = now
	state.commands = nil
}

// Commands returns the commands emitted in this tick.
func (state *RoutingState) Commands() []Command { return state.commands }

// Emit adds a command that does not settle a request.
func (state *RoutingState) Emit(c Command) { state.commands = append(state.commands, c) }

// TakeChangedEngines returns the engines whose load by this instance changed
// since the last call. An engine may occur more than once.
func (state *RoutingState) TakeChangedEngines() []*Engine {
	engines := state.changedEngines
	state.changedEngines = nil
	return engines
}

// Start settles a request by starting it with plan as a new attempt. The
// timeouts say how long a step may take before its stage counts as lost.
func (state *RoutingState) Start(r *Request, plan Plan, priority int, stepTimeout, prefillTimeout time.Duration) {
	state.releaseEngines(r)
	r.attempt++
	r.awaitsRestart, r.waited = false, false
	r.plan = plan
	r.startedAt = state.now
	r.tokensAtStart = r.tokens
	state.chargeEngines(r)
	state.Emit(Start{
		Request: r.arrival.Request, Attempt: r.attempt, Chain: plan.Chain, Depth: plan.Depth,
		Priority: priority, StepTimeout: stepTimeout, PrefillTimeout: prefillTimeout,
	})
}

// Wait settles a request whose engine did not answer in time by letting it wait
// for that engine again. The engine does not count as failed.
func (state *RoutingState) Wait(r *Request, stepTimeout, prefillTimeout time.Duration) {
	r.awaitsRestart, r.waited = false, true
	r.tokensAtWait = r.tokens
	r.failures = r.failures[:len(r.failures)-1]
	state.Emit(Wait{Request: r.arrival.Request, Attempt: r.attempt, StepTimeout: stepTimeout, PrefillTimeout: prefillTimeout})
}

// Refuse settles a request with a final refusal and removes it.
func (state *RoutingState) Refuse(r *Request, reason Reason, retryAfter time.Duration) {
	state.Emit(Refuse{Request: r.arrival.Request, Reason: reason, RetryAfter: retryAfter, Ran: r.attempt > 0})
	state.removeRequest(r)
}

// Forward settles a request by forwarding it to another instance and removes
// it.
func (state *RoutingState) Forward(r *Request, to spec.InstanceID) {
	state.Emit(Forward{Request: r.arrival.Request, To: to})
	state.removeRequest(r)
}

func (state *RoutingState) removeRequest(r *Request) {
	state.releaseEngines(r)
	r.ended = true
	delete(state.requests.index, r.arrival.Request)
}

func (state *RoutingState) chargeEngines(r *Request) {
	for i, stage := range r.plan.Chain {
		e := state.engines.Get(stage.Engine())
		if e == nil {
			continue
		}
		demand := int64(0)
		if i < len(r.plan.StageDemands) {
			demand = r.plan.StageDemands[i]
		}
		e.localRequests++
		kvTokens := int64(r.MaxKVTokens())
		e.addLocalLoad(demand, kvTokens)
		r.charges = append(r.charges, charge{engine: e, demand: demand, kvTokens: kvTokens})
		state.changedEngines = append(state.changedEngines, e)
	}
	state.adjustTokenRate(r.arrival.Model, r.plan.TokenTime, 1)
}

// releaseEngines subtracts what chargeEngines added, from the same rows. An
// engine that was removed and came back has a new row, which was never
// charged.
func (state *RoutingState) releaseEngines(r *Request) {
	if len(r.charges) == 0 {
		return
	}
	for _, c := range r.charges {
		c.engine.localRequests--
		c.engine.addLocalLoad(-c.demand, -c.kvTokens)
		for _, g := range c.engine.groups {
			g.recordFreed(c.engine)
		}
		state.changedEngines = append(state.changedEngines, c.engine)
	}
	state.adjustTokenRate(r.arrival.Model, r.plan.TokenTime, -1)
	r.charges = nil
	r.plan = Plan{Version: r.plan.Version}
}

func (state *RoutingState) adjustTokenRate(model spec.ModelName, tokenTime time.Duration, sign int64) {
	if state.tokenRates == nil {
		state.tokenRates = map[spec.ModelName]int64{}
	}
	state.tokenRates[model] += sign * milliTokens * int64(time.Second) / int64(max(tokenTime, time.Microsecond))
}

// milliTokens is the number of units of tokenRates per token.
const milliTokens = 1000

// TokenRate returns the predicted rate of this instance's running requests of
// the model, in tokens per second.
func (state *RoutingState) TokenRate(model spec.ModelName) float64 {
	return float64(state.tokenRates[model]) / milliTokens
}
