package mesh

import (
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/rank"
)

const (
	// maxReadAge is how old what another instance read may be for this one to read
	// nothing itself, times its place among the readers. With the pause between
	// messages a change is known within the two seconds that it may take, also
	// if the first reader dies.
	maxReadAge = 600 * time.Millisecond
	// maxDutyRank is how many places of readers are told apart.
	maxDutyRank = 3
)

// DutyRank is the place of this instance among those that may hold a duty: 0 is
// the first one. All that hear each other agree. Only heads hold duties.
func (l *Logic) DutyRank(duty string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isFollower {
		return maxDutyRank
	}
	ids := append([]spec.InstanceID{l.ID}, l.candidates...)
	for i, id := range rank.Top(duty, ids, maxDutyRank) {
		if id == l.ID {
			return i
		}
	}
	return maxDutyRank
}

// readDuty is the duty of reading the store for all.
const readDuty = "read"

// SkipsStoreReads reports whether others read the store often enough for this one not
// to: with a few dozen instances their calls would cost more than anything
// else, and each would learn the same. One that they know more than reads.
func (l *Logic) SkipsStoreReads() bool {
	place := l.DutyRank(readDuty)
	l.mu.Lock()
	defer l.mu.Unlock()
	if place == 0 || l.lastSync < 0 || l.isLagging {
		return false
	}
	return l.Now().Sub(l.start)-l.lastSync < maxReadAge*time.Duration(1+place)
}
