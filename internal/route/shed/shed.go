// Package shed decides which of the less urgent requests are admitted while more urgent ones miss
// their targets.
//
// It imports the errors library. Package app/edge keeps one Gate per model service, reports how soon
// answers began and asks it before a request looks for engines. It does no I/O and reads no clock.
//
// The load that it answers: many requests of a less urgent rank come at once, and their answers take
// seconds. The engines then work for them when the more urgent ones follow, which wait behind
// answers that can't be cut. The order of a queue decides only about the room that becomes free. A
// Gate closes to the least urgent rank as soon as more urgent requests are late, then to the next
// one, and opens again as the lateness passes. A fixed share for each rank would leave engines idle
// whenever the other ranks ask for less.
package shed

import (
	"cmp"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

// ErrLessUrgent means that a request is refused in favour of more urgent ones.
var ErrLessUrgent = errors.New("shed: more urgent requests are late")

const (
	// windowBuckets is the number of buckets of bucketTime in which requests count: an instance of
	// many sees a few a second.
	windowBuckets = 8
	bucketTime    = 250 * time.Millisecond
	// minSamples is how many more urgent requests must have begun in the window to judge them.
	minSamples = 4
	// maxLateShare is the share of late ones among more urgent requests above which a gate closes. Up
	// to a quarter are late for a second after the death of an engine, which no refusal of others mends.
	maxLateShare = 0.35
	// openLateShare is the share below which it opens: the gap keeps it from swinging with single
	// requests.
	openLateShare = 0.15
	// lateFraction is the fraction of its target after which a request whose answer has not begun
	// counts as late: the gate has to close before callers are served late.
	lateFraction = 0.5
	// closeStep and openStep are by how much of a rank a gate closes and opens in a bucket. It closes
	// within a second, as answers of a flood take several, and opens more slowly than answers end.
	closeStep = 0.34
	openStep  = 0.16
	// minShare is the share of a rank that is always admitted: callers of no rank may be served less than
	// a quarter as often as all.
	minShare = 0.25
	// minRetryAfter and maxRetryAfter limit the time after which callers return: a rank is open again
	// after about three seconds at the earliest.
	minRetryAfter = 3 * time.Second
	maxRetryAfter = 6 * time.Second
	// retrySpread is the step of the sequence that spreads the returns evenly: the golden ratio.
	retrySpread = 0.6180339887498949
)

// counts are the requests of one rank that began, or became late, in a bucket.
type counts struct{ total, late int }

// Pending is an admitted request whose answer has not begun.
type Pending struct {
	rank   int
	lateAt time.Duration
	// counted means that the request is counted, or does not count any more.
	counted bool
}

// Gate admits requests by rank; 0 is the most urgent. The zero value admits all. It is not safe for
// concurrent use.
type Gate struct {
	// ranks are the ranks that requests may have, the most urgent one first.
	ranks   []int
	buckets [windowBuckets]map[int]counts
	// current is the number of the newest bucket.
	current int64
	// pending are the requests whose answers have not begun, by the time at which they are late.
	pending []*Pending
	// closed is how many ranks the gate is closed to, from the least urgent one; the last one in
	// part.
	closed float64
	// credit is the part of an admission that requests of a rank have gathered.
	credit map[int]float64
	spread float64
	// refused counts the refused requests.
	refused int
}

// SetRanks sets the ranks of the service's requests. With fewer than two the gate admits all. The requests
// that were admitted by other ranks do not count any more.
func (g *Gate) SetRanks(ranks []int) {
	sorted := slices.Compact(slices.Sorted(slices.Values(ranks)))
	if !slices.Equal(sorted, g.ranks) {
		for _, p := range g.pending {
			p.counted = true
		}
		*g = Gate{ranks: sorted, credit: map[int]float64{}, refused: g.refused}
	}
}

// IsActive reports whether requests differ in rank.
func (g *Gate) IsActive() bool { return len(g.ranks) > 1 }

// Closed returns how many ranks the gate is closed to, as a fraction for one in part.
func (g *Gate) Closed(now time.Duration) float64 {
	if g.IsActive() {
		g.advance(now)
	}
	return g.closed
}

// Refused returns how many requests were refused.
func (g *Gate) Refused() int { return g.refused }

// Await counts a request as late once its answer has not begun in time. start is when the caller sent
// it; a target of zero is always met. It returns nil if the gate admits all.
func (g *Gate) Await(start time.Duration, rank int, target time.Duration) *Pending {
	if !g.IsActive() || target <= 0 {
		return nil
	}
	p := &Pending{rank: rank, lateAt: start + time.Duration(lateFraction*float64(target))}
	at, _ := slices.BinarySearchFunc(g.pending, p, func(a, b *Pending) int { return cmp.Compare(a.lateAt, b.lateAt) })
	g.pending = slices.Insert(g.pending, at, p)
	return p
}

// RecordBegin counts a request whose answer begins, if it is not counted as late yet.
func (g *Gate) RecordBegin(now time.Duration, p *Pending) {
	if p == nil || p.counted {
		return
	}
	g.advance(now)
	if !p.counted {
		p.counted = true
		g.count(p.rank, false)
	}
}

// RecordRefusal counts a request that was refused for want of room.
func (g *Gate) RecordRefusal(now time.Duration, rank int) {
	if g.IsActive() {
		g.advance(now)
		g.count(rank, true)
	}
}

// count counts a request in the newest bucket.
func (g *Gate) count(rank int, late bool) {
	bucket := g.buckets[g.current%windowBuckets]
	c := bucket[rank]
	c.total++
	if late {
		c.late++
	}
	bucket[rank] = c
}

// countLate counts the pending requests that are late by now.
func (g *Gate) countLate(now time.Duration) {
	n := 0
	for n < len(g.pending) && (g.pending[n].lateAt <= now || g.pending[n].counted) {
		if p := g.pending[n]; !p.counted {
			p.counted = true
			g.count(p.rank, true)
		}
		n++
	}
	g.pending = slices.Delete(g.pending, 0, n)
}

// advance begins the buckets up to now, and closes or opens the gate at each.
func (g *Gate) advance(now time.Duration) {
	newest := int64(now / bucketTime)
	if skipped := newest - g.current - windowBuckets; skipped > 0 {
		g.closed = max(0, g.closed-openStep*float64(skipped+windowBuckets))
		g.current = newest
		clear(g.buckets[:])
	}
	for g.current < newest {
		g.adjust()
		g.current++
		g.buckets[g.current%windowBuckets] = map[int]counts{}
	}
	if g.buckets[g.current%windowBuckets] == nil {
		g.buckets[g.current%windowBuckets] = map[int]counts{}
	}
	g.countLate(now)
}

// adjust closes or opens the gate by a step.
func (g *Gate) adjust() {
	// The ranks before the one that closes next are those that are late or not.
	next := max(1, len(g.ranks)-1-int(g.closed))
	switch share, known := g.lateShare(g.ranks[next]); {
	case known && share > maxLateShare:
		g.closed = min(float64(len(g.ranks)-1), g.closed+closeStep)
	case !known || share < openLateShare:
		g.closed = max(0, g.closed-openStep)
	}
}

// lateShare returns the share of late requests among those more urgent than a rank; known is false if
// too few began.
func (g *Gate) lateShare(rank int) (share float64, known bool) {
	sum := counts{}
	for _, bucket := range g.buckets {
		for r, c := range bucket {
			if r < rank {
				sum.total += c.total
				sum.late += c.late
			}
		}
	}
	if sum.total < minSamples {
		return 0, false
	}
	return float64(sum.late) / float64(sum.total), true
}

// Share returns the share of the requests of a rank that are admitted at present.
func (g *Gate) Share(rank int) float64 {
	index := slices.Index(g.ranks, rank)
	if index <= 0 {
		// The most urgent rank, or one that no route has.
		return 1
	}
	closed := g.closed - float64(len(g.ranks)-1-index)
	return 1 - (1-minShare)*min(1, max(0, closed))
}

// Admit reports whether a request of a rank may look for engines.
func (g *Gate) Admit(now time.Duration, rank int) bool {
	if !g.IsActive() {
		return true
	}
	g.advance(now)
	share := g.Share(rank)
	if share == 1 {
		return true
	}
	if g.credit[rank] += share; g.credit[rank] >= 1 {
		g.credit[rank]--
		return true
	}
	g.refused++
	return false
}

// RetryAfter returns when the caller of a refused request should return: after the gate has opened to
// its rank if nothing more is late, each at a time of its own.
func (g *Gate) RetryAfter() time.Duration {
	if g.spread += retrySpread; g.spread >= 1 {
		g.spread--
	}
	return minRetryAfter + time.Duration(g.spread*float64(maxRetryAfter-minRetryAfter))
}
