package relay

import (
	"sync"
	"sync/atomic"
	"time"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/crash"
	"fulmarwick/internal/route/path"
)

// Run is one attempt to run a request on a path of engines. Its own goroutine
// records the events; other goroutines may change its path or end it.
type Run struct {
	Request string
	Service string
	// Route is the route that the request matched.
	Route  string
	Demand path.Demand
	// Suspects is what of the request may crash upstreams.
	Suspects []crash.Key
	// Resumable means that another run may continue the answer where this run ends.
	Resumable bool
	// HasSpareAttempt reports whether another run may start at a different engine while
	// the first engine of this run is alive: each such engine counts as an attempt
	// of the request. If it is nil, none may.
	HasSpareAttempt func() bool
	Start           time.Time
	// First is the process of the first engine.
	First crash.Process
	// Deadline is when the engines stop to work on the request.
	Deadline time.Time

	// firstEvent and lastEvent are the times of the first and the newest event in
	// nanoseconds since Start; zero before the first event.
	firstEvent atomic.Int64
	lastEvent  atomic.Int64
	// meanGap is the moving average of the gap between events in nanoseconds; zero
	// before the second event.
	meanGap    atomic.Int64
	eventCount atomic.Int64

	mu       sync.Mutex
	chain    spec.Chain
	hops     []site.Hop
	stop     func()
	rerouted bool
	// retryCounted means that the run that follows is already counted as a retry.
	retryCounted bool
}

// NewRun returns a run on a chain; hops are the addresses of its engines.
func NewRun(chain spec.Chain, hops []site.Hop) *Run {
	return &Run{Start: time.Now(), chain: chain, hops: hops}
}

// Chain returns the current path and the addresses of its engines.
func (r *Run) Chain() (spec.Chain, []site.Hop) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.chain, r.hops
}

// SetChain records that the engines continue the run on another path.
func (r *Run) SetChain(chain spec.Chain, hops []site.Hop) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.chain, r.hops = chain, hops
}

// LastEvent returns when the newest event was received, or the start of the run if
// there was none.
func (r *Run) LastEvent() time.Time { return r.Start.Add(time.Duration(r.lastEvent.Load())) }

// MeanEventGap returns the moving average of the gap between events; zero before
// the second event.
func (r *Run) MeanEventGap() time.Duration { return time.Duration(r.meanGap.Load()) }

// FirstEvent returns when the first event was received, or the start of the run if there was none.
func (r *Run) FirstEvent() time.Time { return r.Start.Add(time.Duration(r.firstEvent.Load())) }

// ProducingTime returns the time from the first event to the newest one.
func (r *Run) ProducingTime() time.Duration {
	return time.Duration(r.lastEvent.Load() - r.firstEvent.Load())
}

// EventCount returns how many events were received.
func (r *Run) EventCount() int { return int(r.eventCount.Load()) }

// gapAverageWindow is how many of the newest gaps the moving average covers: the
// newest gap counts for one eighth.
const gapAverageWindow = 8

// recordEvent records that an event was received.
func (r *Run) recordEvent() {
	now := int64(time.Since(r.Start))
	if r.eventCount.Load() == 0 {
		r.firstEvent.Store(now)
	}
	previous := r.lastEvent.Swap(now)
	if r.eventCount.Add(1) < 2 {
		return
	}
	gap := r.meanGap.Load()
	if gap == 0 {
		gap = now - previous
	}
	r.meanGap.Store(gap + (now-previous-gap)/gapAverageWindow)
}

// Reroute ends the run so that the request continues on another path. engineDead
// means that the first engine of the run is dead. If it is not, the run counts as
// an attempt: the run continues unchanged and Reroute returns false if the request
// has no other attempt left or allowRetry permits no further run. Ending the run
// then would truncate the answer although its engine still produces it. A run that
// is not resumable is never rerouted.
func (r *Run) Reroute(engineDead bool, allowRetry func() bool) bool {
	if !r.Resumable || !engineDead && (r.HasSpareAttempt == nil || !r.HasSpareAttempt()) {
		return false
	}
	if r.isRerouted() {
		return true
	}
	if !engineDead && !allowRetry() {
		return false
	}
	r.mu.Lock()
	r.rerouted, r.retryCounted = true, !engineDead
	stop := r.stop
	r.mu.Unlock()
	if stop != nil {
		stop()
	}
	return true
}

// onReroute sets the function that Reroute calls to end the run. It returns false
// if the run was rerouted already.
func (r *Run) onReroute(stop func()) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stop = stop
	return !r.rerouted
}

func (r *Run) isRetryCounted() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.retryCounted
}

func (r *Run) isRerouted() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rerouted
}
