package mesh

import (
	"encoding/binary"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/node"

	"github.com/cespare/xxhash/v2"
)

// rosterInterval is the interval between two copies of the roster to one instance.
const rosterInterval = time.Second

// Member is an instance in the roster.
type Member struct {
	ID         spec.InstanceID `cbor:"1,keyasint"`
	URL        string          `cbor:"2,keyasint"`
	DataCentre spec.DataCentre `cbor:"3,keyasint,omitempty"`
	// Version is the version of the member's row in the roster.
	Version spec.Revision `cbor:"4,keyasint,omitempty"`
	// Constrained means that the member should leave work for the fleet to others.
	Constrained bool `cbor:"5,keyasint,omitempty"`
}

// handleRoster records the addresses of instances from the store. An instance that
// moved is contacted at its new address.
func (l *Logic) handleRoster(ev node.DiscoveryList) {
	l.rosterReceived = true
	for _, p := range ev.Peers {
		l.updateMember(Member{ID: p.ID, URL: p.URL, DataCentre: p.DataCentre, Version: p.Version, Constrained: p.Constrained}, true)
	}
}

// updateMember applies what the store or another instance knows of an instance. The
// newer row of the roster wins. With equal versions only the store wins: another
// instance that knows the same row may not have learned yet that the address changed.
func (l *Logic) updateMember(m Member, stored bool) {
	l.rosterDigest = 0
	if m.ID == l.ID {
		l.version = max(l.version, m.Version)
		return
	}
	p := l.ensurePeer(m.ID)
	if p.url != "" && (m.Version < p.version || m.Version == p.version && !stored) {
		return
	}
	p.url, p.version = m.URL, m.Version
	l.setDataCentre(p, m.DataCentre)
	l.setConstrained(p, m.Constrained)
}

// setDataCentre records the data centre of an instance.
func (l *Logic) setDataCentre(p *peer, centre spec.DataCentre) {
	if p.centre != centre {
		p.centre, l.cellsAssigned = centre, false
	}
}

// digest returns the digest of the instances that this one knows.
func (l *Logic) digest() uint64 {
	if l.rosterDigest != 0 {
		return l.rosterDigest
	}
	sum := rowDigest(l.ID, l.version)
	for _, p := range l.peersByID() {
		sum += rowDigest(p.id, p.version)
	}
	l.rosterDigest = max(sum, 1)
	return l.rosterDigest
}

func rowDigest(id spec.InstanceID, version spec.Revision) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(id))
	_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, uint64(version)))
	return d.Sum64()
}

// rosterFor returns all instances that this one knows, for a peer that knows a
// different set; nil if the sets are equal or the roster was sent within
// rosterInterval.
func (l *Logic) rosterFor(now time.Duration, p *peer) []Member {
	if l.layout.isFlat() || !p.alive || p.digest == l.digest() || p.rosterSentAt > 0 && now-p.rosterSentAt < rosterInterval {
		return nil
	}
	p.rosterSentAt = now
	out := []Member{{ID: l.ID, URL: l.URL, DataCentre: l.DataCentre, Version: l.version, Constrained: l.Constrained}}
	for _, other := range l.peersByID() {
		if other.url != "" {
			out = append(out, Member{ID: other.id, URL: other.url, DataCentre: other.centre, Version: other.version, Constrained: other.isConstrained})
		}
	}
	return out
}
