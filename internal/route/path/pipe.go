package path

import (
	"math"
	"time"

	"fulmarwick/internal/base/spec"
)

const (
	// maxLinkQueue is the longest queue on the way between data centres behind
	// which a new request may cross, hastePipe the same for an answer that was
	// broken off and has no other way. Each event of each stream that crosses
	// waits for the whole queue: beyond the pause that callers take, one more
	// prompt makes all of them late.
	maxLinkQueue        = 60 * time.Millisecond
	maxResumedLinkQueue = 400 * time.Millisecond
)

// RecordTransfer counts what a request sends between data centres when it begins on a
// chain. The other instances, which are told of no transfer, are taken to send
// as much.
func (t *Table) RecordTransfer(now time.Duration, c spec.Chain, n Demand) {
	for i := 1; i < len(c); i++ {
		if t.centreOf(c[i-1].Engine()) != t.centreOf(c[i].Engine()) {
			t.linkBusyUntil = max(t.linkBusyUntil, now) + t.Model.TransferTime(n.Prompt+n.Answer)*time.Duration(t.peerCount()+1)
		}
	}
}

// linkQueueDelay is how long a transfer that begins now waits for those before it.
func (t *Table) linkQueueDelay(now time.Duration) time.Duration { return max(0, t.linkBusyUntil-now) }

// hopCost is the cost in milliseconds of passing activations from one data centre
// to another.
func (t *Table) hopCost(a Query, from, to spec.DataCentre) float64 {
	if from == to {
		return 0
	}
	most := maxLinkQueue
	if a.Resumed {
		most = maxResumedLinkQueue
	}
	if t.linkQueueDelay(a.Now) > most {
		return math.Inf(1)
	}
	cost := transferWeight * millis(t.Model.TransferTime(a.Prompt+a.Answer))
	if a.Resumed {
		cost *= resumedWeight
	}
	return cost + float64(a.Answer)*millis(t.Model.Delay(from, to))
}
