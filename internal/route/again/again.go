// Package again bounds how many requests of a service are sent more than once.
//
// It imports the standard library. Package relay asks it before it sends a
// request to a second upstream. It does no I/O and reads no clock.
//
// The bound holds for all instances together: each takes its own requests'
// share and an even part of the allowance, so their sum stays below the bound
// also while they cannot reach each other.
package again

import "time"

const (
	// slots is how many parts a window is counted in.
	slots = 20
	// margin is the part of the bound that is used. The rest takes requests
	// that callers sent and that did not arrive here, and late arrivals.
	margin = 0.8
)

// Budget counts one service. Set the exported fields before use. It is not
// safe for concurrent use.
type Budget struct {
	// Ratio is repeats per request, Allowance repeats on top of it in a Window
	// over all instances.
	Ratio     float64
	Allowance float64
	Window    time.Duration

	at    int64
	first [slots]int
	more  [slots]int
}

// First notes a request that is sent for the first time.
func (b *Budget) First(now time.Duration) {
	b.first[b.slot(now)]++
}

// Allow reports whether one more request may be sent again, and notes it.
// instances is how many share the allowance.
func (b *Budget) Allow(now time.Duration, instances int) bool {
	at := b.slot(now)
	first, more := 0, 0
	for i := range slots {
		first += b.first[i]
		more += b.more[i]
	}
	bound := margin * (b.Ratio*float64(first) + b.Allowance/float64(max(1, instances)))
	if float64(more+1) > bound {
		return false
	}
	b.more[at]++
	return true
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
		b.first[next], b.more[next] = 0, 0
	}
	return int(at % slots)
}
