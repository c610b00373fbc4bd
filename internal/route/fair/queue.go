// Package fair orders the requests that wait for engines so that a burst of one
// team doesn't delay other teams, and tracks how much each team uses.
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
	// MaxQueued limits the number of waiting requests and thereby the memory of
	// the queue.
	MaxQueued = 2048
	// minCleanupTeams is how many teams are tracked before idle ones are
	// dropped.
	minCleanupTeams = 64
	// quantumTokens is by how many tokens the virtual start of a team may be
	// ahead of the virtual time while the team still competes by deadline. It
	// is about one typical request.
	quantumTokens = 32
)

// Item is a waiting request.
type Item struct {
	Request *domain.Request
	// Cost is the work of the request, in tokens through the whole model.
	Cost float64
	// Charge is how many tokens the team is charged for the request.
	Charge float64
	// TokenRate is how many tokens a second the request generates once it runs.
	TokenRate float64
	// LatestStart is the latest time at which the request can start and still
	// meet its target.
	LatestStart time.Duration
	seq         uint64
}

// Queue implements start-time fair queueing over costs in tokens, combined with
// deadlines. The virtual start of a team is the later of the queue's virtual
// time and the virtual finish of the requests that it was charged for. The
// virtual start of a team that uses less than its share is the virtual time.
// That of a team with a backlog is later.
//
// Among the teams whose virtual start is within a quantum of the virtual time,
// the team with the earliest latest start is served first. Within a team, the
// request with the earliest latest start is served first.
type Queue struct {
	virtualTime       float64
	flows             map[spec.TeamID]*flow
	active            []*flow
	length            int
	teamsAfterCleanup int
	lastSeq           uint64
}

// flow is the part of the queue that belongs to one team.
type flow struct {
	team          spec.TeamID
	virtualFinish float64
	items         []*Item
	queuedCost    float64
	queuedCharge  float64
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.length }

// ChargeTeam charges a team for a request that starts.
func (q *Queue) ChargeTeam(team spec.TeamID, charge float64) {
	f := q.flowOf(team)
	start := q.virtualStart(f)
	f.virtualFinish = start + charge
	q.virtualTime = max(q.virtualTime, start)
	q.dropIdleTeams()
}

// Advance moves the virtual time forward by the share of each team in the given
// tokens of service. Without it, the virtual time would not move while each
// request is from a different team, and no team would ever count as idle. The
// virtual time never passes the virtual start of a team with waiting requests.
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

// AheadOfShare returns how far a team is ahead of its share: its charges beyond
// the virtual time plus the charges of its waiting requests.
func (q *Queue) AheadOfShare(team spec.TeamID) float64 {
	f := q.flows[team]
	if f == nil {
		return 0
	}
	return max(0, f.virtualFinish-q.virtualTime) + f.queuedCharge
}

// Push adds a request to the queue.
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

// Head returns the request to start next, or nil if none waits.
func (q *Queue) Head() *Item {
	f := q.nextFlow()
	if f == nil {
		return nil
	}
	return f.items[0]
}

// Remove removes a waiting request. If the request starts, the caller must call
// ChargeTeam as well.
func (q *Queue) Remove(it *Item) {
	f := q.flows[it.Request.Arrival().Team]
	for i, o := range f.items {
		if o == it {
			q.removeAt(f, i)
			return
		}
	}
}

// nextFlow returns the team to serve next. It first drops requests that have
// ended from the head of each team.
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
	quantumEnd := q.virtualTime + quantumTokens
	if x <= quantumEnd && y <= quantumEnd {
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

// CostAhead returns the cost, in tokens, that is served before a request of the
// team with the given latest start. This is the cost of the team's own requests
// with an earlier start, and the cost that other teams may be served before
// their virtual start passes that of the request.
func (q *Queue) CostAhead(team spec.TeamID, latest time.Duration) float64 {
	return q.costAhead(q.flows[team], latest)
}

// CostAheadOfNewTeam is like CostAhead for a team that has used nothing.
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
	quantumEnd := q.virtualTime + quantumTokens
	for _, o := range q.active {
		if o == f {
			continue
		}
		lead := start - q.virtualStart(o)
		if start <= quantumEnd && o.items[0].LatestStart > latest {
			lead = 0
		}
		if lead > 0 {
			sum += min(o.queuedCost, lead*o.queuedCost/o.queuedCharge)
		}
	}
	return sum
}

// RemoveUnmeetable removes and returns the requests that can't start in time if
// the queue is served at rate tokens a second. It also removes requests that
// have ended, but doesn't return them.
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
