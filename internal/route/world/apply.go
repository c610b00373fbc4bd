package world

import (
	"fulmarwick/internal/base/spec"
)

// Apply takes an event into the tables.
func (w *World) Apply(ev Event) {
	switch ev := ev.(type) {
	case Arrived:
		w.arrived(ev)
	case Progress:
		w.progress(ev)
	case StageLost:
		w.stageLost(ev)
	case Finished:
		w.finished(ev)
	case Canceled:
		w.ended(ev.Request)
	case ConfigSet:
		w.configSet(ev)
	default:
		w.applyEngine(ev)
	}
}

func (w *World) applyEngine(ev Event) {
	switch ev := ev.(type) {
	case EngineSeen:
		w.engineSeen(ev)
	case EngineDown:
		w.engines.mark(w.now, ev.Engine, StateDown)
	case EngineLeaving:
		w.engines.mark(w.now, ev.Engine, StateLeaving)
	case EngineGone:
		w.engineGone(ev.Engine)
	case HopTimed:
		if e := w.engines.Get(ev.Engine); e != nil {
			e.timed(ev)
		}
	case PeersSet:
		w.peersSet(ev)
	case PeerLoad:
		w.peerLoad(ev)
	case PeerGone:
		w.peerGone(ev.Peer)
	case CentreSum:
		w.centreSum(ev)
	case Duties:
		w.duties = ev
	}
}

func (w *World) arrived(ev Arrived) {
	if w.requests.Get(ev.Request) != nil {
		return
	}
	class := w.classes[ev.Class]
	w.requests.add(&Request{arrived: ev, class: class, at: w.now})
}

func (w *World) progress(ev Progress) {
	if r := w.requests.Get(ev.Request); r != nil {
		r.tokens = max(r.tokens, ev.Tokens)
	}
}

func (w *World) stageLost(ev StageLost) {
	r := w.requests.Get(ev.Request)
	// A report of an older attempt is about a chain that was left already.
	if r == nil || r.attempt != ev.Attempt {
		return
	}
	e := w.engines.Get(ev.Engine)
	// A second loss of the same attempt says more about the engine, but the
	// request has its decision open already; two would start it twice.
	if r.asking {
		if e != nil {
			w.failed(e, ev.Cause)
		}
		return
	}
	r.asking = true
	r.tokens = max(r.tokens, ev.Tokens)
	r.cause = ev.Cause
	r.died = ev.Cause == CauseBroken || (e != nil && e.state == StateDown)
	// An engine that lost only this request's state can rebuild it.
	if ev.Cause != CauseState {
		r.lost = append(r.lost, ev.Engine)
	}
	if e != nil {
		w.failed(e, ev.Cause)
	}
	w.requests.wait(r)
}

func (w *World) failed(e *Engine, cause Cause) {
	switch cause {
	case CauseBroken:
		w.engines.mark(w.now, e.ID, StateDown)
	case CauseTimeout, CauseRefused, CauseLeaving:
		// Leaving is also what a full engine answers, so it is not marked for
		// good: its report or the list confirm it while it is shunned.
		e.Shun(w.now)
	case CauseState:
	}
}

func (w *World) finished(ev Finished) {
	r := w.requests.Get(ev.Request)
	if r == nil {
		return
	}
	r.done = ev.OK
	if ev.OK {
		for _, s := range r.plan.Chain {
			if e := w.engines.Get(s.Engine()); e != nil {
				e.Proved()
			}
		}
	}
	w.forget(r)
}

func (w *World) ended(id spec.RequestID) {
	if r := w.requests.Get(id); r != nil {
		w.forget(r)
	}
}

func (w *World) configSet(ev ConfigSet) {
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
