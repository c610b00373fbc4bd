// Package resend bounds how many requests of a service are sent more than once.
//
// It imports the standard library. Package relay asks it before it sends a
// request to a second upstream. It does no I/O and reads no clock.
//
// The bound holds for all instances together: each takes its own requests'
// share and an even part of the allowance, so their sum stays below the bound
// also while they cannot reach each other. While they hear each other each keeps half
// of that for itself, and the other halves are a pool for those whose requests are
// refused: faults meet a few instances at a time.
package resend

import "time"

const (
	// windowBuckets is how many parts a window is counted in.
	windowBuckets = 20
	// usableShare is the part of the bound that is used. The rest takes requests
	// that callers sent and that did not arrive here, and late arrivals.
	usableShare = 0.8
	// localShare is the part of its share that an instance keeps while there is a pool.
	localShare = 0.5
	// roundInterval is the pause after which instances tell each other what they took, turns
	// how many pass until all know. In each, one takes at most an even part of what is
	// left, divided by turns: all that take at once without knowing of each other take
	// no more than there is.
	roundInterval     = 200 * time.Millisecond
	propagationRounds = 3
)

// Usage is what instances did in the last window. Fields are exported because the
// CBOR codec fills them.
type Usage struct {
	// Instances is how many instances these are.
	Instances int `cbor:"1,keyasint"`
	// Requests is requests sent for the first time, Pooled repeats taken from the pool.
	Requests      int `cbor:"2,keyasint"`
	PooledRetries int `cbor:"3,keyasint,omitempty"`
}

// Plus is what both did.
func (c Usage) Plus(o Usage) Usage {
	return Usage{Instances: c.Instances + o.Instances, Requests: c.Requests + o.Requests, PooledRetries: c.PooledRetries + o.PooledRetries}
}

// Minus is what is left of c without a part of it.
func (c Usage) Minus(o Usage) Usage {
	return Usage{Instances: c.Instances - o.Instances, Requests: c.Requests - o.Requests, PooledRetries: c.PooledRetries - o.PooledRetries}
}

// Budget counts one service. Set the exported fields before use. It is not
// safe for concurrent use.
type Budget struct {
	// Ratio is repeats per request, Allowance repeats on top of it in a Window
	// over all instances.
	Ratio     float64
	Allowance float64
	Window    time.Duration
	// RampUp is how long after zero the allowance grows to the whole: what a former
	// process of this instance took still counts. Zero has it whole at once.
	RampUp time.Duration

	currentBucket int64
	requests      [windowBuckets]int
	localRetries  [windowBuckets]int
	pooledRetries [windowBuckets]int
	// round is the number of the present turn, tokens what may be taken in it. Parts of
	// a repeat add up over the turns.
	round  int64
	tokens float64
}

// RecordRequest notes a request that is sent for the first time.
func (b *Budget) RecordRequest(now time.Duration) {
	b.requests[b.advanceWindow(now)]++
}

// AllowRetry reports whether one more request may be sent again, and notes it.
// instances is how many share the allowance, others what those of them did that are
// heard.
func (b *Budget) AllowRetry(now time.Duration, instances int, others Usage) bool {
	at := b.advanceWindow(now)
	own := b.Usage(now)
	more := 0
	for _, n := range b.localRetries {
		more += n
	}
	bound := usableShare * (b.Ratio*float64(own.Requests) + b.currentAllowance(now)/float64(max(1, instances)))
	if others.Instances > 0 {
		bound *= localShare
	}
	if float64(more+1) <= bound {
		b.localRetries[at]++
		return true
	}
	if others.Instances == 0 || !b.takePooled(now, instances, own.Plus(others)) {
		return false
	}
	b.pooledRetries[at]++
	return true
}

// takePooled takes a repeat from the pool if there is one for this instance in this turn.
// Instances that are not heard have all of their share for themselves.
func (b *Budget) takePooled(now time.Duration, instances int, all Usage) bool {
	n := max(instances, all.Instances)
	pool := usableShare * (1 - localShare) * (b.Ratio*float64(all.Requests) + b.currentAllowance(now)*float64(all.Instances)/float64(n))
	left := pool - float64(all.PooledRetries)
	part := max(0, left/float64(propagationRounds*n))
	if t := int64(now / roundInterval); t != b.round {
		b.tokens = min(b.tokens+part*float64(t-b.round), max(1, part))
		b.round = t
	}
	if left < 1 || b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// currentAllowance is the part of the allowance that may be used by now.
func (b *Budget) currentAllowance(now time.Duration) float64 {
	if now >= b.RampUp {
		return b.Allowance
	}
	return b.Allowance * float64(now) / float64(b.RampUp)
}

// Usage is what this instance did in the last window.
func (b *Budget) Usage(now time.Duration) Usage {
	b.advanceWindow(now)
	c := Usage{Instances: 1}
	for i := range windowBuckets {
		c.Requests += b.requests[i]
		c.PooledRetries += b.pooledRetries[i]
	}
	return c
}

// advanceWindow returns the part of the window that now falls in and clears those that
// are over.
func (b *Budget) advanceWindow(now time.Duration) int {
	at := int64(now / (b.Window / windowBuckets))
	for ; b.currentBucket < at; b.currentBucket++ {
		if at-b.currentBucket > windowBuckets {
			b.currentBucket = at - windowBuckets
		}
		next := (b.currentBucket + 1) % windowBuckets
		b.requests[next], b.localRetries[next], b.pooledRetries[next] = 0, 0, 0
	}
	return int(at % windowBuckets)
}
