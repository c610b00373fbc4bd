// Package resend limits how many requests of a service are sent more than once.
//
// It imports base/spec. Package relay asks it, by way of app/edge, before it
// sends a request to a second upstream. It does no I/O and reads no clock.
//
// The limit holds for all instances together: each may use the share that its own
// requests allow and an equal part of the allowance, so their sum stays below the limit
// even while they cannot reach each other. While they receive each other's messages,
// each keeps half of that for itself, and the other halves form a pool for instances
// whose requests are refused: faults affect a few instances at a time. What was taken from
// the pool counts for a window, whoever is heard of meanwhile.
package resend

import "time"

const (
	// windowBuckets is the number of buckets in a window. One more is counted, since the newest one is
	// not over: no moment of the window may be left out.
	windowBuckets  = 20
	countedBuckets = windowBuckets + 1
	// usableShare is the part of the limit that is used. The rest covers requests that
	// callers sent and that did not arrive here, and late arrivals.
	usableShare = 0.8
	// localShare is the part of its share that an instance keeps for itself while there
	// is a pool.
	localShare = 0.5
	// roundInterval is the interval at which instances report their usage to each
	// other.
	roundInterval = 200 * time.Millisecond
	// maxRampUp is the part of the allowance that a process may use before RampUp is over. The one before it
	// may have used all of it at its end.
	maxRampUp = 0.5
	// propagationRounds is how many rounds pass until all instances know the usage. In
	// each round, an instance takes at most an equal part of what is left, divided by
	// propagationRounds. So all instances that take from the pool at once, without
	// knowing of each other, take no more than there is.
	propagationRounds = 3
)

// Usage is what one or more instances did in the last window. Fields are exported
// because the CBOR codec fills them.
type Usage struct {
	// Instances is how many instances these are.
	Instances int `cbor:"1,keyasint"`
	// Requests is the number of requests sent for the first time.
	Requests int `cbor:"2,keyasint"`
	// PooledRetries is the number of retries taken from the pool.
	PooledRetries int `cbor:"3,keyasint,omitempty"`
}

// Plus returns the sum of both usages.
func (c Usage) Plus(o Usage) Usage {
	return Usage{Instances: c.Instances + o.Instances, Requests: c.Requests + o.Requests, PooledRetries: c.PooledRetries + o.PooledRetries}
}

// Minus returns c without o, which is a part of it.
func (c Usage) Minus(o Usage) Usage {
	return Usage{Instances: c.Instances - o.Instances, Requests: c.Requests - o.Requests, PooledRetries: c.PooledRetries - o.PooledRetries}
}

// Budget limits the retries of one service. Set the exported fields before use. It is
// not safe for concurrent use.
type Budget struct {
	// Ratio is the number of retries per request. Allowance is the number of retries on
	// top of that in a Window, over all instances.
	Ratio     float64
	Allowance float64
	Window    time.Duration
	// RampUp is how long after zero the allowance takes to grow to its full size:
	// retries of a former process of this instance still count. With zero the full
	// allowance applies at once.
	RampUp time.Duration

	currentBucket int64
	requests      [countedBuckets]int
	localRetries  [countedBuckets]int
	pooledRetries [countedBuckets]int
	// sharedUntil is until when retries that were taken from the pool may count.
	sharedUntil time.Duration
	// round is the number of the current round. tokens is how many pooled retries may
	// be taken in it; fractions of a retry add up over the rounds.
	round  int64
	tokens float64
}

// RecordRequest counts a request that is sent for the first time.
func (b *Budget) RecordRequest(now time.Duration) {
	b.requests[b.advanceWindow(now)]++
}

// AllowRetry reports whether a request may be sent again, and counts it if so. instances
// is the number of instances that share the limit, others the usage that other instances
// reported. An instance that has heard of none for a window uses its part of the pool.
func (b *Budget) AllowRetry(now time.Duration, instances int, others Usage) bool {
	bucket := b.advanceWindow(now)
	own := b.Usage(now)
	retries := 0
	for _, n := range b.localRetries {
		retries += n
	}
	limit := usableShare * (b.Ratio*float64(own.Requests) + b.currentAllowance(now)/float64(max(1, instances)))
	if others.Instances > 0 {
		b.sharedUntil = now + b.Window
	}
	switch {
	case float64(retries+1) <= localShare*limit:
		b.localRetries[bucket]++
		return true
	case now >= b.sharedUntil && float64(retries+own.PooledRetries+1) <= limit:
	case others.Instances == 0 || !b.takePooled(now, instances, own.Plus(others)):
		return false
	}
	b.pooledRetries[bucket]++
	return true
}

// takePooled takes a retry from the pool if this instance may have one in this round.
// Instances whose messages do not arrive have all of their share for themselves.
func (b *Budget) takePooled(now time.Duration, instances int, all Usage) bool {
	n := max(instances, all.Instances)
	pool := usableShare * (1 - localShare) * (b.Ratio*float64(all.Requests) + b.currentAllowance(now)*float64(all.Instances)/float64(n))
	left := pool - float64(all.PooledRetries)
	share := max(0, left/float64(propagationRounds*n))
	if current := int64(now / roundInterval); current != b.round {
		b.tokens = min(b.tokens+share*float64(current-b.round), max(1, share))
		b.round = current
	}
	if left < 1 || b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// currentAllowance returns the part of the allowance that may be used by now.
func (b *Budget) currentAllowance(now time.Duration) float64 {
	if now >= b.RampUp {
		return b.Allowance
	}
	return b.Allowance * min(maxRampUp, float64(now)/float64(b.RampUp))
}

// Usage returns what this instance did in the last window.
func (b *Budget) Usage(now time.Duration) Usage {
	b.advanceWindow(now)
	usage := Usage{Instances: 1}
	for i := range countedBuckets {
		usage.Requests += b.requests[i]
		usage.PooledRetries += b.pooledRetries[i]
	}
	return usage
}

// advanceWindow returns the bucket for now and clears the buckets that have left the
// window.
func (b *Budget) advanceWindow(now time.Duration) int {
	current := int64(now / (b.Window / windowBuckets))
	for ; b.currentBucket < current; b.currentBucket++ {
		if current-b.currentBucket > countedBuckets {
			b.currentBucket = current - countedBuckets
		}
		next := (b.currentBucket + 1) % countedBuckets
		b.requests[next], b.localRetries[next], b.pooledRetries[next] = 0, 0, 0
	}
	return int(current % countedBuckets)
}
