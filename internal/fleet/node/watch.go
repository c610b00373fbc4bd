package node

import (
	"cmp"
	"slices"
	"strings"

	"fulmarwick/internal/base/news"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/drain"
	"fulmarwick/internal/fleet/rank"
	"fulmarwick/internal/fleet/talk"
)

// watchers is how many instances read each engine's reports.
const watchers = 2

// watches are the engines and duties of this instance.
type watches struct {
	version uint64
	dirty   bool
	engines []spec.UpstreamID
	first   []spec.UpstreamID
	told    bool
	specs   []DutySpec
	mine    map[string]bool
}

func (w *watches) duties(specs []DutySpec) {
	w.specs = slices.Clone(specs)
	slices.SortFunc(w.specs, func(a, b DutySpec) int { return strings.Compare(a.Name, b.Name) })
	w.dirty = true
}

// tickWatch spreads watches and duties anew when the members changed.
func (l *Logic) tickWatch() {
	l.tickReach()
	w := &l.watch
	changed := w.version != l.members.Version()
	if !changed && !w.dirty {
		return
	}
	w.version, w.dirty = l.members.Version(), false
	if changed {
		l.emit(l.peers())
	}
	l.assignEngines()
	l.assignDuties()
}

func (l *Logic) peers() Members {
	var out Members
	l.members.Each(func(r talk.Record) {
		if r.State <= talk.StateSuspect && r.ID != l.Self.ID {
			out.Peers = append(out.Peers, Peer{ID: r.ID, DataCentre: r.DataCentre, URL: l.url(r.ID), Passive: r.Passive})
		}
	})
	return out
}

func (l *Logic) assignEngines() {
	w := &l.watch
	// During the hand-over the old watches are kept, so that the first polls
	// of the new watchers are done before the last ones here.
	if l.drain.Phase() == drain.PhaseHanding {
		return
	}
	able := l.active(l.Self.DataCentre)
	var engines, first []spec.UpstreamID
	for _, e := range l.listed.engines {
		top := rank.Top("watch/"+string(e), able, watchers)
		if at := slices.Index(top, l.Self.ID); at >= 0 {
			engines = append(engines, e)
			if at == 0 {
				first = append(first, e)
			}
		}
	}
	if l.drain.Stopping() {
		engines, first = nil, nil
	}
	if w.told && slices.Equal(engines, w.engines) && slices.Equal(first, w.first) {
		return
	}
	w.told, w.engines, w.first = true, engines, first
	l.emit(Watch{Engines: engines, First: first})
}

// assignDuties tells which duties begin or end here. Two instances may both
// hold one for a moment: its lease decides.
func (l *Logic) assignDuties() {
	w := &l.watch
	if w.mine == nil {
		w.mine = map[string]bool{}
	}
	var gone []string
	for name, mine := range w.mine {
		if mine && !slices.ContainsFunc(w.specs, func(d DutySpec) bool { return d.Name == name }) {
			gone = append(gone, name)
		}
	}
	slices.SortFunc(gone, cmp.Compare[string])
	for _, name := range gone {
		l.setDuty(name, false)
	}
	for _, d := range w.specs {
		mine := l.join.ready && !l.drain.Stopping() && rank.IsFirst("duty/"+d.Name, l.able(d.Scope), l.Self.ID)
		l.setDuty(d.Name, mine)
	}
}

func (l *Logic) setDuty(name string, mine bool) {
	if l.watch.mine[name] != mine {
		l.watch.mine[name] = mine
		l.emit(Duty{Name: name, Mine: mine})
	}
}

// able are the instances among which a duty of the scope is spread.
func (l *Logic) able(scope news.Scope) []spec.InstanceID {
	if scope == news.ScopeCentre {
		return l.active(l.Self.DataCentre)
	}
	cut := map[spec.DataCentre]bool{}
	for _, c := range l.remotes.rows {
		cut[c.centre] = c.unreachable
	}
	return l.members.Members(func(r talk.Record) bool { return !r.Passive && !cut[r.DataCentre] })
}
