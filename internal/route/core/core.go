// Package core implements the routing logic of the serve command as a state
// machine: Logic.Tick turns events into commands.
//
// It imports route/domain, which defines the state, events and commands, and
// its sibling packages, which implement the individual policies. The event
// loop in wire/loop calls Tick at each wake-up and at least every 20 ms;
// tests and benchmarks call it directly. The same events produce the same
// commands, byte for byte.
package core

import (
	"math/rand/v2"
	"slices"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/admit"
	"fulmarwick/internal/route/domain"
	"fulmarwick/internal/route/fair"
	"fulmarwick/internal/route/pick"
	"fulmarwick/internal/route/poison"
	"fulmarwick/internal/route/retry"
)

// Planner plans which layers each engine should load.
type Planner interface {
	Run(state *domain.RoutingState)
}

// Logic is the routing logic of one instance. Set the exported fields before
// the first Tick. The zero value is usable.
type Logic struct {
	// ID identifies this instance. Poison suspects are distributed over the
	// instances by it.
	ID spec.InstanceID
	// Seed seeds the instance's random numbers. Each instance needs a
	// different one.
	Seed uint64
	// Chooser chooses the chain of engines for a request. If nil, a
	// pick.Picker is used.
	Chooser pick.Chooser
	// UtilizationLimit is the fraction of an engine's capacity up to which
	// the engine gets new work. If zero, the limit is derived from how well
	// the targets are met.
	UtilizationLimit float64
	// AdmitAll starts every request at once and treats none as a poison
	// suspect. It is the baseline in comparisons.
	AdmitAll bool
	// Planner, if set, runs at the end of each tick.
	Planner Planner

	initialized bool
	state       domain.RoutingState
	rand        *rand.Rand
	prefixCache pick.Cache
	margins     admit.Margins
	utilization admit.UtilizationLimits
	teamRates   fair.Rates
	retryBudget retry.Budget
	timeouts    retry.TimeoutEstimator
	suspects    poison.Tracker
	queues      map[spec.ModelName]*modelQueue
	modelOrder  []spec.ModelName
	held        []*heldRequest
	announcer   announcer
}

// State returns the routing state. Callers must not change it.
func (l *Logic) State() *domain.RoutingState { return &l.state }

// WaitingCount returns the number of requests that wait in the queues or are
// held.
func (l *Logic) WaitingCount() int {
	n := len(l.held)
	for _, name := range l.modelOrder {
		n += l.queues[name].fair.Len()
	}
	return n
}

// Tick applies the events at time now, makes all decisions that are due and
// returns the resulting commands.
func (l *Logic) Tick(now time.Duration, events []domain.Event) []domain.Command {
	l.init()
	state := &l.state
	state.BeginTick(now)
	for _, ev := range events {
		l.apply(ev)
	}
	l.suspects.Run(state)
	for _, r := range state.Requests().TakeDue() {
		l.decide(r)
	}
	l.startHeld()
	l.serveQueues()
	l.teamRates.Run(state)
	l.announcer.announce(l)
	if l.Planner != nil {
		l.Planner.Run(state)
	}
	return state.Commands()
}

func (l *Logic) init() {
	if l.initialized {
		return
	}
	l.initialized = true
	l.rand = rand.New(rand.NewPCG(l.Seed, 0))
	if l.Chooser == nil {
		l.Chooser = &pick.Picker{Rand: l.rand, Cache: &l.prefixCache}
	}
	l.queues = map[spec.ModelName]*modelQueue{}
}

// apply updates the routing state, and the components that keep state of
// their own, with an event.
func (l *Logic) apply(ev domain.Event) {
	state := &l.state
	switch ev := ev.(type) {
	case domain.RequestFinished:
		l.observeResult(ev)
	case domain.StageLost:
		l.recordStageLoss(ev)
	case domain.RequestCanceled:
		l.recordAbandoned(ev)
	case domain.EngineDead:
		l.prefixCache.RemoveEngine(ev.Engine)
		if !l.AdmitAll {
			l.suspects.RecordDeadEngine(state, ev.Engine)
		}
	case domain.EngineRemoved:
		l.prefixCache.RemoveEngine(ev.Engine)
		l.announcer.removeEngine(ev.Engine)
	case domain.CacheReport:
		l.prefixCache.ApplyEvent(state.Now(), ev)
	case domain.TeamUsage:
		l.teamRates.ApplyReport(state.Now(), ev)
	case domain.SuspectReported:
		l.suspects.ApplyPeerReport(state.Now(), ev)
	case domain.ConfigChanged:
		if ev.Version >= state.Version() {
			l.retryBudget.RetainClasses(ev.Classes)
			l.timeouts.RetainClasses(ev.Classes)
			l.margins.RetainClasses(ev.Classes)
		}
	}
	state.Apply(ev)
}

// observeResult updates the predictions with the measured times of an answer.
// Only answers that completed on the first attempt count.
func (l *Logic) observeResult(ev domain.RequestFinished) {
	r := l.state.Requests().Get(ev.Request)
	if r == nil || !ev.OK || r.Attempt() != 1 {
		return
	}
	l.margins.RecordAnswer(r, ev)
	l.utilization.RecordAnswer(r, ev, l.queueFor(r.Arrival().Model).fair.Len() > 0)
	l.timeouts.Observe(r, ev)
}

// recordStageLoss counts an engine crash against the request. It must run
// before the routing state applies the event and drops the chain that the
// request ran on.
func (l *Logic) recordStageLoss(ev domain.StageLost) {
	state := &l.state
	r := state.Requests().Get(ev.Request)
	if r == nil || r.Attempt() != ev.Attempt || r.AwaitsRestart() {
		return
	}
	l.suspects.HandleStageLoss(r)
	e := state.Engines().Get(ev.Engine)
	// A request that began on an engine after it fell silent is not the cause.
	isNew := !l.AdmitAll && slices.Contains(r.Plan().NewEngines, ev.Engine) && (e == nil || !e.WasSilent(r.StartedAt()))
	switch {
	case ev.Cause == domain.CauseBroken || l.lostToDeadEngine(ev):
		l.prefixCache.RemoveEngine(ev.Engine)
		if isNew {
			l.suspects.RecordCrash(state, r, ev.Engine)
		}
	case ev.Cause == domain.CauseTimeout && isNew:
		l.suspects.RecordTimeout(state.Now(), r, ev.Engine)
	}
}

// recordAbandoned remembers a request whose caller leaves while engines run it. It must run before the
// routing state drops the request.
func (l *Logic) recordAbandoned(ev domain.RequestCanceled) {
	r := l.state.Requests().Get(ev.Request)
	if r != nil && !r.Ended() && r.Attempt() > 0 && !r.AwaitsRestart() {
		l.suspects.RecordAbandoned(l.state.Now(), r)
	}
}

func (l *Logic) lostToDeadEngine(ev domain.StageLost) bool {
	e := l.state.Engines().Get(ev.Engine)
	return ev.Cause == domain.CauseTimeout && e != nil && e.State() == domain.StateDead
}

func (l *Logic) decide(r *domain.Request) {
	if r.Attempt() == 0 && r.Arrival().ReceivedTokens == 0 {
		l.decideNew(r)
		return
	}
	l.decideResumed(r)
}
