package node

import (
	"slices"
	"strings"
	"time"

	"fulmarwick/internal/base/spec"
)

// discoveryList is the platform's list and the settings, in order of ID.
type discoveryList struct {
	peers    []listedPeer
	received bool
	engines  []spec.UpstreamID
}

type listedPeer struct {
	Peer
	lastListed time.Duration
}

// handleDiscoveryList takes a list. It lags and may come back empty, so it removes no member,
// and a name only after it was missing for long from lists that had others.
// Without that the names of all instances ever replaced would be looked for,
// and one that is only cut off hardly ever.
func (l *Logic) handleDiscoveryList(ev DiscoveryList) {
	l.discovered.received = true
	some := false
	for _, p := range ev.Peers {
		if p.ID != l.Local.ID && p.ID != "" {
			l.discovered.add(p, l.now)
			some = true
		}
	}
	if some {
		l.discovered.peers = slices.DeleteFunc(l.discovered.peers, func(p listedPeer) bool { return l.now-p.lastListed > listedTTL })
	}
	engines := slices.Clone(ev.Engines)
	slices.Sort(engines)
	engines = slices.Compact(engines)
	if !slices.Equal(engines, l.discovered.engines) {
		l.discovered.engines = engines
		l.assignments.dirty = true
	}
}

const (
	maxListedPeers = 4096
	// listedTTL is how long a name counts that the list does not give any more.
	listedTTL = 2 * time.Hour
)

func (s *discoveryList) add(p Peer, now time.Duration) {
	at, found := s.find(p.ID)
	switch {
	case found:
		s.peers[at] = listedPeer{Peer: p, lastListed: now}
	case len(s.peers) < maxListedPeers:
		s.peers = slices.Insert(s.peers, at, listedPeer{Peer: p, lastListed: now})
	}
}

func (s *discoveryList) find(id spec.InstanceID) (int, bool) {
	return slices.BinarySearchFunc(s.peers, id, func(p listedPeer, id spec.InstanceID) int {
		return strings.Compare(string(p.ID), string(id))
	})
}

func (s *discoveryList) urlOf(id spec.InstanceID) string {
	if at, ok := s.find(id); ok {
		return s.peers[at].URL
	}
	return ""
}

func (s *discoveryList) centreOf(id spec.InstanceID) spec.DataCentre {
	if at, ok := s.find(id); ok {
		return s.peers[at].DataCentre
	}
	return ""
}
