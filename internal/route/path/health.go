package path

import (
	"time"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
)

// ApplyReport applies an engine's report: the engine is alive and has the reported
// slowdown. It returns false if the engine has another start time than the listed one,
// or if it holds fewer layers because it restarted. The engine then counts as dead
// until the list shows what it holds. An engine that holds fewer layers because of a
// load order finishes its requests, but gets no new ones until the list shows its new
// layers.
func (t *Table) ApplyReport(now time.Duration, id spec.UpstreamID, report site.Report) bool {
	e := t.byID[id]
	if e == nil {
		return true
	}
	if report.Born != 0 && report.Born != e.upstream.Born {
		return false
	}
	if !report.Held.Layers.Covers(e.upstream.Held.Layers) {
		// A restart resets the number of accepted orders.
		if report.OrdersAccepted == 0 {
			return false
		}
		e.cooldownUntil = max(e.cooldownUntil, now+layerChangeCooldown)
	}
	e.dead = false
	if report.Slowdown > 0 {
		e.reportedSlowdown, e.reportedAt = report.Slowdown, now
		t.recompute()
	}
	return true
}

// LocalSlowdowns returns the engines that reported to this instance that they are
// slow. A report expires after slowdownTTL, since the engine may have recovered.
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
	// slowdownThreshold is the slowdown factor above which an engine counts as slow.
	// Reports of healthy engines differ by a few percent.
	slowdownThreshold = 1.15
	// slowdownTTL is how long a reported slowdown counts if it isn't reported again.
	slowdownTTL = 4 * time.Second
)

// SetPeerSlowdowns sets the slowdowns that engines reported to another instance; nil
// removes them.
func (t *Table) SetPeerSlowdowns(from spec.InstanceID, slowdowns map[spec.UpstreamID]float64) {
	if len(slowdowns) == 0 && len(t.peerSlowdowns[from]) == 0 {
		return
	}
	if t.peerSlowdowns == nil {
		t.peerSlowdowns = map[spec.InstanceID]map[spec.UpstreamID]float64{}
	}
	t.peerSlowdowns[from] = slowdowns
	t.recompute()
}

// MarkDead marks an engine that doesn't respond. It gets no requests until it reports
// again. MarkDead returns false if the engine isn't listed, is marked already or has
// another start time.
func (t *Table) MarkDead(id spec.UpstreamID, startTime int64) bool {
	e := t.byID[id]
	if e == nil || e.dead || e.upstream.Born != startTime {
		return false
	}
	e.dead = true
	return true
}

// StartCooldown gives an engine no new requests until the given time, or until its present
// cooldown ends if that is later.
func (t *Table) StartCooldown(id spec.UpstreamID, until time.Duration) {
	if e := t.byID[id]; e != nil {
		e.cooldownUntil = max(e.cooldownUntil, until)
	}
}

const (
	// layerChangeCooldown is how long an engine gets no new runs when it changes its
	// layers. The list shows the change within a heartbeat.
	layerChangeCooldown = 1200 * time.Millisecond
	// minRefusalCooldown is how long an engine gets no new runs after it refused one.
	// By then the list shows what it holds and whether it is leaving, or part of its
	// load has finished.
	minRefusalCooldown = 300 * time.Millisecond
	// maxRefusalCooldown is the longest cooldown of an engine that keeps refusing. An
	// engine that received a load order refuses for seconds, until it has loaded the
	// layers and the list shows them. If every instance asked it repeatedly, the limit
	// on retries would be used up.
	maxRefusalCooldown = 2400 * time.Millisecond
)

// RecordRefusal starts the cooldown of an engine that refused a run. The cooldown
// doubles, up to maxRefusalCooldown, if the engine has served no run since its last
// refusal.
func (t *Table) RecordRefusal(now time.Duration, id spec.UpstreamID) {
	e := t.byID[id]
	if e == nil || now < e.cooldownUntil {
		return
	}
	e.refusalCooldown = min(maxRefusalCooldown, max(minRefusalCooldown, 2*e.refusalCooldown))
	e.cooldownUntil = now + e.refusalCooldown
}

// ListedDead reports whether an engine is listed and marked dead.
func (t *Table) ListedDead(id spec.UpstreamID) bool {
	e := t.byID[id]
	return e != nil && e.dead
}

// DeadOrUnlisted reports whether an engine is marked dead or no longer listed.
func (t *Table) DeadOrUnlisted(id spec.UpstreamID) bool {
	e := t.byID[id]
	return e == nil || e.dead
}

// DeadEngines returns the engines that are marked dead.
func (t *Table) DeadEngines() []site.Upstream {
	var out []site.Upstream
	for _, e := range t.engines {
		if e.dead {
			out = append(out, e.upstream)
		}
	}
	return out
}

// usable reports whether an engine may get new requests.
func (t *Table) usable(now time.Duration, e *engine) bool {
	if e.dead || now < e.cooldownUntil || e.upstream.State != site.StateReady || e.upstream.Held.Layers.Len() == 0 {
		return false
	}
	return t.InBackoff == nil || !t.InBackoff(now, e.upstream.ID)
}

// updateUsableSince records since when an engine has been usable.
func (t *Table) updateUsableSince(now time.Duration, e *engine) {
	switch {
	case !t.usable(now, e):
		e.usableSince = 0
	case e.usableSince == 0:
		e.usableSince = max(now, 1)
		if t.firstUsableAt == 0 {
			t.firstUsableAt = e.usableSince
		}
	}
}
