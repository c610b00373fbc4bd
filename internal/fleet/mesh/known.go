package mesh

import (
	"slices"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/rank"
	"fulmarwick/internal/route/crash"
)

const (
	// maxGreeters is how many instances tell one that joins what they know. All of them know the
	// same, and the instances of a data centre may be restarted one after the other.
	maxGreeters = 2
	// minAwayAge is how old an instance must be to count as one that was cut off when others join. All
	// instances of a fleet that starts see each other join, and know nothing.
	minAwayAge = 5 * time.Second
	// awayShare is the share of its peers that must join at once for an instance to count as one that
	// was cut off with some of the others: one in three.
	awayShare = 3
)

// knownForJoined returns what this instance has to tell to the peers that have joined since the last
// round, by peer.
func (l *Logic) knownForJoined(now time.Duration) map[spec.InstanceID][]crash.Event {
	var joined []*peer
	alive := 0
	for _, p := range l.peersByID() {
		if p.alive {
			alive++
		}
		if p.alive && p.hasJoined {
			joined = append(joined, p)
		}
		p.hasJoined = false
	}
	wasAway := now >= minAwayAge && (len(joined) == alive || l.isHead() && awayShare*len(joined) >= alive)
	out := map[spec.InstanceID][]crash.Event{}
	var known []crash.Event
	for _, p := range joined {
		if !wasAway && !l.greets(p) {
			continue
		}
		if known == nil {
			known = l.Local.Known()
		}
		out[p.id] = known
	}
	return out
}

// greets reports whether this instance is among those that tell a peer that joins what they know.
func (l *Logic) greets(p *peer) bool {
	if !l.isHead() {
		return false
	}
	ids := []spec.InstanceID{l.ID}
	for _, other := range l.peersByID() {
		if other != p && other.alive && l.exchangesWith(other, p) {
			ids = append(ids, other.id)
		}
	}
	return slices.Contains(rank.Top("greet "+string(p.id), ids, maxGreeters), l.ID)
}
