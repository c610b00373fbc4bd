package path

import (
	"math"
	"time"

	"fulmarwick/internal/base/spec"
)

const (
	// pipeMost is the longest queue on the way between data centres behind
	// which a new request may cross, hastePipe the same for an answer that was
	// broken off and has no other way. Each event of each stream that crosses
	// waits for the whole queue: beyond the pause that callers take, one more
	// prompt makes all of them late.
	pipeMost  = 60 * time.Millisecond
	hastePipe = 400 * time.Millisecond
)

// Cross counts what a request sends between data centres when it begins on a
// chain. The other instances, which are told of no transfer, are taken to send
// as much.
func (t *Table) Cross(now time.Duration, c spec.Chain, n Need) {
	for i := 1; i < len(c); i++ {
		if t.centre(c[i-1].Engine()) != t.centre(c[i].Engine()) {
			t.pipe = max(t.pipe, now) + t.Model.Crossing(n.Prompt+n.Answer)*time.Duration(t.instances()+1)
		}
	}
}

// queue is how long a transfer that begins now waits for those before it.
func (t *Table) queue(now time.Duration) time.Duration { return max(0, t.pipe-now) }

// hop is the cost in milliseconds of passing activations from one data centre
// to another.
func (t *Table) hop(a Ask, from, to spec.DataCentre) float64 {
	if from == to {
		return 0
	}
	most := pipeMost
	if a.Haste {
		most = hastePipe
	}
	if t.queue(a.Now) > most {
		return math.Inf(1)
	}
	cost := crossing * millis(t.Model.Crossing(a.Prompt+a.Answer))
	if a.Haste {
		cost *= haste
	}
	return cost + float64(a.Answer)*millis(t.Model.Delay(from, to))
}
