package daemon

import (
	"math/rand/v2"
	"slices"
	"time"

	"fulmarwick/internal/base/frame"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/node"
	"fulmarwick/internal/route/domain"
	"fulmarwick/internal/state/store"
	"fulmarwick/internal/wire/admin"
)

func (f *fleet) peers() []node.Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.members)
}

// inLocalSpan returns the peers that share engine details with this instance.
func (f *fleet) inLocalSpan(peers []node.Peer) []spec.InstanceID {
	var out []spec.InstanceID
	for _, p := range peers {
		if string(p.DataCentre) == f.localSpan() {
			out = append(out, p.ID)
		}
	}
	return out
}

func (f *fleet) setMembers(peers []node.Peer) {
	f.mu.Lock()
	now := time.Now()
	for _, p := range f.members {
		f.lastSeen[p.ID] = now
	}
	f.members = peers
	for _, p := range peers {
		delete(f.lastSeen, p.ID)
	}
	f.mu.Unlock()
	f.parts.budget.SetInstances(1 + len(peers))
	f.parts.loop.Post(domain.PeersChanged{Peers: f.inLocalSpan(peers)})
}

// peerExited reports whether an instance has been missing from the members for
// so long that it will not complete its records. If it is only paused, its
// caller may receive the outcome unsure before the call completes, which is
// correct at that time.
func (f *fleet) peerExited(id spec.InstanceID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if string(id) == f.Settings.Instance.Name {
		return false
	}
	if slices.ContainsFunc(f.members, func(p node.Peer) bool { return p.ID == id }) {
		return false
	}
	since, ok := f.lastSeen[id]
	if !ok {
		since = f.startTime
	}
	return time.Since(since) > exitedAfter
}

// maxSmallFleet is the largest number of instances at which each reports the
// capacity of its own share. In larger fleets one instance in each data centre
// reports for all.
const maxSmallFleet = 16

// forwardTarget returns the instance that receives a request forwarded to an
// instance. In a large fleet the first attempt goes to a random instance of the
// same data centre: there one instance reports the capacity for all and would
// otherwise receive every forwarded request.
func (f *fleet) forwardTarget(to spec.InstanceID, try int) spec.InstanceID {
	peers := f.peers()
	if try > 0 || len(peers) < maxSmallFleet {
		return to
	}
	at := slices.IndexFunc(peers, func(p node.Peer) bool { return p.ID == to })
	if at < 0 {
		return to
	}
	centre := peers[at].DataCentre
	peers = slices.DeleteFunc(peers, func(p node.Peer) bool { return p.DataCentre != centre || p.Passive })
	if len(peers) == 0 {
		return to
	}
	return peers[rand.IntN(len(peers))].ID
}

// handleList passes the expected instances and engines to the fleet logic.
func (f *fleet) handleList(list []store.ListedBody) {
	var ev node.DiscoveryList
	for _, p := range f.Settings.Peers {
		ev.Peers = append(ev.Peers, node.Peer{ID: spec.InstanceID(p.Name), URL: f.scheme() + p.Address})
	}
	for _, l := range list {
		switch l.Role {
		case store.RoleEntry:
			ev.Peers = f.addPeer(ev.Peers, l)
		case store.RoleEngine:
			if f.spanOf(l.DataCentre) == f.localSpan() {
				ev.Engines = append(ev.Engines, spec.UpstreamID(l.ID))
			}
		}
	}
	ev.Peers = slices.DeleteFunc(ev.Peers, func(p node.Peer) bool {
		return string(p.ID) == f.Settings.Instance.Name
	})
	f.hub.Post(ev)
}

// addPeer adds an instance from the platform's list. The list replaces an entry
// from the settings, because it has more details.
func (f *fleet) addPeer(peers []node.Peer, l store.ListedBody) []node.Peer {
	p := node.Peer{ID: spec.InstanceID(l.ID), DataCentre: spec.DataCentre(f.spanOf(l.DataCentre)), URL: l.URL}
	p.Passive = l.State == frame.StateLeaving
	for i := range peers {
		if peers[i].ID == p.ID {
			peers[i] = p
			return peers
		}
	}
	return append(peers, p)
}

// instances returns the other instances, for operators. Their versions are not
// listed: only the highest version reported by any instance is known.
func (f *fleet) instances() []admin.Instance {
	out := []admin.Instance{}
	for _, p := range f.peers() {
		state := frame.StateLive
		if p.Passive {
			state = frame.StateLeaving
		}
		out = append(out, admin.Instance{Name: string(p.ID), DataCentre: string(p.DataCentre), State: state})
	}
	return out
}
