package path

import (
	"math"
	"time"

	"fulmarwick/internal/base/spec"
)

const (
	// maxLinkQueue is the longest queue on the link between data centres behind which
	// a new request may use the link. Each event of each stream on the link waits for
	// the whole queue. Beyond the pause that callers accept, one more prompt would
	// make all of these streams late.
	maxLinkQueue = 60 * time.Millisecond
	// maxResumedLinkQueue is maxLinkQueue for a resumed stream that has no other path.
	maxResumedLinkQueue = 400 * time.Millisecond
)

// RecordTransfer counts what a request sends between data centres when it starts on a
// chain. Transfers aren't reported between instances, so each peer is assumed to send
// as much.
func (t *Table) RecordTransfer(now time.Duration, c spec.Chain, d Demand) {
	for i := 1; i < len(c); i++ {
		if t.centreOf(c[i-1].Engine()) != t.centreOf(c[i].Engine()) {
			t.linkBusyUntil = max(t.linkBusyUntil, now) + t.Model.TransferTime(d.Prompt+d.Answer)*time.Duration(t.peerCount()+1)
		}
	}
}

// linkQueueDelay returns how long a transfer that starts now waits for earlier ones.
func (t *Table) linkQueueDelay(now time.Duration) time.Duration { return max(0, t.linkBusyUntil-now) }

// hopCost returns the cost in milliseconds of sending activations from one data centre
// to another. It is infinite if the link is too busy.
func (t *Table) hopCost(q Query, from, to spec.DataCentre) float64 {
	if from == to {
		return 0
	}
	limit := maxLinkQueue
	if q.Resumed {
		limit = maxResumedLinkQueue
	}
	if t.linkQueueDelay(q.Now) > limit {
		return math.Inf(1)
	}
	cost := transferWeight * millis(t.Model.TransferTime(q.Prompt+q.Answer))
	if q.Resumed {
		cost *= resumedWeight
	}
	return cost + float64(q.Answer)*millis(t.Model.Delay(from, to))
}
