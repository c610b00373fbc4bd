package relay

import (
	"sync"
	"sync/atomic"
	"time"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/path"
)

// Flight is one run of a request over a path of engines. Its goroutine tells
// of events; whoever watches may change its path or end it.
type Flight struct {
	Request string
	Service string
	// Class is the route that the request came on.
	Class string
	Need  path.Need
	// Print is the fingerprint of the request.
	Print uint64
	// Resume tells that another run may go on where this one ends, Spare that
	// it may do so at another engine while this run's first one lives: each
	// such engine is an attempt of the request.
	Resume bool
	Spare  bool
	Start  time.Time

	// last is the time of the newest event, or of the start, in nanoseconds
	// since Start.
	last atomic.Int64
	// gap is the average time between events in nanoseconds; zero before the
	// second one.
	gap    atomic.Int64
	events atomic.Int64

	mu    sync.Mutex
	chain spec.Chain
	hops  []site.Hop
	stop  func()
	moved bool
	// paid tells that the run that follows is counted as a repeat already.
	paid bool
}

// NewFlight returns a run over a chain.
func NewFlight(chain spec.Chain, hops []site.Hop) *Flight {
	return &Flight{Start: time.Now(), chain: chain, hops: hops}
}

// Chain is the path as it is now, with the addresses of its engines.
func (f *Flight) Chain() (spec.Chain, []site.Hop) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.chain, f.hops
}

// SetChain notes that the engines go on over another path.
func (f *Flight) SetChain(chain spec.Chain, hops []site.Hop) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.chain, f.hops = chain, hops
}

// Last is when the newest event came, or the run began.
func (f *Flight) Last() time.Time { return f.Start.Add(time.Duration(f.last.Load())) }

// Gap is the average time between events; zero before the second one.
func (f *Flight) Gap() time.Duration { return time.Duration(f.gap.Load()) }

// Events is how many events have come.
func (f *Flight) Events() int { return int(f.events.Load()) }

// smooth is the part of the newest pause in the average: the last eight count.
const smooth = 8

// touch notes an event.
func (f *Flight) touch() {
	now := int64(time.Since(f.Start))
	before := f.last.Swap(now)
	if f.events.Add(1) < 2 {
		return
	}
	gap := f.gap.Load()
	if gap == 0 {
		gap = now - before
	}
	f.gap.Store(gap + (now-before-gap)/smooth)
}

// Move ends the run so that the request goes on elsewhere. ended tells that its
// first engine has ended. Else the run counts as an attempt, and it goes on as it
// is, and false is returned, if the request has no other left, or if repeat does
// not allow another run: ended all the same, the answer would be cut though its
// engine still makes it.
func (f *Flight) Move(ended bool, repeat func() bool) bool {
	if !f.Resume || !ended && !f.Spare {
		return false
	}
	if f.isMoved() {
		return true
	}
	if !ended && !repeat() {
		return false
	}
	f.mu.Lock()
	f.moved, f.paid = true, !ended
	stop := f.stop
	f.mu.Unlock()
	if stop != nil {
		stop()
	}
	return true
}

// onMove sets what Move calls; false if it was called already.
func (f *Flight) onMove(stop func()) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stop = stop
	return !f.moved
}

func (f *Flight) isPaid() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.paid
}

func (f *Flight) isMoved() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.moved
}
