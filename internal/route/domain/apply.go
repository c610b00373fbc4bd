package domain

import (
	"fulmarwick/internal/base/spec"
)

// Apply applies an event to the routing state.
func (state *RoutingState) Apply(ev Event) {
	switch ev := ev.(type) {
	case RequestArrived:
		state.addRequest(ev)
	case RequestProgress:
		state.applyProgress(ev)
	case StageLost:
		state.applyStageLost(ev)
	case RequestFinished:
		state.applyFinished(ev)
	case RequestCanceled:
		state.cancelRequest(ev.Request)
	case ConfigChanged:
		state.applyConfig(ev)
	default:
		state.applyEngine(ev)
	}
}

func (state *RoutingState) applyEngine(ev Event) {
	switch ev := ev.(type) {
	case EngineReport:
		state.applyEngineReport(ev)
	case EngineDead:
		state.engines.setState(state.now, ev.Engine, StateDead)
	case EngineSilent:
		state.engines.setSilent(state.now, ev.Engine)
	case EngineLeaving:
		state.engines.setState(state.now, ev.Engine, StateLeaving)
	case EngineRemoved:
		state.removeEngine(ev.Engine)
	case HopMeasured:
		state.applyHopMeasured(ev)
	default:
		state.applyPeer(ev)
	}
}

func (state *RoutingState) applyHopMeasured(ev HopMeasured) {
	if e := state.engines.Get(ev.Engine); e != nil {
		e.applyHopTimes(ev)
	}
}

func (state *RoutingState) applyPeer(ev Event) {
	switch ev := ev.(type) {
	case PeersChanged:
		state.applyPeers(ev)
	case PeerLoad:
		state.applyPeerLoad(ev)
	case PeerRemoved:
		state.removePeer(ev.Peer)
	case CentreCapacity:
		state.applyCentreCapacity(ev)
	case Duties:
		state.duties = ev
	}
}

func (state *RoutingState) addRequest(ev RequestArrived) {
	if state.requests.Get(ev.Request) != nil {
		return
	}
	class := state.classes[ev.Class]
	state.requests.add(&Request{arrival: ev, class: class, arrivedAt: state.now})
}

func (state *RoutingState) applyProgress(ev RequestProgress) {
	if r := state.requests.Get(ev.Request); r != nil {
		r.tokens = max(r.tokens, ev.Tokens)
	}
}

func (state *RoutingState) applyStageLost(ev StageLost) {
	r := state.requests.Get(ev.Request)
	// A report of an older attempt concerns a chain that the request no
	// longer uses.
	if r == nil || r.attempt != ev.Attempt {
		return
	}
	e := state.engines.Get(ev.Engine)
	// A second loss in the same attempt is still evidence about the
	// engine, but the request already waits for a decision; deciding twice
	// would start it twice.
	if r.awaitsRestart {
		if e != nil {
			state.recordEngineFailure(e, ev.Cause)
		}
		return
	}
	r.awaitsRestart = true
	r.tokens = max(r.tokens, ev.Tokens)
	r.lossCause = ev.Cause
	r.engineDied = ev.Cause == CauseBroken || (e != nil && e.state == StateDead)
	// An engine that lost only this request's state can rebuild it, so the
	// request need not avoid it.
	if ev.Cause != CauseStateLost {
		r.failures = append(r.failures, engineFailure{engine: ev.Engine, cause: ev.Cause})
	}
	if e != nil {
		state.recordEngineFailure(e, ev.Cause)
	}
	state.requests.addDue(r)
}

func (state *RoutingState) recordEngineFailure(e *Engine, cause Cause) {
	switch cause {
	case CauseBroken:
		state.engines.setState(state.now, e.ID, StateDead)
	case CauseTimeout, CauseRefused, CauseLeaving:
		// A full engine also answers "leaving", so the engine is not marked
		// as leaving for good. If it really leaves, its report or the list of
		// engines says so during the cooldown.
		e.StartCooldown(state.now, cause)
	case CauseStateLost:
	}
}

func (state *RoutingState) applyFinished(ev RequestFinished) {
	r := state.requests.Get(ev.Request)
	if r == nil {
		return
	}
	r.completed = ev.OK
	if ev.OK {
		for _, s := range r.plan.Chain {
			if e := state.engines.Get(s.Engine()); e != nil {
				e.ResetFailures()
			}
		}
	}
	state.removeRequest(r)
}

func (state *RoutingState) cancelRequest(id spec.RequestID) {
	if r := state.requests.Get(id); r != nil {
		state.removeRequest(r)
	}
}

func (state *RoutingState) applyConfig(ev ConfigChanged) {
	// A lower version comes from a stale read or an old peer. Applying it
	// would revert an accepted configuration.
	if ev.Version < state.version {
		return
	}
	state.version = ev.Version
	state.classes = make(map[spec.ClassName]spec.Class, len(ev.Classes))
	for _, c := range ev.Classes {
		state.classes[c.Name()] = c
	}
	state.teams = make(map[spec.TeamID]spec.Team, len(ev.Teams))
	for _, t := range ev.Teams {
		state.teams[t.ID()] = t
	}
}
