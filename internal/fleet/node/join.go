package node

import (
	"slices"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/proto"
)

// Times of a join.
const (
	// DefaultAloneTimeout is how long a new instance looks for others before it
	// counts as the first.
	DefaultAloneTimeout = 3 * time.Second
	// maxJoinWait is how much longer it waits for listed instances that do not
	// answer; after that it serves, since refusing all work for want of peers
	// would be an outage of its own.
	maxJoinWait = 10 * time.Second
	// minReadyPeers is how many peers must have given all that they have.
	minReadyPeers = 2
	// resumeDelay is the pause between two answers of one peer while catching
	// up.
	resumeDelay = 100 * time.Millisecond
	// unreadyRetryDelay is the pause before a peer that is not ready is asked again.
	unreadyRetryDelay = 500 * time.Millisecond
)

// joinState is how far a new instance caught up.
type joinState struct {
	ready bool
	// completePeers are the peers that gave all they had, caught those of them that
	// are ready themselves.
	completePeers []spec.InstanceID
	readyPeers    []spec.InstanceID
	retries       []scheduledExchange
}

// handleAnswer notes what an answer to an exchange says about catching up.
func (j *joinState) handleAnswer(l *Logic, from spec.InstanceID, c *call, m *proto.Message) {
	if j.ready || c.purpose == purposeIndirectProbe {
		return
	}
	if !m.Complete {
		j.scheduleRetry(from, l.now+resumeDelay)
		return
	}
	if !slices.Contains(j.completePeers, from) {
		j.completePeers = append(j.completePeers, from)
	}
	if m.Ready && !slices.Contains(j.readyPeers, from) {
		j.readyPeers = append(j.readyPeers, from)
	}
	// A peer that joins too will soon be ready. Without asking again, this
	// instance would learn so only by chance and stay unready for seconds.
	if !m.Ready {
		j.scheduleRetry(from, l.now+unreadyRetryDelay)
	}
}

// scheduleRetry plans one further exchange with a peer. A second plan for the same
// peer would double with each answer.
func (j *joinState) scheduleRetry(id spec.InstanceID, at time.Duration) {
	if !slices.ContainsFunc(j.retries, func(r scheduledExchange) bool { return r.id == id }) {
		j.retries = append(j.retries, scheduledExchange{id: id, dueAt: at})
	}
}

// tickJoin continues exchanges that were cut short, and tells once this
// instance knows what its peers know.
func (l *Logic) tickJoin() {
	j := &l.join
	if j.ready {
		return
	}
	j.retries = slices.DeleteFunc(j.retries, func(r scheduledExchange) bool {
		if l.now < r.dueAt {
			return false
		}
		l.startExchange(r.id, purposeBestEffort)
		return true
	})
	if l.isCaughtUp() || l.isFirst() {
		j.ready = true
		j.retries, j.completePeers, j.readyPeers = nil, nil, nil
		l.members.SetPassive(l.drain.Stopping())
		l.assignments.dirty = true
		l.emit(Ready{})
	}
}

// isCaughtUp reports whether enough ready peers gave all they had. The first
// instance of a data centre meets one gateway of another and hears no details
// from any, so that one is enough for it.
func (l *Logic) isCaughtUp() bool {
	near := len(l.livePeers(true))
	if near == 0 {
		return len(l.join.readyPeers) > 0
	}
	return len(l.join.readyPeers) >= min(minReadyPeers, near)
}

// isFirst reports whether there is nobody to learn from: nobody was found for
// long enough, or all that were found are as new as this instance and gave
// what they have.
func (l *Logic) isFirst() bool {
	waited := l.now - l.started
	if waited < l.AloneTimeout || len(l.join.readyPeers) > 0 && waited < l.AloneTimeout+maxJoinWait {
		return false
	}
	others := l.livePeers(false)
	for _, id := range others {
		if !slices.Contains(l.join.completePeers, id) && waited < l.AloneTimeout+maxJoinWait {
			return false
		}
	}
	// Listed ones that do not answer may only be slow; a list that was never
	// read says nothing at all.
	silent := !l.discovered.received
	for _, p := range l.discovered.peers {
		silent = silent || !slices.Contains(others, p.ID) && p.DataCentre == l.Local.DataCentre
	}
	return !silent || waited >= l.AloneTimeout+maxJoinWait
}

// livePeers are the other live instances, of the own data centre only if near.
func (l *Logic) livePeers(near bool) []spec.InstanceID {
	return l.members.LiveMembers(func(r proto.Record) bool {
		return r.ID != l.Local.ID && (!near || r.DataCentre == l.Local.DataCentre)
	})
}
