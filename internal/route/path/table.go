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
}

// Sync sets which engines there are. What is known of those that stay is kept;
// one that was born anew under its ID is another engine.
func (t *Table) Sync(ups []site.Upstream) {
	old := t.byID
	t.engines = t.engines[:0:0]
	t.byID = map[spec.UpstreamID]*engine{}
	for _, up := range ups {
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

// Heard takes an engine's report: it answers, at that pace. It returns false if
// the engine is not the one that is listed or holds less since it started anew,
// so that it is as good as dead until the list shows what it holds. One that
// holds less since it was told to hold other layers serves on what passes them,
// and gets nothing new until the list shows what it holds: taken for dead, its
// runs were ended and went on at a third engine where two are allowed.
func (t *Table) Heard(now time.Duration, id spec.UpstreamID, r site.Report) bool {
	e := t.byID[id]
	if e == nil {
		return true
	}
	if r.Born != 0 && r.Born != e.up.Born {
		return false
	}
	if !r.Held.Layers.Covers(e.up.Held.Layers) {
		// A start clears the count of orders.
		if r.Orders == 0 {
			return false
		}
		e.rest = max(e.rest, now+changing)
	}
	e.down = false
	if r.Pace > 0 {
		e.said, e.saidAt = r.Pace, now
		t.sum()
	}
	return true
}

// Slow are the engines that said here that they are slow. After forget it
// counts no more: they may have recovered.
func (t *Table) Slow(now time.Duration) map[spec.UpstreamID]float64 {
	out := map[spec.UpstreamID]float64{}
	for _, e := range t.engines {
		if e.said > slow && now-e.saidAt < forget {
			out[e.up.ID] = e.said
		} else if e.said > slow {
			e.said = 1
			t.sum()
		}
	}
	return out
}

const (
	// slow is the pace from which an engine counts as slow; reports of sound
	// ones differ by a few percent.
	slow = 1.15
	// forget is how long what an engine said of its pace counts without being
	// said again.
	forget = 4 * time.Second
)

// Paced takes what engines told another instance; nil forgets it.
func (t *Table) Paced(from spec.InstanceID, paces map[spec.UpstreamID]float64) {
	if len(paces) == 0 && len(t.paces[from]) == 0 {
		return
	}
	if t.paces == nil {
		t.paces = map[spec.InstanceID]map[spec.UpstreamID]float64{}
	}
	t.paces[from] = paces
	t.sum()
}

// Down marks an engine that does not answer. It gets no requests until it is
// heard of again. It returns false if there is nothing new in that.
func (t *Table) Down(id spec.UpstreamID, born int64) bool {
	e := t.byID[id]
	if e == nil || e.down || e.up.Born != born {
		return false
	}
	e.down = true
	return true
}

// Rest gives an engine no new requests until a time.
func (t *Table) Rest(id spec.UpstreamID, until time.Duration) {
	if e := t.byID[id]; e != nil {
		e.rest = until
	}
}

const (
	// changing is how long an engine gets no new runs that changes its layers:
	// the list shows it within a heartbeat.
	changing = 1200 * time.Millisecond
	// refusedRest is how long an engine that refused a run gets no new one: what
	// it holds and whether it leaves is known from the list by then, or the crowd
	// on it has turned over.
	refusedRest = 300 * time.Millisecond
	// refusedMost bounds the rest of an engine that goes on refusing. One that
	// was told to hold other layers refuses for seconds, until it has loaded them
	// and the list shows them; asked again and again by every instance, it would use
	// up the bound on repeats.
	refusedMost = 2400 * time.Millisecond
)

// Refused gives an engine that refused a run no new ones for a while, twice as
// long as before if it has served none since.
func (t *Table) Refused(now time.Duration, id spec.UpstreamID) {
	e := t.byID[id]
	if e == nil || now < e.rest {
		return
	}
	e.refused = min(refusedMost, max(refusedRest, 2*e.refused))
	e.rest = now + e.refused
}

// Silent reports whether an engine that is listed does not answer.
func (t *Table) Silent(id spec.UpstreamID) bool {
	e := t.byID[id]
	return e != nil && e.down
}

// Dead reports whether an engine does not answer or is no longer listed.
func (t *Table) Dead(id spec.UpstreamID) bool {
	e := t.byID[id]
	return e == nil || e.down
}

// Downs are the engines that do not answer.
func (t *Table) Downs() []site.Upstream {
	var out []site.Upstream
	for _, e := range t.engines {
		if e.down {
			out = append(out, e.up)
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

func (e *engine) usable(now time.Duration) bool {
	return !e.down && now >= e.rest && e.up.State == site.StateReady && e.up.Held.Layers.Len() > 0
}

// see notes since when the engine takes requests.
func (e *engine) see(now time.Duration) {
	switch {
	case !e.usable(now):
		e.since = 0
	case e.since == 0:
		e.since = max(now, 1)
	}
}
