// Package fair orders the requests that wait for engines so that the burst of
// one team delays no other, and follows how much each team uses.
//
// It imports base/spec and route/world. Package core keeps one Queue per model
// and one Rates.
package fair

import (
	"container/heap"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/world"
)

// Horizon is how long before its latest start a request becomes urgent. Until
// then it yields to urgent ones, so that work with a lax target fills the room
// that work with a tight one leaves.
const Horizon = 2 * time.Second

const (
	// Most bounds the requests that wait, and with them the memory.
	Most = 2048
	// tidyAt is how many teams are kept before idle ones are dropped.
	tidyAt = 64
)

// Item is a request that waits.
type Item struct {
	Request *world.Request
	// Cost is in tokens; Charge is what the team was charged for it, and Tag
	// the virtual time at which it starts.
	Cost   float64
	Charge float64
	Tag    float64
	// Latest is when the request must start to meet its target.
	Latest time.Duration
	seq    uint64
}

// Queue is start-time fair queueing over cost in tokens: an item's tag is the
// later of the virtual time and its team's last finish, and the lowest tag
// goes first. A team that asks for less than its share always finds its finish
// behind the virtual time and so goes ahead of a team with a backlog.
type Queue struct {
	virtual float64
	finish  map[spec.TeamID]float64
	tidy    int
	seq     uint64
	urgent  order
	lax     latest
}

// Len is how many requests wait.
func (q *Queue) Len() int { return len(q.urgent) + len(q.lax) }

// Tag charges the team for cost and returns the item's virtual start.
func (q *Queue) Tag(team spec.TeamID, cost float64) float64 {
	if q.finish == nil {
		q.finish = map[spec.TeamID]float64{}
	}
	start := max(q.virtual, q.finish[team])
	q.finish[team] = start + cost
	q.drop()
	return start
}

// Refund takes back the charge of a request that never ran.
func (q *Queue) Refund(team spec.TeamID, cost float64) {
	if f, ok := q.finish[team]; ok {
		q.finish[team] = f - cost
	}
}

// Start is the tag that the team's next request would get.
func (q *Queue) Start(team spec.TeamID) float64 { return max(q.virtual, q.finish[team]) }

// Lead is how far the team is ahead of the virtual time: its own backlog.
func (q *Queue) Lead(team spec.TeamID) float64 { return q.Start(team) - q.virtual }

// Virtual is the virtual time.
func (q *Queue) Virtual() float64 { return q.virtual }

// Began tells that the request with this tag started.
func (q *Queue) Began(tag float64) { q.virtual = max(q.virtual, tag) }

// drop forgets teams that are idle: their finish lies behind the virtual time
// and is worth nothing. Small teams so cost no memory between requests.
func (q *Queue) drop() {
	if len(q.finish) < max(tidyAt, 2*q.tidy) {
		return
	}
	for team, f := range q.finish {
		if f <= q.virtual {
			delete(q.finish, team)
		}
	}
	q.tidy = len(q.finish)
}

// Push lets a request wait.
func (q *Queue) Push(now time.Duration, it *Item) {
	q.seq++
	it.seq = q.seq
	if it.Latest-now <= Horizon {
		heap.Push(&q.urgent, it)
		return
	}
	heap.Push(&q.lax, it)
}

// Head returns the request to start next, or nil. Requests that ended while
// they waited are passed over.
func (q *Queue) Head(now time.Duration) *Item {
	for len(q.lax) > 0 && (q.lax[0].Request.Gone() || q.lax[0].Latest-now <= Horizon) {
		it := heap.Pop(&q.lax).(*Item)
		if !it.Request.Gone() {
			heap.Push(&q.urgent, it)
		}
	}
	for len(q.urgent) > 0 && q.urgent[0].Request.Gone() {
		heap.Pop(&q.urgent)
	}
	if len(q.urgent) > 0 {
		return q.urgent[0]
	}
	if len(q.lax) > 0 {
		return q.lax[0]
	}
	return nil
}

// Pop removes what Head returned.
func (q *Queue) Pop() {
	if len(q.urgent) > 0 {
		heap.Pop(&q.urgent)
		return
	}
	heap.Pop(&q.lax)
}

// Ahead is the cost in tokens that goes before an item with this tag and
// latest start.
func (q *Queue) Ahead(now time.Duration, tag float64, last time.Duration) float64 {
	sum := 0.0
	lax := last-now > Horizon
	for _, it := range q.urgent {
		if !it.Request.Gone() && (lax || it.Tag <= tag) {
			sum += it.Cost
		}
	}
	if !lax {
		return sum
	}
	for _, it := range q.lax {
		if !it.Request.Gone() && it.Latest <= last {
			sum += it.Cost
		}
	}
	return sum
}

// Hopeless takes out, in order, the requests that will not start in time if
// rate tokens a second drain the queue.
func (q *Queue) Hopeless(now time.Duration, rate float64) []*Item {
	var out []*Item
	kept := make(order, 0, len(q.urgent))
	ahead := 0.0
	for len(q.urgent) > 0 {
		it := heap.Pop(&q.urgent).(*Item)
		if it.Request.Gone() {
			continue
		}
		if now+seconds(ahead/rate) > it.Latest {
			out = append(out, it)
			continue
		}
		ahead += it.Cost
		kept = append(kept, it)
	}
	// Popped in order, kept is a heap already.
	q.urgent = kept
	return out
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, 3600) * float64(time.Second))
}
