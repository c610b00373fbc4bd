package mesh

import (
	"slices"
	"time"

	"fulmarwick/internal/base/spec"
)

const (
	// maxReadAge is how old a store read of another instance may be for this instance
	// to skip its own, times one plus its rank among the readers. Together with the
	// interval between messages, a change is known within the two seconds that it may
	// take, even if the first reader dies.
	maxReadAge = 600 * time.Millisecond
	// maxDutyRank is how many ranks of readers are distinguished.
	maxDutyRank = 3
)

// candidates are the instances that may hold a duty.
type candidates struct{ capable, constrained []spec.InstanceID }

// DutyRank returns the rank of this instance among the candidates for a duty: 0 is the
// first. All instances that receive each other's messages agree on it. Only heads hold
// duties.
func (l *Logic) DutyRank(duty string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rankAmong(duty, l.candidates)
}

// UpstreamDutyRank is like DutyRank for a duty that needs links to upstreams: instances that
// have lost theirs are no candidates.
func (l *Logic) UpstreamDutyRank(duty string) int {
	if l.hasLostLinks() {
		return maxDutyRank
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rankAmong(duty, l.linked)
}

func (l *Logic) hasLostLinks() bool { return l.LinksLost != nil && l.LinksLost() }

// rankAmong returns the rank of this instance among other candidates; l.mu is held.
func (l *Logic) rankAmong(duty string, others candidates) int {
	if l.isFollower {
		return maxDutyRank
	}
	capable, constrained := slices.Clone(others.capable), slices.Clone(others.constrained)
	if l.Constrained {
		constrained = append(constrained, l.ID)
	} else {
		capable = append(capable, l.ID)
	}
	for i, id := range rankGroups(duty, capable, constrained, maxDutyRank) {
		if id == l.ID {
			return i
		}
	}
	return maxDutyRank
}

// readDuty is the duty of reading the store for all instances.
const readDuty = "read"

// SkipsStoreReads reports whether other instances read the store often enough for this
// one not to. With a few dozen instances their store calls would cost more than
// anything else, and each would learn the same. An instance that lags behind the others
// always reads.
func (l *Logic) SkipsStoreReads() bool {
	place := l.DutyRank(readDuty)
	l.mu.Lock()
	defer l.mu.Unlock()
	if place == 0 || l.lastSync < 0 || l.isLagging {
		return false
	}
	now := l.Now().Sub(l.start)
	return !l.isCutOff(now) && now-l.lastSync < maxReadAge*time.Duration(1+place)
}
