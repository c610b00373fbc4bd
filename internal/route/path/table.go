// Package path chooses the engines for a model request. Engines hold ranges of layers;
// a path covers all layers once and in order.
//
// It imports base/site and base/spec. Package app/edge keeps one Table per service,
// updates it when engines change and when requests begin and end, and asks it for
// paths. It does no I/O and reads no clock.
package path

import (
	"sort"
	"time"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/ahead"
)

// engine is a row of the table.
type engine struct {
	upstream site.Upstream
	card     site.Card
	capacity int
	// slowdown is how many times slower than usual the engine works. reportedSlowdown
	// is its last report to this instance, received at reportedAt.
	slowdown         float64
	reportedSlowdown float64
	reportedAt       time.Duration
	health           Health
	// silentSince is when the engine first did not answer; it holds unless health is HealthUp.
	silentSince time.Duration
	// cooldownUntil is the time until which the engine gets no new requests.
	// refusalCooldown is the length of the cooldown for its last refusal; zero once it
	// has served a run since.
	cooldownUntil   time.Duration
	refusalCooldown time.Duration
	// usableSince is when the engine was first seen usable after it was not; zero
	// while it isn't usable.
	usableSince time.Duration
	local       Usage
	// retryPrefill is the part of local.PendingPrefill that is read again for resumed
	// streams.
	retryPrefill int
	// sent is what this instance has sent to the engine of late.
	sent ahead.Sent
	// remote is the usage by requests of other instances.
	remote   Usage
	leftover leftover
}

// usage returns the usage by the requests of all instances.
func (e *engine) usage() Usage {
	u := e.local
	u.add(e.remote)
	return u
}

// usageAt returns the usage with that by requests that no instance knows of.
func (e *engine) usageAt(now time.Duration) Usage { return e.usage().Plus(e.leftover.at(now)) }

// Table holds the engines of one service. It is not safe for concurrent use.
type Table struct {
	Model  *site.Model
	Centre spec.DataCentre
	// Random returns a number in [0, 1); nil stands for always 0.
	Random func() float64
	// PeerCount returns how many other instances choose paths; if nil, those known
	// from SetPeerUsage count.
	PeerCount func() int
	// InBackoff reports whether an engine asked for backoff; nil means that
	// none did.
	InBackoff func(now time.Duration, id spec.UpstreamID) bool
	// IsLimited reports whether the rate limit of an engine leaves no room for a request at
	// present; nil means that none has a limit.
	IsLimited func(id spec.UpstreamID) bool
	// ExpectLoad adds what other instances are expected to have sent to engines since they
	// reported, and leaves out some engines at random.
	ExpectLoad bool

	reports       ahead.Reports
	engines       []*engine
	byID          map[spec.UpstreamID]*engine
	peerUsage     map[spec.InstanceID]map[spec.UpstreamID]Usage
	peerSlowdowns map[spec.InstanceID]map[spec.UpstreamID]float64
	// linkBusyUntil is the time until which the link between data centres is occupied.
	linkBusyUntil time.Duration
	// firstUsableAt is when a usable engine was first seen.
	firstUsableAt time.Duration
	// centreCount is the number of data centres with engines.
	centreCount int
}

// StreamCount returns how many requests use an engine, of all instances.
func (t *Table) StreamCount(id spec.UpstreamID) int {
	e := t.byID[id]
	if e == nil {
		return 0
	}
	return e.usage().Streams
}

// Sync sets the list of engines. The state of engines that stay is kept. An engine
// with the same ID but another start time or address counts as a new engine.
func (t *Table) Sync(upstreams []site.Upstream) {
	old := t.byID
	t.engines = t.engines[:0:0]
	t.byID = map[spec.UpstreamID]*engine{}
	centres := map[spec.DataCentre]bool{}
	for _, upstream := range upstreams {
		centres[upstream.Centre] = true
		card, ok := t.Model.Card(upstream.Card)
		if !ok {
			continue
		}
		e := old[upstream.ID]
		if e == nil || e.upstream.Born != upstream.Born || e.upstream.Address != upstream.Address {
			e = &engine{slowdown: 1}
		}
		e.upstream = upstream
		e.card = card
		e.capacity = t.Model.KVCapacity(card, upstream.Held.Layers.Len())
		t.engines = append(t.engines, e)
		t.byID[upstream.ID] = e
	}
	t.centreCount = len(centres)
	// The path search needs the engines sorted by the end of their layers.
	sort.Slice(t.engines, func(i, j int) bool {
		a, b := t.engines[i].upstream, t.engines[j].upstream
		if x, y := a.Held.Layers.To(), b.Held.Layers.To(); x != y {
			return x < y
		}
		return a.ID < b.ID
	})
	t.recompute()
}

// peerCount returns how many other instances choose paths.
func (t *Table) peerCount() int {
	if t.PeerCount == nil {
		return len(t.peerUsage)
	}
	return t.PeerCount()
}

// RecordReport records that another instance reported its usage, or that it is gone.
func (t *Table) RecordReport(now time.Duration, from spec.InstanceID, gone bool) {
	if t.ExpectLoad {
		t.reports.Record(now, from, gone)
	}
}

// SetPeerUsage sets the usage by requests of another instance; nil removes it.
func (t *Table) SetPeerUsage(from spec.InstanceID, usages map[spec.UpstreamID]Usage) {
	if t.peerUsage == nil {
		t.peerUsage = map[spec.InstanceID]map[spec.UpstreamID]Usage{}
	}
	if usages == nil {
		delete(t.peerUsage, from)
	} else {
		if t.peerUsage[from] == nil {
			t.subtractLeftovers(usages)
		}
		t.peerUsage[from] = usages
	}
	t.recompute()
}

func (t *Table) recompute() {
	for _, e := range t.engines {
		e.remote = Usage{}
		e.slowdown = max(1, e.reportedSlowdown)
		for _, slowdowns := range t.peerSlowdowns {
			e.slowdown = max(e.slowdown, slowdowns[e.upstream.ID])
		}
	}
	for _, usages := range t.peerUsage {
		for id, u := range usages {
			if e := t.byID[id]; e != nil {
				e.remote.add(u)
			}
		}
	}
}

// LocalUsage returns the usage by requests of this instance.
func (t *Table) LocalUsage() map[spec.UpstreamID]Usage {
	out := map[spec.UpstreamID]Usage{}
	for _, e := range t.engines {
		if e.local != (Usage{}) {
			out[e.upstream.ID] = e.local
		}
	}
	return out
}

// Upstream returns the listed upstream of an engine.
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

// Engines returns the listed upstreams of all engines.
func (t *Table) Engines() []site.Upstream {
	out := make([]site.Upstream, 0, len(t.engines))
	for _, e := range t.engines {
		out = append(out, e.upstream)
	}
	return out
}
