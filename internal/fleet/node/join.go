package node

import (
	"slices"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/proto"
)

// Times and limits of a join.
const (
	// DefaultAloneTimeout is how long a new instance looks for peers
	// before it considers itself the first of the fleet.
	DefaultAloneTimeout = 3 * time.Second
	// maxJoinWait is how much longer a new instance waits for listed
	// instances that do not answer. After that it serves, since rejecting
	// all requests for lack of peers would be an outage of its own.
	maxJoinWait = 10 * time.Second
	// minReadyPeers is how many ready peers must have sent all their
	// state.
	minReadyPeers = 2
	// resumeDelay is the pause between two exchanges with the same peer
	// while catching up.
	resumeDelay = 100 * time.Millisecond
	// unreadyRetryDelay is the pause before another exchange with a peer
	// that is not ready.
	unreadyRetryDelay = 500 * time.Millisecond
)

// joinState is how far a new instance has caught up with its peers.
type joinState struct {
	ready bool
	// completePeers are the peers that sent all their state, readyPeers
	// those of them that are ready themselves.
	completePeers []spec.InstanceID
	readyPeers    []spec.InstanceID
	retries       []scheduledExchange
}

// handleAnswer records the progress of catching up after an answer to an
// exchange.
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
	// A peer that is joining too will soon be ready. Without another
	// exchange this instance would learn that only by chance and stay
	// unready for seconds.
	if !m.Ready {
		j.scheduleRetry(from, l.now+unreadyRetryDelay)
	}
}

// scheduleRetry schedules one further exchange with a peer. It keeps at most
// one per peer, since two would double with each answer.
func (j *joinState) scheduleRetry(id spec.InstanceID, at time.Duration) {
	if !slices.ContainsFunc(j.retries, func(r scheduledExchange) bool { return r.id == id }) {
		j.retries = append(j.retries, scheduledExchange{id: id, dueAt: at})
	}
}

// tickJoin runs the scheduled exchanges, and reports Ready once this instance
// has the state of its peers.
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

// isCaughtUp reports whether enough ready peers sent all their state. The
// first instance of a data centre exchanges with one gateway of another data
// centre and gets no centre-scoped items from any, so one peer is enough for
// it.
func (l *Logic) isCaughtUp() bool {
	localPeers := len(l.livePeers(true))
	if localPeers == 0 {
		return len(l.join.readyPeers) > 0
	}
	return len(l.join.readyPeers) >= min(minReadyPeers, localPeers)
}

// isFirst reports whether there is no instance to catch up with: either none
// was found for long enough, or all that were found are not ready either and
// sent all their state.
func (l *Logic) isFirst() bool {
	waited := l.now - l.started
	if waited < l.AloneTimeout || len(l.join.readyPeers) > 0 && waited < l.AloneTimeout+maxJoinWait {
		return false
	}
	peers := l.livePeers(false)
	for _, id := range peers {
		if !slices.Contains(l.join.completePeers, id) && waited < l.AloneTimeout+maxJoinWait {
			return false
		}
	}
	// Listed instances that do not answer may only be slow. If no list was
	// received yet, nothing is known about other instances.
	peersMissing := !l.discovered.received
	for _, p := range l.discovered.peers {
		peersMissing = peersMissing || !slices.Contains(peers, p.ID) && p.DataCentre == l.Local.DataCentre
	}
	return !peersMissing || waited >= l.AloneTimeout+maxJoinWait
}

// livePeers returns the other live instances. If localOnly is set, it returns
// only those of the local data centre.
func (l *Logic) livePeers(localOnly bool) []spec.InstanceID {
	return l.members.LiveMembers(func(r proto.Record) bool {
		return r.ID != l.Local.ID && (!localOnly || r.DataCentre == l.Local.DataCentre)
	})
}
