package node

import (
	"slices"
	"strings"
	"time"

	"fulmarwick/internal/base/spec"
)

// listed is the platform's list and the settings, in order of ID.
type listed struct {
	peers   []listedPeer
	seen    bool
	engines []spec.UpstreamID
}

type listedPeer struct {
	Peer
	last time.Duration
}

// list takes a list. It lags and may come back empty, so it removes no member,
// and a name only after it was missing for long from lists that had others.
// Without that the names of all instances ever replaced would be looked for,
// and one that is only cut off hardly ever.
func (l *Logic) list(ev Listed) {
	l.listed.seen = true
	some := false
	for _, p := range ev.Peers {
		if p.ID != l.Self.ID && p.ID != "" {
			l.listed.add(p, l.now)
			some = true
		}
	}
	if some {
		l.listed.peers = slices.DeleteFunc(l.listed.peers, func(p listedPeer) bool { return l.now-p.last > listedFor })
	}
	engines := slices.Clone(ev.Engines)
	slices.Sort(engines)
	engines = slices.Compact(engines)
	if !slices.Equal(engines, l.listed.engines) {
		l.listed.engines = engines
		l.watch.dirty = true
	}
}

const (
	maxListed = 4096
	// listedFor is how long a name counts that the list does not give any more.
	listedFor = 2 * time.Hour
)

func (s *listed) add(p Peer, now time.Duration) {
	at, found := s.find(p.ID)
	switch {
	case found:
		s.peers[at] = listedPeer{Peer: p, last: now}
	case len(s.peers) < maxListed:
		s.peers = slices.Insert(s.peers, at, listedPeer{Peer: p, last: now})
	}
}

func (s *listed) find(id spec.InstanceID) (int, bool) {
	return slices.BinarySearchFunc(s.peers, id, func(p listedPeer, id spec.InstanceID) int {
		return strings.Compare(string(p.ID), string(id))
	})
}

func (s *listed) url(id spec.InstanceID) string {
	if at, ok := s.find(id); ok {
		return s.peers[at].URL
	}
	return ""
}

func (s *listed) centre(id spec.InstanceID) spec.DataCentre {
	if at, ok := s.find(id); ok {
		return s.peers[at].DataCentre
	}
	return ""
}
