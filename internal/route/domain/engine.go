package domain

import (
	"time"

	"fulmarwick/internal/base/spec"
)

// LoadedRange is a layer range of one version of a model that an engine has loaded.
type LoadedRange struct {
	Model   spec.ModelName
	Version string
	Depth   int
	Layers  spec.Layers
	// Width is the bytes of one hidden value between layers.
	Width int
}

// Engine is a row of the engine table. The exported fields are what the
// engine reports; they lag.
type Engine struct {
	ID         spec.UpstreamID
	DataCentre spec.DataCentre
	Kind       string
	Loaded     []LoadedRange
	// LayerTime is the time for one token through one layer.
	LayerTime time.Duration
	// Slots is how many requests the engine batches at once.
	Slots int
	// LayerCapacity is in layers, Cache and Cached in KV tokens.
	LayerCapacity int
	KVCapacity    int
	KVUsed        int
	Queued        int
	Active        int
	// ReportedHopTime is the time of one hop to the engine.
	ReportedHopTime time.Duration
	// Bandwidth of the link to the engine is in bytes a second; zero is
	// unbounded.
	Bandwidth int64
	// Incarnation changes when the engine restarts; zero if it does not tell.
	Incarnation uint64
	// Seq orders the reports of one incarnation: a lower number is ignored.
	Seq uint64

	state State
	// localRequests is how many requests of this instance run on the engine.
	localRequests int
	load          load
	hop           linkState
	cooldown      cooldown
	// deadAt is when the engine was last marked down.
	deadAt time.Duration
	groups []*Group
}

// State is how routing sees the engine.
func (e *Engine) State() State { return e.state }

// LocalRequests is how many requests of this instance use the engine.
func (e *Engine) LocalRequests() int { return e.localRequests }

// Usable reports whether new work may go to the engine at now.
func (e *Engine) Usable(now time.Duration) bool {
	return e.state == StateServing && now >= e.cooldown.until
}

// FindLoaded returns the engine's hold that covers layers of the model version.
func (e *Engine) FindLoaded(model spec.ModelName, version string, layers spec.Layers) (LoadedRange, bool) {
	for _, h := range e.Loaded {
		if h.Model == model && h.Version == version && h.Layers.Covers(layers) {
			return h, true
		}
	}
	return LoadedRange{}, false
}

// cooldown is how long new work avoids an engine that failed without dying.
type cooldown struct {
	until    time.Duration
	failures int
}

const (
	minCooldown = time.Second
	maxCooldown = 32 * time.Second
)

// StartCooldown keeps new work off the engine for a time that doubles with each strike
// in a row, so that an engine that fails now and then is tried less and less
// and never in step with its recovery.
func (e *Engine) StartCooldown(now time.Duration) {
	if now < e.cooldown.until {
		return
	}
	wait := min(minCooldown<<min(e.cooldown.failures, 10), maxCooldown)
	e.cooldown.failures++
	e.cooldown.until = now + wait
}

// ResetFailures forgets the strikes of an engine that finished work.
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
