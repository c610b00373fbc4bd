package node

import (
	"slices"
	"strings"
	"time"

	"fulmarwick/internal/base/spec"
)

// discoveryList holds the instances from the platform's list and the settings,
// in order of ID.
type discoveryList struct {
	peers    []listedPeer
	received bool
	engines  []spec.UpstreamID
}

type listedPeer struct {
	Peer
	lastListed time.Duration
}

// handleDiscoveryList applies a list. A list lags and may be empty by mistake,
// so it removes no member. A name is dropped only after it was missing for
// listedTTL from lists that were not empty. If names were never dropped, this
// instance would call all instances ever replaced, and hardly ever one that is
// only cut off.
func (l *Logic) handleDiscoveryList(ev DiscoveryList) {
	l.discovered.received = true
	nonEmpty := false
	for _, p := range ev.Peers {
		if p.ID != l.Local.ID && p.ID != "" {
			l.discovered.add(p, l.now)
			nonEmpty = true
		}
	}
	if nonEmpty {
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
	// listedTTL is how long a name is kept that the list no longer
	// contains.
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
