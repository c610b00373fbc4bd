package relay

import (
	"sync"
	"sync/atomic"
	"time"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/path"
)

// Run is one run of a request over a path of engines. Its goroutine tells
// of events; whoever watches may change its path or end it.
type Run struct {
	Request string
	Service string
	// Route is the route that the request came on.
	Route  string
	Demand path.Demand
	// Fingerprint is the fingerprint of the request.
	Fingerprint uint64
	// Resumable tells that another run may go on where this one ends, Spare that
	// it may do so at another engine while this run's first one lives: each
	// such engine is an attempt of the request.
	Resumable       bool
	HasSpareAttempt bool
	Start           time.Time

	// lastEvent is the time of the newest event, or of the start, in nanoseconds
	// since Start.
	lastEvent atomic.Int64
	// meanGap is the average time between events in nanoseconds; zero before the
	// second one.
	meanGap    atomic.Int64
	eventCount atomic.Int64

	mu       sync.Mutex
	chain    spec.Chain
	hops     []site.Hop
	stop     func()
	rerouted bool
	// retryCounted tells that the run that follows is counted as a repeat already.
	retryCounted bool
}

// NewRun returns a run over a chain.
func NewRun(chain spec.Chain, hops []site.Hop) *Run {
	return &Run{Start: time.Now(), chain: chain, hops: hops}
}

// Chain is the path as it is now, with the addresses of its engines.
func (f *Run) Chain() (spec.Chain, []site.Hop) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.chain, f.hops
}

// SetChain notes that the engines go on over another path.
func (f *Run) SetChain(chain spec.Chain, hops []site.Hop) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.chain, f.hops = chain, hops
}

// LastEvent is when the newest event came, or the run began.
func (f *Run) LastEvent() time.Time { return f.Start.Add(time.Duration(f.lastEvent.Load())) }

// MeanEventGap is the average time between events; zero before the second one.
func (f *Run) MeanEventGap() time.Duration { return time.Duration(f.meanGap.Load()) }

// EventCount is how many events have come.
func (f *Run) EventCount() int { return int(f.eventCount.Load()) }

// gapAverageWindow is the part of the newest pause in the average: the last eight count.
const gapAverageWindow = 8

// recordEvent notes an event.
func (f *Run) recordEvent() {
	now := int64(time.Since(f.Start))
	before := f.lastEvent.Swap(now)
	if f.eventCount.Add(1) < 2 {
		return
	}
	gap := f.meanGap.Load()
	if gap == 0 {
		gap = now - before
	}
	f.meanGap.Store(gap + (now-before-gap)/gapAverageWindow)
}

// Reroute ends the run so that the request goes on elsewhere. ended tells that its
// first engine has ended. Else the run counts as an attempt, and it goes on as it
// is, and false is returned, if the request has no other left, or if repeat does
// not allow another run: ended all the same, the answer would be cut though its
// engine still makes it.
func (f *Run) Reroute(ended bool, repeat func() bool) bool {
	if !f.Resumable || !ended && !f.HasSpareAttempt {
		return false
	}
	if f.isRerouted() {
		return true
	}
	if !ended && !repeat() {
		return false
	}
	f.mu.Lock()
	f.rerouted, f.retryCounted = true, !ended
	stop := f.stop
	f.mu.Unlock()
	if stop != nil {
		stop()
	}
	return true
}

// onReroute sets what Move calls; false if it was called already.
func (f *Run) onReroute(stop func()) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stop = stop
	return !f.rerouted
}

func (f *Run) isRetryCounted() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.retryCounted
}

func (f *Run) isRerouted() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rerouted
}
