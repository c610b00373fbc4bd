// Package core runs the systems of the routing logic over a World each tick.
//
// It imports route/domain and the systems beside it. The loop of wire/loop
// calls Tick at each wake-up and at least every 20 ms; tests and benches call
// it directly. The same events give the same commands, byte for byte.
package core

import (
	"math/rand/v2"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/admit"
	"fulmarwick/internal/route/domain"
	"fulmarwick/internal/route/fair"
	"fulmarwick/internal/route/pick"
	"fulmarwick/internal/route/poison"
	"fulmarwick/internal/route/retry"
)

// Planner is a system that plans what engines should hold.
type Planner interface {
	Run(w *domain.RoutingState)
}

// Logic is the routing logic of one instance. Set the exported fields before
// the first Tick; the zero value works alone.
type Logic struct {
	// ID is this instance; suspects of poison are spread over instances by it.
	ID spec.InstanceID
	// Seed makes the instance's draws its own; give each instance another.
	Seed uint64
	// Chooser chooses chains; nil is a pick.Picker.
	Chooser pick.Chooser
	// UtilizationLimit is the part of an engine's capacity up to which it takes new
	// work; zero lets the targets decide.
	UtilizationLimit float64
	// AdmitAll starts every request at once and suspects none of poison. It is the
	// naive side of comparisons.
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

// State gives the tables for reading.
func (l *Logic) State() *domain.RoutingState { return &l.state }

// WaitingCount is how many requests wait in the queues.
func (l *Logic) WaitingCount() int {
	n := len(l.held)
	for _, name := range l.modelOrder {
		n += l.queues[name].fair.Len()
	}
	return n
}

// Tick applies events at now, runs the systems and returns their commands.
func (l *Logic) Tick(now time.Duration, events []domain.Event) []domain.Command {
	l.init()
	w := &l.state
	w.BeginTick(now)
	for _, ev := range events {
		l.apply(ev)
	}
	l.suspects.Run(w)
	for _, r := range w.Requests().TakeDue() {
		l.decide(r)
	}
	l.startHeld()
	l.serveQueues()
	l.teamRates.Run(w)
	l.announcer.announce(l)
	if l.Planner != nil {
		l.Planner.Run(w)
	}
	return w.Commands()
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

// apply takes an event into the tables and tells the systems that keep state
// of their own.
func (l *Logic) apply(ev domain.Event) {
	w := &l.state
	switch ev := ev.(type) {
	case domain.RequestFinished:
		l.observeResult(ev)
	case domain.StageLost:
		l.recordStageLoss(ev)
	case domain.EngineDead:
		l.prefixCache.RemoveEngine(ev.Engine)
	case domain.EngineRemoved:
		l.prefixCache.RemoveEngine(ev.Engine)
		l.announcer.removeEngine(ev.Engine)
	case domain.CacheReport:
		l.prefixCache.ApplyEvent(w.Now(), ev)
	case domain.TeamUsage:
		l.teamRates.ApplyReport(w.Now(), ev)
	case domain.SuspectReported:
		l.suspects.ApplyPeerReport(w.Now(), ev)
	case domain.ConfigChanged:
		if ev.Version >= w.Version() {
			l.retryBudget.RetainClasses(ev.Classes)
			l.timeouts.RetainClasses(ev.Classes)
			l.margins.KeepClasses(ev.Classes)
		}
	}
	w.Apply(ev)
}

// observeResult compares what was predicted for an answer with what it took.
func (l *Logic) observeResult(ev domain.RequestFinished) {
	r := l.state.Requests().Get(ev.Request)
	if r == nil || !ev.OK || r.Attempt() != 1 {
		return
	}
	l.margins.RecordAnswer(r, ev)
	l.utilization.RecordAnswer(r, ev, l.queueFor(r.Arrival().Model).fair.Len() > 0)
	l.timeouts.Observe(r, ev)
}

// recordStageLoss counts a death against the request before the tables forget on
// which chain it ran.
func (l *Logic) recordStageLoss(ev domain.StageLost) {
	w := &l.state
	r := w.Requests().Get(ev.Request)
	if r == nil || r.Attempt() != ev.Attempt || r.AwaitsRestart() {
		return
	}
	l.suspects.HandleStageLoss(r)
	if ev.Cause != domain.CauseBroken && !l.lostToDeadEngine(ev) {
		return
	}
	l.prefixCache.RemoveEngine(ev.Engine)
	if l.AdmitAll {
		return
	}
	for _, e := range r.Plan().NewEngines {
		if e == ev.Engine {
			l.suspects.RecordCrash(w, r, ev.Engine)
		}
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
