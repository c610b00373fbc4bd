package node

import (
	"slices"
	"time"

	"fulmarwick/internal/base/news"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/talk"
)

const (
	// meetEvery is the time between two exchanges with one neighbour.
	meetEvery = time.Second
	// seekFast and seekSlow are the times between two tries to find instances
	// that are listed but not known as alive, before and after Ready.
	seekFast = 300 * time.Millisecond
	seekSlow = 3 * time.Second
	// seekAtOnce is how many are tried at once before Ready.
	seekAtOnce = 3
)

// meets are the regular exchanges with the neighbours.
type meets struct {
	rows    []meet
	version uint64
	// callers are the instances that have this one as a neighbour.
	callers []caller
	seek    time.Duration
}

type meet struct {
	id   spec.InstanceID
	next time.Duration
}

type caller struct {
	id   spec.InstanceID
	last time.Duration
}

func (m *meets) has(id spec.InstanceID) bool {
	return slices.ContainsFunc(m.rows, func(r meet) bool { return r.id == id })
}

// called notes that an instance of the own data centre made an exchange.
func (m *meets) called(id spec.InstanceID, now time.Duration) {
	for i := range m.callers {
		if m.callers[i].id == id {
			m.callers[i].last = now
			return
		}
	}
	m.callers = append(m.callers, caller{id: id, last: now})
}

// tickMeets makes the exchanges that are due.
func (l *Logic) tickMeets() {
	m := &l.meets
	m.callers = slices.DeleteFunc(m.callers, func(c caller) bool { return l.now-c.last > callerMemory })
	if m.version != l.members.Version() {
		m.version = l.members.Version()
		l.setMeets()
	}
	for i := range m.rows {
		r := &m.rows[i]
		if l.now >= r.next {
			r.next = l.now + l.jitter(meetEvery)
			l.exchange(r.id, purposeMeet)
		}
	}
	l.tickSeeking()
}

// setMeets follows the neighbours that the member table gives. A new one is
// met at a random moment, so that exchanges spread over time.
func (l *Logic) setMeets() {
	old := l.meets.rows
	l.meets.rows = nil
	for _, id := range l.members.Neighbours() {
		row := meet{id: id, next: l.now + time.Duration(l.Rand.Int64N(int64(meetEvery/4)))}
		if at := slices.IndexFunc(old, func(r meet) bool { return r.id == id }); at >= 0 {
			row = old[at]
		}
		l.meets.rows = append(l.meets.rows, row)
	}
}

// tickSeeking calls instances that are listed but not known as alive: the
// first contact of a new instance, and the way back after a cut.
func (l *Logic) tickSeeking() {
	if l.now < l.meets.seek {
		return
	}
	every, count := seekSlow, 1
	if !l.join.ready {
		every, count = seekFast, seekAtOnce
	}
	l.meets.seek = l.now + l.jitter(every)
	var lost []spec.InstanceID
	alone := len(l.meets.rows) == 0
	for _, p := range l.listed.peers {
		if !l.members.Live(p.ID) && (alone || p.DataCentre == l.Self.DataCentre) {
			lost = append(lost, p.ID)
		}
	}
	for range min(count, len(lost)) {
		i := l.Rand.IntN(len(lost))
		l.exchange(lost[i], purposeSeek)
		lost = slices.Delete(lost, i, i+1)
	}
}

// jitter is d with up to a tenth more or less.
func (l *Logic) jitter(d time.Duration) time.Duration {
	return d*9/10 + time.Duration(l.Rand.Int64N(int64(d)/5))
}

// targets are whom news are pushed to: the neighbours, those that have this
// one as neighbour, and for a gateway its partners in other data centres.
func (l *Logic) targets() []spec.InstanceID {
	var out []spec.InstanceID
	for _, r := range l.meets.rows {
		out = append(out, r.id)
	}
	for _, c := range l.meets.callers {
		if !slices.Contains(out, c.id) && l.members.Live(c.id) {
			out = append(out, c.id)
		}
	}
	return append(out, l.remotes.partners()...)
}

// near reports whether an instance is of the own data centre; an unknown one
// is not, so it gets nothing that should stay inside.
func (l *Logic) near(id spec.InstanceID) bool {
	if rec, ok := l.members.Get(id); ok {
		return rec.DataCentre == l.Self.DataCentre
	}
	return l.listed.centre(id) == l.Self.DataCentre
}

// scope is the least scope of what goes to an instance.
func (l *Logic) scope(id spec.InstanceID) news.Scope {
	if l.near(id) {
		return news.ScopeCentre
	}
	return news.ScopeFleet
}

// active returns the instances of a data centre that take duties; if there
// are none yet, all of them.
func (l *Logic) active(centre spec.DataCentre) []spec.InstanceID {
	ids := l.members.Members(func(r talk.Record) bool { return r.DataCentre == centre && !r.Passive })
	if len(ids) > 0 {
		return ids
	}
	return l.members.Members(func(r talk.Record) bool { return r.DataCentre == centre })
}
