// Package fair orders the requests that wait for engines so that the burst of
// one team delays no other, and follows how much each team uses.
//
// It imports base/spec and route/domain. Package core keeps one Queue per model
// and one Rates.
package fair

import (
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
)

const (
	// MaxQueued bounds the requests that wait, and with them the memory.
	MaxQueued = 2048
	// minCleanupTeams is how many teams are kept before idle ones are dropped.
	minCleanupTeams = 64
	// quantumTokens is how far, in tokens, a team may be ahead of the virtual time
	// and still compete by deadline: about one usual request.
	quantumTokens = 32
)

// Item is a request that waits.
type Item struct {
	Request *domain.Request
	// Cost is in tokens through the whole model; Charge is what the team is
	// charged for it.
	Cost   float64
	Charge float64
	// TokenRate is the tokens a second that it makes once it runs.
	TokenRate float64
	// LatestStart is when the request must start to meet its target.
	LatestStart time.Duration
	seq         uint64
}

// Queue is start-time fair queueing over cost in tokens, with deadlines among
// equals. Each team has a virtual start, the later of the queue's virtual time
// and the end of what it was charged for. A team that asks for less than its
// share starts at the virtual time, a team with a backlog after it. Of the
// teams within a quantum of the virtual time the one with the earliest latest
// start goes first, and so does, within a team, the request.
type Queue struct {
	virtualTime       float64
	flows             map[spec.TeamID]*flow
	active            []*flow
	length            int
	teamsAfterCleanup int
	lastSeq           uint64
}

// flow is a team's part of the queue.
type flow struct {
	team          spec.TeamID
	virtualFinish float64
	items         []*Item
	queuedCost    float64
	queuedCharge  float64
}

// Len is how many requests wait.
func (q *Queue) Len() int { return q.length }

// ChargeTeam charges a team for a request that starts.
func (q *Queue) ChargeTeam(team spec.TeamID, charge float64) {
	f := q.flowOf(team)
	start := q.virtualStart(f)
	f.virtualFinish = start + charge
	q.virtualTime = max(q.virtualTime, start)
	q.dropIdleTeams()
}

// Advance moves the virtual time on by what tokens of service give each team.
// Without it the virtual time would stand still while each request is of
// another team, and no team would ever count as idle. A team that waits is
// never overtaken.
func (q *Queue) Advance(tokens float64) {
	if len(q.flows) == 0 {
		return
	}
	next := q.virtualTime + tokens/float64(len(q.flows))
	for _, f := range q.active {
		next = min(next, max(f.virtualFinish, q.virtualTime))
	}
	q.virtualTime = next
}

// AheadOfShare is how far a team is ahead of its share: what it was charged beyond the
// virtual time, and its backlog.
func (q *Queue) AheadOfShare(team spec.TeamID) float64 {
	f := q.flows[team]
	if f == nil {
		return 0
	}
	return max(0, f.virtualFinish-q.virtualTime) + f.queuedCharge
}

// Push lets a request wait.
func (q *Queue) Push(it *Item) {
	f := q.flowOf(it.Request.Arrival().Team)
	q.lastSeq++
	it.seq = q.lastSeq
	if len(f.items) == 0 {
		q.active = append(q.active, f)
	}
	at := f.insertIndex(it.LatestStart)
	f.items = append(f.items, nil)
	copy(f.items[at+1:], f.items[at:])
	f.items[at] = it
	f.queuedCost += it.Cost
	f.queuedCharge += it.Charge
	q.length++
}

// Head returns the request to start next, or nil.
func (q *Queue) Head() *Item {
	f := q.nextFlow()
	if f == nil {
		return nil
	}
	return f.items[0]
}

// Remove removes a request that waits; if it starts, Began follows.
func (q *Queue) Remove(it *Item) {
	f := q.flows[it.Request.Arrival().Team]
	for i, o := range f.items {
		if o == it {
			q.removeAt(f, i)
			return
		}
	}
}

// nextFlow is the team to serve, after requests that ended were dropped.
func (q *Queue) nextFlow() *flow {
	for i := 0; i < len(q.active); {
		f := q.active[i]
		if f.items[0].Request.Ended() {
			q.removeAt(f, 0)
			continue
		}
		i++
	}
	var best *flow
	for _, f := range q.active {
		if best == nil || q.flowBefore(f, best) {
			best = f
		}
	}
	return best
}

func (q *Queue) flowBefore(a, b *flow) bool {
	x, y := q.virtualStart(a), q.virtualStart(b)
	near := q.virtualTime + quantumTokens
	if x <= near && y <= near {
		return a.items[0].before(b.items[0])
	}
	if x != y {
		return x < y
	}
	return a.items[0].before(b.items[0])
}

func (it *Item) before(o *Item) bool {
	if it.LatestStart != o.LatestStart {
		return it.LatestStart < o.LatestStart
	}
	return it.seq < o.seq
}

// CostAhead is the cost in tokens that goes before a request of team that must
// start by latest: what its team has with an earlier start, and what the
// others may have until their virtual start passes that of the request.
func (q *Queue) CostAhead(team spec.TeamID, latest time.Duration) float64 {
	return q.costAhead(q.flows[team], latest)
}

// CostAheadOfNewTeam is Ahead for a team that has used nothing.
func (q *Queue) CostAheadOfNewTeam(latest time.Duration) float64 { return q.costAhead(nil, latest) }

func (q *Queue) costAhead(f *flow, latest time.Duration) float64 {
	sum, start := 0.0, q.virtualTime
	if f != nil {
		start = q.virtualStart(f)
		for _, it := range f.items[:f.insertIndex(latest)] {
			sum += it.Cost
			start += it.Charge
		}
	}
	near := q.virtualTime + quantumTokens
	for _, o := range q.active {
		if o == f {
			continue
		}
		until := start - q.virtualStart(o)
		if start <= near && o.items[0].LatestStart > latest {
			until = 0
		}
		if until > 0 {
			sum += min(o.queuedCost, until*o.queuedCost/o.queuedCharge)
		}
	}
	return sum
}

// RemoveUnmeetable takes out the requests that will not start in time if rate tokens a
// second drain the queue.
func (q *Queue) RemoveUnmeetable(now time.Duration, rate float64) []*Item {
	var out []*Item
	for _, f := range append([]*flow(nil), q.active...) {
		for _, it := range append([]*Item(nil), f.items...) {
			wait := time.Duration(q.costAhead(f, it.LatestStart-1) / rate * float64(time.Second))
			if !it.Request.Ended() && now+wait <= it.LatestStart {
				continue
			}
			q.Remove(it)
			if !it.Request.Ended() {
				out = append(out, it)
			}
		}
	}
	return out
}
