package node

import (
	"slices"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/talk"
)

// Times of a join.
const (
	// DefaultAlone is how long a new instance looks for others before it
	// counts as the first.
	DefaultAlone = 3 * time.Second
	// joinMost is how much longer it waits for listed instances that do not
	// answer; after that it serves, since refusing all work for want of peers
	// would be an outage of its own.
	joinMost = 10 * time.Second
	// catchUp is how many peers must have given all that they have.
	catchUp = 2
	// resumeAfter is the pause between two answers of one peer while catching
	// up.
	resumeAfter = 100 * time.Millisecond
	// readyAfter is the pause before a peer that is not ready is asked again.
	readyAfter = 500 * time.Millisecond
)

// join is how far a new instance caught up.
type join struct {
	ready bool
	// whole are the peers that gave all they had, caught those of them that
	// are ready themselves.
	whole  []spec.InstanceID
	caught []spec.InstanceID
	again  []meet
}

// answered notes what an answer to an exchange says about catching up.
func (j *join) answered(l *Logic, from spec.InstanceID, c *call, m *talk.Message) {
	if j.ready || c.why == purposeRelay {
		return
	}
	if !m.Whole {
		j.askAgain(from, l.now+resumeAfter)
		return
	}
	if !slices.Contains(j.whole, from) {
		j.whole = append(j.whole, from)
	}
	if m.Ready && !slices.Contains(j.caught, from) {
		j.caught = append(j.caught, from)
	}
	// A peer that joins too will soon be ready. Without asking again, this
	// instance would learn so only by chance and stay unready for seconds.
	if !m.Ready {
		j.askAgain(from, l.now+readyAfter)
	}
}

// askAgain plans one further exchange with a peer. A second plan for the same
// peer would double with each answer.
func (j *join) askAgain(id spec.InstanceID, at time.Duration) {
	if !slices.ContainsFunc(j.again, func(r meet) bool { return r.id == id }) {
		j.again = append(j.again, meet{id: id, next: at})
	}
}

// tickJoin continues exchanges that were cut short, and tells once this
// instance knows what its peers know.
func (l *Logic) tickJoin() {
	j := &l.join
	if j.ready {
		return
	}
	j.again = slices.DeleteFunc(j.again, func(r meet) bool {
		if l.now < r.next {
			return false
		}
		l.exchange(r.id, purposeSeek)
		return true
	})
	if l.caughtUp() || l.first() {
		j.ready = true
		j.again, j.whole, j.caught = nil, nil, nil
		l.members.Passive(l.drain.Stopping())
		l.watch.dirty = true
		l.emit(Ready{})
	}
}

// caughtUp reports whether enough ready peers gave all they had. The first
// instance of a data centre meets one gateway of another and hears no details
// from any, so that one is enough for it.
func (l *Logic) caughtUp() bool {
	near := len(l.others(true))
	if near == 0 {
		return len(l.join.caught) > 0
	}
	return len(l.join.caught) >= min(catchUp, near)
}

// first reports whether there is nobody to learn from: nobody was found for
// long enough, or all that were found are as new as this instance and gave
// what they have.
func (l *Logic) first() bool {
	waited := l.now - l.started
	if waited < l.Alone || len(l.join.caught) > 0 && waited < l.Alone+joinMost {
		return false
	}
	others := l.others(false)
	for _, id := range others {
		if !slices.Contains(l.join.whole, id) && waited < l.Alone+joinMost {
			return false
		}
	}
	// Listed ones that do not answer may only be slow; a list that was never
	// read says nothing at all.
	silent := !l.listed.seen
	for _, p := range l.listed.peers {
		silent = silent || !slices.Contains(others, p.ID) && p.DataCentre == l.Self.DataCentre
	}
	return !silent || waited >= l.Alone+joinMost
}

// others are the other live instances, of the own data centre only if near.
func (l *Logic) others(near bool) []spec.InstanceID {
	return l.members.Members(func(r talk.Record) bool {
		return r.ID != l.Self.ID && (!near || r.DataCentre == l.Self.DataCentre)
	})
}
