package domain

import (
	"fulmarwick/internal/base/spec"
)

// Apply takes an event into the tables.
func (w *RoutingState) Apply(ev Event) {
	switch ev := ev.(type) {
	case RequestArrived:
		w.addRequest(ev)
	case RequestProgress:
		w.applyProgress(ev)
	case StageLost:
		w.applyStageLost(ev)
	case RequestFinished:
		w.applyFinished(ev)
	case RequestCanceled:
		w.cancelRequest(ev.Request)
	case ConfigChanged:
		w.applyConfig(ev)
	default:
		w.applyEngine(ev)
	}
}

func (w *RoutingState) applyEngine(ev Event) {
	switch ev := ev.(type) {
	case EngineReport:
		w.applyEngineReport(ev)
	case EngineDead:
		w.engines.setState(w.now, ev.Engine, StateDead)
	case EngineLeaving:
		w.engines.setState(w.now, ev.Engine, StateLeaving)
	case EngineRemoved:
		w.removeEngine(ev.Engine)
	case HopMeasured:
		if e := w.engines.Get(ev.Engine); e != nil {
			e.applyHopTimes(ev)
		}
	case PeersChanged:
		w.applyPeers(ev)
	case PeerLoad:
		w.applyPeerLoad(ev)
	case PeerRemoved:
		w.removePeer(ev.Peer)
	case CentreCapacity:
		w.applyCentreCapacity(ev)
	case Duties:
		w.duties = ev
	}
}

func (w *RoutingState) addRequest(ev RequestArrived) {
	if w.requests.Get(ev.Request) != nil {
		return
	}
	class := w.classes[ev.Class]
	w.requests.add(&Request{arrival: ev, class: class, arrivedAt: w.now})
}

func (w *RoutingState) applyProgress(ev RequestProgress) {
	if r := w.requests.Get(ev.Request); r != nil {
		r.tokens = max(r.tokens, ev.Tokens)
	}
}

func (w *RoutingState) applyStageLost(ev StageLost) {
	r := w.requests.Get(ev.Request)
	// A report of an older attempt is about a chain that was left already.
	if r == nil || r.attempt != ev.Attempt {
		return
	}
	e := w.engines.Get(ev.Engine)
	// A second loss of the same attempt says more about the engine, but the
	// request has its decision open already; two would start it twice.
	if r.awaitsRestart {
		if e != nil {
			w.recordEngineFailure(e, ev.Cause)
		}
		return
	}
	r.awaitsRestart = true
	r.tokens = max(r.tokens, ev.Tokens)
	r.lossCause = ev.Cause
	r.engineDied = ev.Cause == CauseBroken || (e != nil && e.state == StateDead)
	// An engine that lost only this request's state can rebuild it.
	if ev.Cause != CauseStateLost {
		r.failedEngines = append(r.failedEngines, ev.Engine)
	}
	if e != nil {
		w.recordEngineFailure(e, ev.Cause)
	}
	w.requests.addDue(r)
}

func (w *RoutingState) recordEngineFailure(e *Engine, cause Cause) {
	switch cause {
	case CauseBroken:
		w.engines.setState(w.now, e.ID, StateDead)
	case CauseTimeout, CauseRefused, CauseLeaving:
		// Leaving is also what a full engine answers, so it is not marked for
		// good: its report or the list confirm it while it is shunned.
		e.StartCooldown(w.now)
	case CauseStateLost:
	}
}

func (w *RoutingState) applyFinished(ev RequestFinished) {
	r := w.requests.Get(ev.Request)
	if r == nil {
		return
	}
	r.completed = ev.OK
	if ev.OK {
		for _, s := range r.plan.Chain {
			if e := w.engines.Get(s.Engine()); e != nil {
				e.ResetFailures()
			}
		}
	}
	w.removeRequest(r)
}

func (w *RoutingState) cancelRequest(id spec.RequestID) {
	if r := w.requests.Get(id); r != nil {
		w.removeRequest(r)
	}
}

func (w *RoutingState) applyConfig(ev ConfigChanged) {
	// A lower version comes from a stale read or an old peer; taking it
	// would revert an accepted configuration.
	if ev.Version < w.version {
		return
	}
	w.version = ev.Version
	w.classes = make(map[spec.ClassName]spec.Class, len(ev.Classes))
	for _, c := range ev.Classes {
		w.classes[c.Name()] = c
	}
	w.teams = make(map[spec.TeamID]spec.Team, len(ev.Teams))
	for _, t := range ev.Teams {
		w.teams[t.ID()] = t
	}
}
