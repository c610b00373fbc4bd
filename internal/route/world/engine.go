package world

import (
	"time"

	"fulmarwick/internal/base/spec"
)

// Hold is a layer range of one version of a model that an engine has loaded.
type Hold struct {
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
	Holds      []Hold
	// Layer is the time for one token through one layer.
	Layer time.Duration
	// Slots is how many requests the engine batches at once.
	Slots int
	// Memory is in layers, Cache and Cached in KV tokens.
	Memory int
	Cache  int
	Cached int
	Queued int
	Active int
	// Hop is the time of one hop to the engine.
	Hop time.Duration
	// Bandwidth of the link to the engine is in bytes a second; zero is
	// unbounded.
	Bandwidth int64
	// Incarnation changes when the engine restarts; zero if it does not tell.
	Incarnation uint64
	// Seq orders the reports of one incarnation: a lower number is ignored.
	Seq uint64

	state State
	// own is how many requests of this instance run on the engine.
	own  int
	load load
	hop  hop
	shun shun
	// downAt is when the engine was last marked down.
	downAt time.Duration
	groups []*Group
}

// State is how routing sees the engine.
func (e *Engine) State() State { return e.state }

// Own is how many requests of this instance use the engine.
func (e *Engine) Own() int { return e.own }

// Usable reports whether new work may go to the engine at now.
func (e *Engine) Usable(now time.Duration) bool {
	return e.state == StateServing && now >= e.shun.until
}

// Hold returns the engine's hold that covers layers of the model version.
func (e *Engine) Hold(model spec.ModelName, version string, layers spec.Layers) (Hold, bool) {
	for _, h := range e.Holds {
		if h.Model == model && h.Version == version && h.Layers.Covers(layers) {
			return h, true
		}
	}
	return Hold{}, false
}

// shun is how long new work avoids an engine that failed without dying.
type shun struct {
	until   time.Duration
	strikes int
}

const (
	shunFirst = time.Second
	shunMost  = 32 * time.Second
)

// Shun keeps new work off the engine for a time that doubles with each strike
// in a row, so that an engine that fails now and then is tried less and less
// and never in step with its recovery.
func (e *Engine) Shun(now time.Duration) {
	if now < e.shun.until {
		return
	}
	wait := min(shunFirst<<min(e.shun.strikes, 10), shunMost)
	e.shun.strikes++
	e.shun.until = now + wait
}

// Proved forgets the strikes of an engine that finished work.
func (e *Engine) Proved() { e.shun.strikes = 0 }

func sameHolds(a, b []Hold) bool {
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
