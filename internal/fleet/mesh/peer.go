package mesh

import (
	"cmp"
	"slices"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/state/feed"
)

// peer is another instance.
type peer struct {
	id       spec.InstanceID
	url      string
	lastSeen time.Duration
	alive    bool
	// isFormerVersion means that the peer runs the former version of the program, which
	// does not send digests of its tables.
	isFormerVersion bool
	// checkpoints is how much of each table the peer knows.
	checkpoints map[string]feed.Checkpoint
	// sentUpdates is the version of each table up to which this instance updated the
	// peer, and when. assignedVersions is the version up to which this instance has to
	// see that the peer is updated. behindSince is since when the peer lags behind.
	sentUpdates      map[string]sentUpdate
	assignedVersions map[string]spec.Revision
	behindSince      map[string]time.Duration
	// lastSync is when the peer was last in sync with the store for all tables;
	// negative if never.
	lastSync time.Duration

	centre spec.DataCentre
	// version is the version of the peer's row in the roster. digest is the digest of
	// the instances that the peer knows. rosterSentAt is when the roster was last sent
	// to it.
	version      spec.Revision
	digest       uint64
	rosterSentAt time.Duration
	// linksLost means that the peer reports that it reaches no upstream.
	linksLost bool
	// takesRequests means that the peer serves passed requests.
	takesRequests bool
	// hasJoined means that the peer became alive since the last round.
	hasJoined bool
	// isStarting means that the peer does not serve yet and wants the tables that differ.
	isStarting bool
	// isHead means that the peer reports itself as a head of its cell.
	isHead bool
	// initiates means that the peer sends messages on its own, not only replies.
	initiates bool
	// isConstrained means that the peer should leave work for the fleet to others.
	isConstrained bool
	// excused is how much of its silence was put down to lateness of this instance.
	excused time.Duration
	// probedSince is since when the peer has been probed without a message from it.
	probedSince time.Duration
	// load is the last reported load of the peer's own requests; nil if it does not
	// count.
	load *load
	// nextLoadAt is the earliest time for the next load that is not sent in every round.
	nextLoadAt time.Duration
}

func (l *Logic) ensurePeer(id spec.InstanceID) *peer {
	p := l.peers[id]
	if p == nil {
		p = &peer{id: id, sentUpdates: map[string]sentUpdate{}, assignedVersions: map[string]spec.Revision{}, behindSince: map[string]time.Duration{}, lastSync: -1}
		l.peers[id] = p
		l.cellsAssigned, l.rosterDigest = false, 0
	}
	return p
}

// aheadVersion returns the highest version up to which another instance knows a table
// while its content differs from the local one; zero if there is none.
func (l *Logic) aheadVersion(table string, local feed.Checkpoint) spec.Revision {
	version := spec.Revision(0)
	for _, p := range l.peersByID() {
		if remote, ok := p.checkpoints[table]; ok && remote.Digest != local.Digest && remote.Version > max(local.Version, version) {
			version = remote.Version
		}
	}
	return version
}

// dropUnresponsive drops the instances from which no more messages arrive.
func (l *Logic) dropUnresponsive(now time.Duration) {
	lastSync, index := time.Duration(-1), 0
	var alive []spec.InstanceID
	hasConstrained := l.Constrained || slices.ContainsFunc(l.peersByID(), func(p *peer) bool { return p.isConstrained })
	for _, p := range l.peersByID() {
		if p.alive && now-p.lastSeen >= peerTimeout {
			p.alive = false
			p.load = nil
			l.Receiver.PeerLost(p.id)
		}
		if p.id < l.ID {
			index++
		}
		if !p.alive {
			continue
		}
		lastSync = max(lastSync, p.lastSync)
		if (l.layout.isFlat() || p.isHead) && (!hasConstrained || mayHoldDuties(now, p)) {
			alive = append(alive, p.id)
		}
	}
	count, expected, neighbors := l.countInstances(now)-1, l.expectedPeers(now), l.linkedNeighbors()
	linked := slices.DeleteFunc(slices.Clone(alive), func(id spec.InstanceID) bool { return l.peers[id].linksLost })
	var all, reachUpstreams candidates
	all.capable, all.constrained = l.splitByCapacity(alive)
	reachUpstreams.capable, reachUpstreams.constrained = l.splitByCapacity(linked)
	heardAt := l.lastHeard()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxPeers, l.index = expected, index
	l.peerCount, l.candidates, l.linked, l.lastSync, l.isFollower = count, all, reachUpstreams, lastSync, !l.isHead()
	l.heardAt, l.hasConstrained = heardAt, hasConstrained
	l.start, l.neighbors = l.Now().Add(-now), neighbors
}

// linkedNeighbors returns the instances that requests may be passed on to. Those of other cells
// send this one no messages, so all that are in the roster count.
func (l *Logic) linkedNeighbors() (out []Neighbor) {
	for _, p := range l.peersByID() {
		mayTake := p.takesRequests && !p.linksLost
		if !p.alive {
			mayTake = !l.layout.isFlat() && !l.inCell(p.id)
		}
		if p.url != "" && mayTake {
			out = append(out, Neighbor{ID: p.id, DataCentre: p.centre, URL: p.url})
		}
	}
	return out
}

// expectedPeers returns how many other instances there may be while this one is too
// young to have received a message from each.
func (l *Logic) expectedPeers(now time.Duration) int {
	switch {
	case now >= countTimeout:
		return 0
	case !l.rosterReceived:
		return MaxUnknownPeers
	}
	return len(l.peers)
}

// peersByID returns all other instances, sorted by ID.
func (l *Logic) peersByID() []*peer {
	if len(l.sortedPeers) == len(l.peers) {
		return l.sortedPeers
	}
	l.sortedPeers = l.sortedPeers[:0]
	for _, p := range l.peers {
		l.sortedPeers = append(l.sortedPeers, p)
	}
	slices.SortFunc(l.sortedPeers, func(a, b *peer) int { return cmp.Compare(a.id, b.id) })
	return l.sortedPeers
}
