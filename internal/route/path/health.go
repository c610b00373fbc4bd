package path

import (
	"time"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
)

// Health is what this instance knows of whether an engine runs.
type Health int

//go:generate stringer -type=Health -linecomment -output=health_string.go

// States of health.
const (
	HealthUp Health = iota // up
	// HealthSilent means that the engine did not answer a probe. It may have paused, and then goes on
	// with its runs.
	HealthSilent // silent
	// HealthDead means that the process has ended, or that this instance has been cut off from it for
	// longer than a pause lasts.
	HealthDead // dead
)

// ApplyReport applies an engine's report: the engine is alive and has the reported
// slowdown. It returns false if the engine has another start time than the listed one,
// or if it holds fewer layers because it restarted. The engine then gets no requests
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
	e.health = HealthUp
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

// Degrade marks an engine as silent or dead, which has not answered since a time. It gets
// no requests until it reports again. Degrade returns false if the engine isn't listed,
// is known to be in that state or a worse one, or has another start time.
func (t *Table) Degrade(id spec.UpstreamID, startTime int64, to Health, since time.Duration) bool {
	e := t.byID[id]
	if e == nil || e.health >= to || e.upstream.Born != startTime {
		return false
	}
	if e.health == HealthUp {
		e.silentSince = since
	}
	e.health = to
	return true
}

// SilentSince returns since when an engine has not answered; false if it did when it was last
// probed.
func (t *Table) SilentSince(id spec.UpstreamID) (time.Duration, bool) {
	e := t.byID[id]
	if e == nil || e.health == HealthUp {
		return 0, false
	}
	return e.silentSince, true
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

// Health returns the health of an engine; HealthUp if it isn't listed.
func (t *Table) Health(id spec.UpstreamID) Health {
	if e := t.byID[id]; e != nil {
		return e.health
	}
	return HealthUp
}

// Answers reports whether an engine is listed and answered when it was last probed.
func (t *Table) Answers(id spec.UpstreamID) bool {
	e := t.byID[id]
	return e != nil && e.health == HealthUp
}

// UnansweringEngines returns the engines that are silent or dead.
func (t *Table) UnansweringEngines() []site.Upstream {
	var out []site.Upstream
	for _, e := range t.engines {
		if e.health != HealthUp {
			out = append(out, e.upstream)
		}
	}
	return out
}

// usable reports whether an engine may get new requests.
func (t *Table) usable(now time.Duration, e *engine) bool {
	if e.health != HealthUp || now < e.cooldownUntil || e.upstream.State != site.StateReady || e.upstream.Held.Layers.Len() == 0 {
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
