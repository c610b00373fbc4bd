package mesh

import (
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/rank"
)

const (
	// fresh is how old what another instance read may be for this one to read
	// nothing itself, times its place among the readers. With the pause between
	// messages a change is known within the two seconds that it may take, also
	// if the first reader dies.
	fresh = 600 * time.Millisecond
	// places is how many places of readers are told apart.
	places = 3
)

// Place is the place of this instance among those that may hold a duty: 0 is
// the first one. All that hear each other agree. Only heads hold duties.
func (l *Logic) Place(duty string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.follows {
		return places
	}
	ids := append([]spec.InstanceID{l.ID}, l.alive...)
	for i, id := range rank.Top(duty, ids, places) {
		if id == l.ID {
			return i
		}
	}
	return places
}

// dutyRead is the duty of reading the store for all.
const dutyRead = "read"

// Passive reports whether others read the store often enough for this one not
// to: with a few dozen instances their calls would cost more than anything
// else, and each would learn the same. One that they know more than reads.
func (l *Logic) Passive() bool {
	place := l.Place(dutyRead)
	l.mu.Lock()
	defer l.mu.Unlock()
	if place == 0 || l.read < 0 || l.late {
		return false
	}
	return l.Now().Sub(l.start)-l.read < fresh*time.Duration(1+place)
}
