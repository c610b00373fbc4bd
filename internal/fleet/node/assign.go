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

// watchersPerEngine is how many instances read the reports of each engine.
const watchersPerEngine = 2

// assignments holds the engines and duties assigned to this instance.
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

// tickAssignments assigns watches and duties again when the members changed.
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
	// During the hand-over the old watches are kept, so that the new
	// watchers have polled once before this instance stops.
	if l.drain.Phase() == drain.PhaseHandingOver {
		return
	}
	active := l.activeInstances(l.Local.DataCentre)
	var engines, primary []spec.UpstreamID
	for _, e := range l.discovered.engines {
		top := rank.Top("watch/"+string(e), active, watchersPerEngine)
		if at := slices.Index(top, l.Local.ID); at >= 0 {
			engines = append(engines, e)
			if at == 0 {
				primary = append(primary, e)
			}
		}
	}
	if l.drain.Stopping() {
		engines, primary = nil, nil
	}
	if w.reported && slices.Equal(engines, w.engines) && slices.Equal(primary, w.primary) {
		return
	}
	w.reported, w.engines, w.primary = true, engines, primary
	l.emit(Watch{Engines: engines, Primary: primary})
}

// assignDuties reports which duties are assigned to this instance and which no
// longer are. Two instances may both be assigned a duty for a moment; its
// lease decides.
func (l *Logic) assignDuties() {
	w := &l.assignments
	if w.assigned == nil {
		w.assigned = map[string]bool{}
	}
	var removed []string
	for name, assigned := range w.assigned {
		if assigned && !slices.ContainsFunc(w.dutySpecs, func(d DutySpec) bool { return d.Name == name }) {
			removed = append(removed, name)
		}
	}
	slices.SortFunc(removed, cmp.Compare[string])
	for _, name := range removed {
		l.setDuty(name, false)
	}
	for _, d := range w.dutySpecs {
		assigned := l.join.ready && !l.drain.Stopping() && rank.IsFirst("duty/"+d.Name, l.dutyCandidates(d.Scope), l.Local.ID)
		l.setDuty(d.Name, assigned)
	}
}

func (l *Logic) setDuty(name string, assigned bool) {
	if l.assignments.assigned[name] != assigned {
		l.assignments.assigned[name] = assigned
		l.emit(Duty{Name: name, Assigned: assigned})
	}
}

// dutyCandidates returns the instances to which a duty of the scope may be
// assigned.
func (l *Logic) dutyCandidates(scope news.Scope) []spec.InstanceID {
	if scope == news.ScopeCentre {
		return l.activeInstances(l.Local.DataCentre)
	}
	unreachable := map[spec.DataCentre]bool{}
	for _, c := range l.remoteCentres.rows {
		unreachable[c.centre] = c.unreachable
	}
	return l.members.LiveMembers(func(r proto.Record) bool { return !r.Passive && !unreachable[r.DataCentre] })
}
