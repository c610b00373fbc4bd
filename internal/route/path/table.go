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
	up    site.Upstream
	card  site.Card
	cells int
	// pace is how much slower than usual it works. said is what it said here
	// last, and when.
	pace   float64
	said   float64
	saidAt time.Duration
	// down engines do not answer.
	down bool
	// rest is until when it gets no new requests, refused how long it rested
	// for its last refusal; zero once it has served since.
	rest    time.Duration
	refused time.Duration
	// since is when it was first seen to take requests after it took none; zero while
	// it takes none.
	since time.Duration
	mine  Use
	// again is the part of mine.Unread that is read once more.
	again int
	// others is what the requests of other instances take.
	others Use
}

func (e *engine) use() Use {
	u := e.mine
	u.add(e.others)
	return u
}

// Table is the engines of one service. It is not safe for concurrent use.
type Table struct {
	Model  *site.Model
	Centre spec.DataCentre
	// Random draws from [0, 1); nil always draws 0.
	Random func() float64
	// Others is how many other instances choose paths; nil counts those of Peer.
	Others func() int

	engines []*engine
	byID    map[spec.UpstreamID]*engine
	peers   map[spec.InstanceID]map[spec.UpstreamID]Use
	paces   map[spec.InstanceID]map[spec.UpstreamID]float64
	// pipe is until when the way between data centres is taken.
	pipe time.Duration
	// since is when engines that take requests were first seen, centres how many data
	// centres engines are in.
	since   time.Duration
	centres int
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
		if e == nil || e.up.Born != up.Born || e.up.Address != up.Address {
			e = &engine{pace: 1}
		}
		e.up = up
		e.card = card
		e.cells = t.Model.Cells(card, up.Held.Layers.Len())
		t.engines = append(t.engines, e)
		t.byID[up.ID] = e
	}
	t.centres = len(centres)
	// The search for paths goes through engines in the order of their ends.
	sort.Slice(t.engines, func(i, j int) bool {
		a, b := t.engines[i].up, t.engines[j].up
		if x, y := a.Held.Layers.To(), b.Held.Layers.To(); x != y {
			return x < y
		}
		return a.ID < b.ID
	})
	t.sum()
}

// instances is how many other instances choose paths.
func (t *Table) instances() int {
	if t.Others == nil {
		return len(t.peers)
	}
	return t.Others()
}

// Peer sets what the requests of another instance take; nil forgets it.
func (t *Table) Peer(from spec.InstanceID, uses map[spec.UpstreamID]Use) {
	if t.peers == nil {
		t.peers = map[spec.InstanceID]map[spec.UpstreamID]Use{}
	}
	if uses == nil {
		delete(t.peers, from)
	} else {
		t.peers[from] = uses
	}
	t.sum()
}

func (t *Table) sum() {
	for _, e := range t.engines {
		e.others = Use{}
		e.pace = max(1, e.said)
		for _, paces := range t.paces {
			e.pace = max(e.pace, paces[e.up.ID])
		}
	}
	for _, uses := range t.peers {
		for id, u := range uses {
			if e := t.byID[id]; e != nil {
				e.others.add(u)
			}
		}
	}
}

// Mine is what the requests of this instance take.
func (t *Table) Mine() map[spec.UpstreamID]Use {
	out := map[spec.UpstreamID]Use{}
	for _, e := range t.engines {
		if e.mine != (Use{}) {
			out[e.up.ID] = e.mine
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
	return e.up, true
}

// At returns the engine at an address.
func (t *Table) At(address string) (site.Upstream, bool) {
	for _, e := range t.engines {
		if e.up.Address == address {
			return e.up, true
		}
	}
	return site.Upstream{}, false
}

// Engines returns the rows of all engines.
func (t *Table) Engines() []site.Upstream {
	out := make([]site.Upstream, 0, len(t.engines))
	for _, e := range t.engines {
		out = append(out, e.up)
	}
	return out
}
