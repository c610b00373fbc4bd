package path

import (
	"time"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
)

// ApplyReport takes an engine's report: it answers, at that pace. It returns false if
// the engine is not the one that is listed or holds less since it started anew,
// so that it is as good as dead until the list shows what it holds. One that
// holds less since it was told to hold other layers serves on what passes them,
// and gets nothing new until the list shows what it holds.
func (t *Table) ApplyReport(now time.Duration, id spec.UpstreamID, r site.Report) bool {
	e := t.byID[id]
	if e == nil {
		return true
	}
	if r.Born != 0 && r.Born != e.upstream.Born {
		return false
	}
	if !r.Held.Layers.Covers(e.upstream.Held.Layers) {
		// A start clears the count of orders.
		if r.OrdersAccepted == 0 {
			return false
		}
		e.cooldownUntil = max(e.cooldownUntil, now+layerChangeCooldown)
	}
	e.dead = false
	if r.Slowdown > 0 {
		e.reportedSlowdown, e.reportedAt = r.Slowdown, now
		t.recompute()
	}
	return true
}

// LocalSlowdowns are the engines that said here that they are slow. After forget it
// counts no more: they may have recovered.
func (t *Table) LocalSlowdowns(now time.Duration) map[spec.UpstreamID]float64 {
	out := map[spec.UpstreamID]float64{}
	for _, e := range t.engines {
		if e.reportedSlowdown > slowdownThreshold && now-e.reportedAt < slowdownTTL {
			out[e.upstream.ID] = e.reportedSlowdown
		} else if e.reportedSlowdown > slowdownThreshold {
			e.reportedSlowdown = 1
			t.recompute()
		}
	}
	return out
}

const (
	// slowdownThreshold is the pace from which an engine counts as slow; reports of sound
	// ones differ by a few percent.
	slowdownThreshold = 1.15
	// slowdownTTL is how long what an engine said of its pace counts without being
	// said again.
	slowdownTTL = 4 * time.Second
)

// SetPeerSlowdowns takes what engines told another instance; nil forgets it.
func (t *Table) SetPeerSlowdowns(from spec.InstanceID, paces map[spec.UpstreamID]float64) {
	if len(paces) == 0 && len(t.peerSlowdowns[from]) == 0 {
		return
	}
	if t.peerSlowdowns == nil {
		t.peerSlowdowns = map[spec.InstanceID]map[spec.UpstreamID]float64{}
	}
	t.peerSlowdowns[from] = paces
	t.recompute()
}

// MarkDead marks an engine that does not answer. It gets no requests until it is
// heard of again. It returns false if there is nothing new in that.
func (t *Table) MarkDead(id spec.UpstreamID, born int64) bool {
	e := t.byID[id]
	if e == nil || e.dead || e.upstream.Born != born {
		return false
	}
	e.dead = true
	return true
}

// StartCooldown gives an engine no new requests until a time.
func (t *Table) StartCooldown(id spec.UpstreamID, until time.Duration) {
	if e := t.byID[id]; e != nil {
		e.cooldownUntil = until
	}
}

const (
	// layerChangeCooldown is how long an engine gets no new runs that changes its layers:
	// the list shows it within a heartbeat.
	layerChangeCooldown = 1200 * time.Millisecond
	// minRefusalCooldown is how long an engine that refused a run gets no new one: what
	// it holds and whether it leaves is known from the list by then, or the crowd
	// on it has turned over.
	minRefusalCooldown = 300 * time.Millisecond
	// maxRefusalCooldown bounds the rest of an engine that goes on refusing. One that
	// was told to hold other layers refuses for seconds, until it has loaded them
	// and the list shows them; asked again and again by every instance, it would use
	// up the bound on repeats.
	maxRefusalCooldown = 2400 * time.Millisecond
)

// RecordRefusal gives an engine that refused a run no new ones for a while, twice as
// long as before if it has served none since.
func (t *Table) RecordRefusal(now time.Duration, id spec.UpstreamID) {
	e := t.byID[id]
	if e == nil || now < e.cooldownUntil {
		return
	}
	e.refusalCooldown = min(maxRefusalCooldown, max(minRefusalCooldown, 2*e.refusalCooldown))
	e.cooldownUntil = now + e.refusalCooldown
}

// ListedDead reports whether an engine that is listed does not answer.
func (t *Table) ListedDead(id spec.UpstreamID) bool {
	e := t.byID[id]
	return e != nil && e.dead
}

// DeadOrUnlisted reports whether an engine does not answer or is no longer listed.
func (t *Table) DeadOrUnlisted(id spec.UpstreamID) bool {
	e := t.byID[id]
	return e == nil || e.dead
}

// DeadEngines are the engines that do not answer.
func (t *Table) DeadEngines() []site.Upstream {
	var out []site.Upstream
	for _, e := range t.engines {
		if e.dead {
			out = append(out, e.upstream)
		}
	}
	return out
}

func (e *engine) usable(now time.Duration) bool {
	return !e.dead && now >= e.cooldownUntil && e.upstream.State == site.StateReady && e.upstream.Held.Layers.Len() > 0
}

// updateUsableSince notes since when an engine takes requests.
func (t *Table) updateUsableSince(now time.Duration, e *engine) {
	switch {
	case !e.usable(now):
		e.usableSince = 0
	case e.usableSince == 0:
		e.usableSince = max(now, 1)
		if t.firstUsableAt == 0 {
			t.firstUsableAt = e.usableSince
		}
	}
}
