package node

import (
	"cmp"
	"slices"
	"strings"

	"fulmarwick/internal/base/news"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/drain"
	"fulmarwick/internal/fleet/proto"
	"fulmarwick/internal/fleet/rank"
)

// watchersPerEngine is how many instances read each engine's reports.
const watchersPerEngine = 2

// assignments are the engines and duties of this instance.
type assignments struct {
	version   uint64
	dirty     bool
	engines   []spec.UpstreamID
	primary   []spec.UpstreamID
	reported  bool
	dutySpecs []DutySpec
	assigned  map[string]bool
}

func (w *assignments) setDuties(specs []DutySpec) {
	w.dutySpecs = slices.Clone(specs)
	slices.SortFunc(w.dutySpecs, func(a, b DutySpec) int { return strings.Compare(a.Name, b.Name) })
	w.dirty = true
}

// tickAssignments spreads watches and duties anew when the members changed.
func (l *Logic) tickAssignments() {
	l.updateReachability()
	w := &l.assignments
	changed := w.version != l.members.Version()
	if !changed && !w.dirty {
		return
	}
	w.version, w.dirty = l.members.Version(), false
	if changed {
		l.emit(l.membersCommand())
	}
	l.assignEngines()
	l.assignDuties()
}

func (l *Logic) membersCommand() Members {
	var out Members
	l.members.Each(func(r proto.Record) {
		if r.State <= proto.StateSuspect && r.ID != l.Local.ID {
			out.Peers = append(out.Peers, Peer{ID: r.ID, DataCentre: r.DataCentre, URL: l.peerURL(r.ID), Passive: r.Passive})
		}
	})
	return out
}

func (l *Logic) assignEngines() {
	w := &l.assignments
	// During the hand-over the old watches are kept, so that the first polls
	// of the new watchers are done before the last ones here.
	if l.drain.Phase() == drain.PhaseHandingOver {
		return
	}
	able := l.activeInstances(l.Local.DataCentre)
	var engines, first []spec.UpstreamID
	for _, e := range l.discovered.engines {
		top := rank.Top("watch/"+string(e), able, watchersPerEngine)
		if at := slices.Index(top, l.Local.ID); at >= 0 {
			engines = append(engines, e)
			if at == 0 {
				first = append(first, e)
			}
		}
	}
	if l.drain.Stopping() {
		engines, first = nil, nil
	}
	if w.reported && slices.Equal(engines, w.engines) && slices.Equal(first, w.primary) {
		return
	}
	w.reported, w.engines, w.primary = true, engines, first
	l.emit(Watch{Engines: engines, Primary: first})
}

// assignDuties tells which duties begin or end here. Two instances may both
// hold one for a moment: its lease decides.
func (l *Logic) assignDuties() {
	w := &l.assignments
	if w.assigned == nil {
		w.assigned = map[string]bool{}
	}
	var gone []string
	for name, mine := range w.assigned {
		if mine && !slices.ContainsFunc(w.dutySpecs, func(d DutySpec) bool { return d.Name == name }) {
			gone = append(gone, name)
		}
	}
	slices.SortFunc(gone, cmp.Compare[string])
	for _, name := range gone {
		l.setDuty(name, false)
	}
	for _, d := range w.dutySpecs {
		mine := l.join.ready && !l.drain.Stopping() && rank.IsFirst("duty/"+d.Name, l.dutyCandidates(d.Scope), l.Local.ID)
		l.setDuty(d.Name, mine)
	}
}

func (l *Logic) setDuty(name string, mine bool) {
	if l.assignments.assigned[name] != mine {
		l.assignments.assigned[name] = mine
		l.emit(Duty{Name: name, Assigned: mine})
	}
}

// dutyCandidates are the instances among which a duty of the scope is spread.
func (l *Logic) dutyCandidates(scope news.Scope) []spec.InstanceID {
	if scope == news.ScopeCentre {
		return l.activeInstances(l.Local.DataCentre)
	}
	cut := map[spec.DataCentre]bool{}
	for _, c := range l.remoteCentres.rows {
		cut[c.centre] = c.unreachable
	}
	return l.members.LiveMembers(func(r proto.Record) bool { return !r.Passive && !cut[r.DataCentre] })
}
