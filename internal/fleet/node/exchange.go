package node

import (
	"slices"
	"time"

	"fulmarwick/internal/base/news"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/proto"
)

const (
	// exchangeInterval is the time between two exchanges with one neighbour.
	exchangeInterval = time.Second
	// joinDiscoveryInterval is the time between two attempts, before
	// Ready, to contact instances that are listed but not known to be
	// alive.
	joinDiscoveryInterval = 300 * time.Millisecond
	// discoveryInterval is the same time after Ready.
	discoveryInterval = 3 * time.Second
	// joinDiscoveryCount is how many instances each attempt contacts
	// before Ready.
	joinDiscoveryCount = 3
)

// exchanges holds the regular exchanges with the neighbours.
type exchanges struct {
	rows    []scheduledExchange
	version uint64
	// callers are the instances that have this one as a neighbour.
	callers     []caller
	nextAttempt time.Duration
}

type scheduledExchange struct {
	id    spec.InstanceID
	dueAt time.Duration
}

type caller struct {
	id       spec.InstanceID
	lastCall time.Duration
}

func (m *exchanges) has(id spec.InstanceID) bool {
	return slices.ContainsFunc(m.rows, func(r scheduledExchange) bool { return r.id == id })
}

// recordCaller records that an instance of the local data centre started an
// exchange.
func (m *exchanges) recordCaller(id spec.InstanceID, now time.Duration) {
	for i := range m.callers {
		if m.callers[i].id == id {
			m.callers[i].lastCall = now
			return
		}
	}
	m.callers = append(m.callers, caller{id: id, lastCall: now})
}

// tickExchanges starts the exchanges that are due.
func (l *Logic) tickExchanges() {
	m := &l.exchanges
	m.callers = slices.DeleteFunc(m.callers, func(c caller) bool { return l.now-c.lastCall > callerTTL })
	if m.version != l.members.Version() {
		m.version = l.members.Version()
		l.updateNeighbours()
	}
	for i := range m.rows {
		r := &m.rows[i]
		if l.now >= r.dueAt {
			r.dueAt = l.now + l.jitter(exchangeInterval)
			l.startExchange(r.id, purposeExchange)
		}
	}
	l.tickDiscovery()
}

// updateNeighbours applies a change of the neighbours in the member table. The
// first exchange with a new neighbour is at a random moment, so that exchanges
// spread over time.
func (l *Logic) updateNeighbours() {
	old := l.exchanges.rows
	l.exchanges.rows = nil
	for _, id := range l.members.Neighbours() {
		row := scheduledExchange{id: id, dueAt: l.now + time.Duration(l.Rand.Int64N(int64(exchangeInterval/4)))}
		if at := slices.IndexFunc(old, func(r scheduledExchange) bool { return r.id == id }); at >= 0 {
			row = old[at]
		}
		l.exchanges.rows = append(l.exchanges.rows, row)
	}
}

// tickDiscovery calls instances that are listed but not known to be alive. It
// makes the first contact of a new instance and restores contact after a
// network partition.
func (l *Logic) tickDiscovery() {
	if l.now < l.exchanges.nextAttempt {
		return
	}
	every, count := discoveryInterval, 1
	if !l.join.ready {
		every, count = joinDiscoveryInterval, joinDiscoveryCount
	}
	l.exchanges.nextAttempt = l.now + l.jitter(every)
	var lost []spec.InstanceID
	alone := len(l.exchanges.rows) == 0
	for _, p := range l.discovered.peers {
		if !l.members.IsLive(p.ID) && (alone || p.DataCentre == l.Local.DataCentre) {
			lost = append(lost, p.ID)
		}
	}
	for range min(count, len(lost)) {
		i := l.Rand.IntN(len(lost))
		l.startExchange(lost[i], purposeBestEffort)
		lost = slices.Delete(lost, i, i+1)
	}
}

// jitter returns d changed by up to a tenth in either direction.
func (l *Logic) jitter(d time.Duration) time.Duration {
	return d*9/10 + time.Duration(l.Rand.Int64N(int64(d)/5))
}

// pushTargets returns the instances to which items are pushed: the neighbours,
// the instances that have this one as a neighbour, and for a gateway its
// partners in other data centres.
func (l *Logic) pushTargets() []spec.InstanceID {
	var out []spec.InstanceID
	for _, r := range l.exchanges.rows {
		out = append(out, r.id)
	}
	for _, c := range l.exchanges.callers {
		if !slices.Contains(out, c.id) && l.members.IsLive(c.id) {
			out = append(out, c.id)
		}
	}
	return append(out, l.remoteCentres.partners()...)
}

// inLocalCentre reports whether an instance is in the local data centre. An
// unknown instance is not, so it gets no centre-scoped items.
func (l *Logic) inLocalCentre(id spec.InstanceID) bool {
	if rec, ok := l.members.Get(id); ok {
		return rec.DataCentre == l.Local.DataCentre
	}
	return l.discovered.centreOf(id) == l.Local.DataCentre
}

// scope returns the least scope of items that may be sent to an instance.
func (l *Logic) scope(id spec.InstanceID) news.Scope {
	if l.inLocalCentre(id) {
		return news.ScopeCentre
	}
	return news.ScopeFleet
}

// activeInstances returns the instances of a data centre that take duties, or
// all its live instances if none takes duties yet.
func (l *Logic) activeInstances(centre spec.DataCentre) []spec.InstanceID {
	ids := l.members.LiveMembers(func(r proto.Record) bool { return r.DataCentre == centre && !r.Passive })
	if len(ids) > 0 {
		return ids
	}
	return l.members.LiveMembers(func(r proto.Record) bool { return r.DataCentre == centre })
}
