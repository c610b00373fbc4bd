package world

import "fulmarwick/internal/base/spec"

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
		w.finished(ev.Request)
	case Canceled:
		w.finished(ev.Request)
	case EngineSeen:
		w.engines.see(ev.Engine)
	case EngineDown:
		w.engines.mark(ev.Engine, StateDown)
	case EngineLeaving:
		w.engines.mark(ev.Engine, StateLeaving)
	case EngineGone:
		w.engines.remove(ev.Engine)
	case ConfigSet:
		w.configSet(ev)
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
	r.lost = append(r.lost, ev.Engine)
	if ev.Cause == CauseBroken {
		w.engines.mark(ev.Engine, StateDown)
	}
	w.requests.wait(r)
}

func (w *World) finished(id spec.RequestID) {
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
