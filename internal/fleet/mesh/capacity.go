package mesh

import (
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/rank"
)

const (
	// maxTickGap is the interval between two ticks above which this instance itself was late: several
	// ticks were due.
	maxTickGap = 150 * time.Millisecond
	// maxExcuse is how much of an instance's silence is put down to lateness of this one at most.
	maxExcuse = peerTimeout
	// maxHeadSilence is how long a constrained instance waits for a message of any head before it
	// reads the store itself: five rounds, so that reading and parsing fit into the time that a change
	// may take.
	maxHeadSilence = time.Second
)

// isConstrained reports whether an instance should leave work for the fleet to others.
func (l *Logic) isConstrained(id spec.InstanceID) bool {
	if id == l.ID {
		return l.Constrained
	}
	p := l.peers[id]
	return p != nil && p.isConstrained
}

// splitByCapacity splits instances into those that work for others and constrained ones.
func (l *Logic) splitByCapacity(ids []spec.InstanceID) (capable, constrained []spec.InstanceID) {
	for _, id := range ids {
		if l.isConstrained(id) {
			constrained = append(constrained, id)
		} else {
			capable = append(capable, id)
		}
	}
	return capable, constrained
}

// rankByCapacity returns the n best instances for a key: constrained ones only after all others.
func (l *Logic) rankByCapacity(key string, ids []spec.InstanceID, n int) []spec.InstanceID {
	capable, constrained := l.splitByCapacity(ids)
	return rankGroups(key, capable, constrained, n)
}

func rankGroups(key string, capable, constrained []spec.InstanceID, n int) []spec.InstanceID {
	out := rank.Top(key, capable, n)
	if len(out) < n {
		out = append(out, rank.Top(key, constrained, n-len(out))...)
	}
	return out
}

// mayHoldDuties reports whether a live instance counts for duties where some instances need long to put a
// change into force: one that reads the store for all is replaced as soon as a silent head is.
func mayHoldDuties(now time.Duration, p *peer) bool { return now-p.lastSeen < headTimeout }

// setConstrained records whether a peer is constrained, which decides about cells and heads.
func (l *Logic) setConstrained(p *peer, constrained bool) {
	if p.isConstrained != constrained {
		p.isConstrained, l.cellsAssigned = constrained, false
	}
}

// excuseLateness keeps a constrained instance that was late itself from taking others for silent: their
// messages wait to be read.
func (l *Logic) excuseLateness(now time.Duration) {
	gap := now - l.lastTick
	isLate := l.lastTick > 0 && gap > maxTickGap
	l.lastTick = now
	if !l.Constrained || !isLate {
		return
	}
	for _, p := range l.peers {
		excuse := min(gap, maxExcuse-p.excused)
		p.excused += excuse
		if p.lastSeen > 0 {
			p.lastSeen += excuse
		}
		if p.probedSince > 0 {
			p.probedSince += excuse
		}
	}
}

// lastHeard returns when the last message of an instance arrived with which this one exchanges
// messages; zero if none has.
func (l *Logic) lastHeard() time.Duration {
	last := time.Duration(0)
	for _, p := range l.peersByID() {
		if l.isPartner(p.id) {
			last = max(last, p.lastSeen)
		}
	}
	return last
}

// isCutOff reports whether this instance is constrained, leaves reading the store to heads and hears
// none of them; l.mu is held.
func (l *Logic) isCutOff(now time.Duration) bool {
	return l.Constrained && l.isFollower && now-l.heardAt >= maxHeadSilence
}
