// Package again bounds how many requests of a service are sent more than once.
//
// It imports the standard library. Package relay asks it before it sends a
// request to a second upstream. It does no I/O and reads no clock.
//
// The bound holds for all instances together: each takes its own requests'
// share and an even part of the allowance, so their sum stays below the bound
// also while they cannot reach each other. While they hear each other each keeps half
// of that for itself, and the other halves are a pool for those whose requests are
// refused: faults meet a few instances at a time.
package again

import "time"

const (
	// slots is how many parts a window is counted in.
	slots = 20
	// margin is the part of the bound that is used. The rest takes requests
	// that callers sent and that did not arrive here, and late arrivals.
	margin = 0.8
	// kept is the part of its share that an instance keeps while there is a pool.
	kept = 0.5
	// turn is the pause after which instances tell each other what they took, turns
	// how many pass until all know. In each, one takes at most an even part of what is
	// left, divided by turns: all that take at once without knowing of each other take
	// no more than there is.
	turn  = 200 * time.Millisecond
	turns = 3
)

// Count is what instances did in the last window. Fields are exported because the
// CBOR codec fills them.
type Count struct {
	// Of is how many instances these are.
	Of int `cbor:"1,keyasint"`
	// First is requests sent for the first time, Pooled repeats taken from the pool.
	First  int `cbor:"2,keyasint"`
	Pooled int `cbor:"3,keyasint,omitempty"`
}

// Plus is what both did.
func (c Count) Plus(o Count) Count {
	return Count{Of: c.Of + o.Of, First: c.First + o.First, Pooled: c.Pooled + o.Pooled}
}

// Minus is what is left of c without a part of it.
func (c Count) Minus(o Count) Count {
	return Count{Of: c.Of - o.Of, First: c.First - o.First, Pooled: c.Pooled - o.Pooled}
}

// Budget counts one service. Set the exported fields before use. It is not
// safe for concurrent use.
type Budget struct {
	// Ratio is repeats per request, Allowance repeats on top of it in a Window
	// over all instances.
	Ratio     float64
	Allowance float64
	Window    time.Duration
	// Young is how long after zero the allowance grows to the whole: what a former
	// process of this instance took still counts. Zero has it whole at once.
	Young time.Duration

	at     int64
	first  [slots]int
	more   [slots]int
	pooled [slots]int
	// turn is the number of the present turn, tokens what may be taken in it. Parts of
	// a repeat add up over the turns.
	turn   int64
	tokens float64
}

// First notes a request that is sent for the first time.
func (b *Budget) First(now time.Duration) {
	b.first[b.slot(now)]++
}

// Allow reports whether one more request may be sent again, and notes it.
// instances is how many share the allowance, others what those of them did that are
// heard.
func (b *Budget) Allow(now time.Duration, instances int, others Count) bool {
	at := b.slot(now)
	own := b.Count(now)
	more := 0
	for _, n := range b.more {
		more += n
	}
	bound := margin * (b.Ratio*float64(own.First) + b.allowance(now)/float64(max(1, instances)))
	if others.Of > 0 {
		bound *= kept
	}
	if float64(more+1) <= bound {
		b.more[at]++
		return true
	}
	if others.Of == 0 || !b.take(now, instances, own.Plus(others)) {
		return false
	}
	b.pooled[at]++
	return true
}

// take takes a repeat from the pool if there is one for this instance in this turn.
// Instances that are not heard have all of their share for themselves.
func (b *Budget) take(now time.Duration, instances int, all Count) bool {
	n := max(instances, all.Of)
	pool := margin * (1 - kept) * (b.Ratio*float64(all.First) + b.allowance(now)*float64(all.Of)/float64(n))
	left := pool - float64(all.Pooled)
	part := max(0, left/float64(turns*n))
	if t := int64(now / turn); t != b.turn {
		b.tokens = min(b.tokens+part*float64(t-b.turn), max(1, part))
		b.turn = t
	}
	if left < 1 || b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// allowance is the part of the allowance that may be used by now.
func (b *Budget) allowance(now time.Duration) float64 {
	if now >= b.Young {
		return b.Allowance
	}
	return b.Allowance * float64(now) / float64(b.Young)
}

// Count is what this instance did in the last window.
func (b *Budget) Count(now time.Duration) Count {
	b.slot(now)
	c := Count{Of: 1}
	for i := range slots {
		c.First += b.first[i]
		c.Pooled += b.pooled[i]
	}
	return c
}

// slot returns the part of the window that now falls in and clears those that
// are over.
func (b *Budget) slot(now time.Duration) int {
	at := int64(now / (b.Window / slots))
	for ; b.at < at; b.at++ {
		if at-b.at > slots {
			b.at = at - slots
		}
		next := (b.at + 1) % slots
		b.first[next], b.more[next], b.pooled[next] = 0, 0, 0
	}
	return int(at % slots)
}
