package domain

import (
	"time"

	"fulmarwick/internal/base/spec"
)

// LoadedRange is a layer range of one version of a model that an engine has
// loaded.
type LoadedRange struct {
	Model   spec.ModelName
	Version string
	Depth   int
	Layers  spec.Layers
	// Width is the size in bytes of one hidden value between layers.
	Width int
}

// Engine is a row of the engine table. The exported fields come from the
// engine's last report and lag behind its real state.
type Engine struct {
	ID         spec.UpstreamID
	DataCentre spec.DataCentre
	Kind       string
	Loaded     []LoadedRange
	// LayerTime is the time for one token through one layer.
	LayerTime time.Duration
	// Slots is how many requests the engine batches at once.
	Slots int
	// LayerCapacity is in layers.
	LayerCapacity int
	// KVCapacity and KVUsed are in KV tokens.
	KVCapacity int
	KVUsed     int
	Queued     int
	Active     int
	// ReportedHopTime is the time of one network hop to the engine, as
	// reported.
	ReportedHopTime time.Duration
	// Bandwidth is that of the link to the engine in bytes per second; zero
	// is unlimited.
	Bandwidth int64
	// Incarnation changes when the engine restarts; zero if the engine does
	// not report one.
	Incarnation uint64
	// Seq orders the reports of one incarnation; a report with a lower number
	// than the last is ignored.
	Seq uint64

	state State
	// silent is set from a notice that the engine does not answer until its
	// next report. It keeps its place in the index, since its layers are not
	// lost.
	silent   bool
	silentAt time.Duration
	// localRequests is the number of requests of this instance that run on
	// the engine.
	localRequests int
	load          load
	hop           linkState
	cooldown      cooldown
	// deadAt is when the engine was last marked dead.
	deadAt time.Duration
	groups []*Group
}

// State returns the state of the engine as routing sees it.
func (e *Engine) State() State { return e.state }

// LocalRequests returns the number of requests of this instance that use the
// engine.
func (e *Engine) LocalRequests() int { return e.localRequests }

// Usable reports whether new work may go to the engine at now.
func (e *Engine) Usable(now time.Duration) bool {
	return e.state == StateServing && !e.silent && now >= e.cooldown.until
}

// MayAnswer reports whether all that is against the engine is that it does not
// answer at now. It may go on at any moment.
func (e *Engine) MayAnswer(now time.Duration) bool {
	return e.state == StateServing && (now >= e.cooldown.until || e.cooldown.timeoutsOnly)
}

// WasSilent reports whether the engine is silent or dead, and was so at then.
func (e *Engine) WasSilent(then time.Duration) bool { return e.silent && e.silentAt <= then }

// FindLoaded returns the engine's loaded range that covers the layers of the
// model version.
func (e *Engine) FindLoaded(model spec.ModelName, version string, layers spec.Layers) (LoadedRange, bool) {
	for _, loaded := range e.Loaded {
		if loaded.Model == model && loaded.Version == version && loaded.Layers.Covers(layers) {
			return loaded, true
		}
	}
	return LoadedRange{}, false
}

// cooldown is the period in which an engine that failed without dying gets no
// new work.
type cooldown struct {
	until    time.Duration
	failures int
	// timeoutsOnly is set if the engine only did not answer in time.
	timeoutsOnly bool
}

const (
	minCooldown = time.Second
	maxCooldown = 32 * time.Second
)

// StartCooldown keeps new work off the engine for a time that doubles with
// each consecutive failure. An engine that fails now and then is thus tried
// less and less often, and not in step with its recovery.
func (e *Engine) StartCooldown(now time.Duration, cause Cause) {
	if now < e.cooldown.until {
		e.cooldown.timeoutsOnly = e.cooldown.timeoutsOnly && cause == CauseTimeout
		return
	}
	e.cooldown.timeoutsOnly = cause == CauseTimeout
	wait := min(minCooldown<<min(e.cooldown.failures, 10), maxCooldown)
	e.cooldown.failures++
	e.cooldown.until = now + wait
}

// ResetFailures clears the failure count after the engine completed work.
func (e *Engine) ResetFailures() { e.cooldown.failures = 0 }

func sameRanges(a, b []LoadedRange) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
