// Package path chooses the engines that a model request passes. Engines hold
// ranges of layers; a path covers all layers once and in order.
//
// It imports base/site and base/spec. Package app/edge keeps one Table per
// service, tells it of engines and of requests that begin and end, and asks it
// for paths. It does no I/O and reads no clock.
package path

import (
	"sort"
	"time"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
)

// engine is a row of the table.
type engine struct {
	upstream site.Upstream
	card     site.Card
	capacity int
	// slowdown is how much slower than usual it works. said is what it said here
	// last, and when.
	slowdown         float64
	reportedSlowdown float64
	reportedAt       time.Duration
	// dead engines do not answer.
	dead bool
	// cooldownUntil is until when it gets no new requests, refused how long it rested
	// for its last refusal; zero once it has served since.
	cooldownUntil   time.Duration
	refusalCooldown time.Duration
	// usableSince is when it was first seen to take requests after it took none; zero while
	// it takes none.
	usableSince time.Duration
	local       Usage
	// retryPrefill is the part of mine.Unread that is read once more.
	retryPrefill int
	// remote is what the requests of other instances take.
	remote Usage
}

func (e *engine) usage() Usage {
	u := e.local
	u.add(e.remote)
	return u
}

// Table is the engines of one service. It is not safe for concurrent use.
type Table struct {
	Model  *site.Model
	Centre spec.DataCentre
	// Random draws from [0, 1); nil always draws 0.
	Random func() float64
	// PeerCount is how many other instances choose paths; nil counts those of Peer.
	PeerCount func() int

	engines       []*engine
	byID          map[spec.UpstreamID]*engine
	peerUsage     map[spec.InstanceID]map[spec.UpstreamID]Usage
	peerSlowdowns map[spec.InstanceID]map[spec.UpstreamID]float64
	// linkBusyUntil is until when the way between data centres is taken.
	linkBusyUntil time.Duration
	// firstUsableAt is when engines that take requests were first seen, centres how many data
	// centres engines are in.
	firstUsableAt time.Duration
	centreCount   int
}

// Sync sets which engines there are. What is known of those that stay is kept;
// one that was born anew under its ID is another engine.
func (t *Table) Sync(ups []site.Upstream) {
	old := t.byID
	t.engines = t.engines[:0:0]
	t.byID = map[spec.UpstreamID]*engine{}
	centres := map[spec.DataCentre]bool{}
	for _, up := range ups {
		centres[up.Centre] = true
		card, ok := t.Model.Card(up.Card)
		if !ok {
			continue
		}
		e := old[up.ID]
		if e == nil || e.upstream.Born != up.Born || e.upstream.Address != up.Address {
			e = &engine{slowdown: 1}
		}
		e.upstream = up
		e.card = card
		e.capacity = t.Model.KVCapacity(card, up.Held.Layers.Len())
		t.engines = append(t.engines, e)
		t.byID[up.ID] = e
	}
	t.centreCount = len(centres)
	// The search for paths goes through engines in the order of their ends.
	sort.Slice(t.engines, func(i, j int) bool {
		a, b := t.engines[i].upstream, t.engines[j].upstream
		if x, y := a.Held.Layers.To(), b.Held.Layers.To(); x != y {
			return x < y
		}
		return a.ID < b.ID
	})
	t.recompute()
}

// peerCount is how many other instances choose paths.
func (t *Table) peerCount() int {
	if t.PeerCount == nil {
		return len(t.peerUsage)
	}
	return t.PeerCount()
}

// SetPeerUsage sets what the requests of another instance take; nil forgets it.
func (t *Table) SetPeerUsage(from spec.InstanceID, uses map[spec.UpstreamID]Usage) {
	if t.peerUsage == nil {
		t.peerUsage = map[spec.InstanceID]map[spec.UpstreamID]Usage{}
	}
	if uses == nil {
		delete(t.peerUsage, from)
	} else {
		t.peerUsage[from] = uses
	}
	t.recompute()
}

func (t *Table) recompute() {
	for _, e := range t.engines {
		e.remote = Usage{}
		e.slowdown = max(1, e.reportedSlowdown)
		for _, paces := range t.peerSlowdowns {
			e.slowdown = max(e.slowdown, paces[e.upstream.ID])
		}
	}
	for _, uses := range t.peerUsage {
		for id, u := range uses {
			if e := t.byID[id]; e != nil {
				e.remote.add(u)
			}
		}
	}
}

// LocalUsage is what the requests of this instance take.
func (t *Table) LocalUsage() map[spec.UpstreamID]Usage {
	out := map[spec.UpstreamID]Usage{}
	for _, e := range t.engines {
		if e.local != (Usage{}) {
			out[e.upstream.ID] = e.local
		}
	}
	return out
}

// Upstream returns the row of an engine.
func (t *Table) Upstream(id spec.UpstreamID) (site.Upstream, bool) {
	e := t.byID[id]
	if e == nil {
		return site.Upstream{}, false
	}
	return e.upstream, true
}

// UpstreamAt returns the engine at an address.
func (t *Table) UpstreamAt(address string) (site.Upstream, bool) {
	for _, e := range t.engines {
		if e.upstream.Address == address {
			return e.upstream, true
		}
	}
	return site.Upstream{}, false
}

// Engines returns the rows of all engines.
func (t *Table) Engines() []site.Upstream {
	out := make([]site.Upstream, 0, len(t.engines))
	for _, e := range t.engines {
		out = append(out, e.upstream)
	}
	return out
}
