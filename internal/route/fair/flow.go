package fair

import (
	"sort"
	"time"

	"fulmarwick/internal/base/spec"
)

func (q *Queue) virtualStart(f *flow) float64 { return max(q.virtualTime, f.virtualFinish) }

// insertIndex returns where to insert a request with this latest start: after
// all requests with the same or an earlier one.
func (f *flow) insertIndex(latestStart time.Duration) int {
	return sort.Search(len(f.items), func(i int) bool { return f.items[i].LatestStart > latestStart })
}

func (q *Queue) removeAt(f *flow, i int) {
	it := f.items[i]
	f.items = append(f.items[:i], f.items[i+1:]...)
	f.queuedCost -= it.Cost
	f.queuedCharge -= it.Charge
	q.length--
	if len(f.items) > 0 {
		return
	}
	f.queuedCost, f.queuedCharge = 0, 0
	for n, o := range q.active {
		if o == f {
			q.active = append(q.active[:n], q.active[n+1:]...)
			return
		}
	}
}

func (q *Queue) flowOf(team spec.TeamID) *flow {
	if f := q.flows[team]; f != nil {
		return f
	}
	if q.flows == nil {
		q.flows = map[spec.TeamID]*flow{}
	}
	f := &flow{team: team}
	q.flows[team] = f
	return f
}

// dropIdleTeams drops idle teams. Their virtual finish is not after the virtual
// time and has no effect any more. Small teams therefore use no memory between
// requests.
func (q *Queue) dropIdleTeams() {
	if len(q.flows) < max(minCleanupTeams, 2*q.teamsAfterCleanup) {
		return
	}
	for team, f := range q.flows {
		if f.virtualFinish <= q.virtualTime && len(f.items) == 0 {
			delete(q.flows, team)
		}
	}
	q.teamsAfterCleanup = len(q.flows)
}

// TeamCount returns the number of tracked teams.
func (q *Queue) TeamCount() int { return len(q.flows) }
