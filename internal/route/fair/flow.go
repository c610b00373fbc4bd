package fair

import (
	"sort"
	"time"

	"fulmarwick/internal/base/spec"
)

func (q *Queue) start(f *flow) float64 { return max(q.virtual, f.finish) }

// place is where a request with this latest start goes: after those that must
// start no later.
func (f *flow) place(latest time.Duration) int {
	return sort.Search(len(f.items), func(i int) bool { return f.items[i].Latest > latest })
}

func (q *Queue) cut(f *flow, i int) {
	it := f.items[i]
	f.items = append(f.items[:i], f.items[i+1:]...)
	f.cost -= it.Cost
	f.charge -= it.Charge
	q.length--
	if len(f.items) > 0 {
		return
	}
	f.cost, f.charge = 0, 0
	for n, o := range q.active {
		if o == f {
			q.active = append(q.active[:n], q.active[n+1:]...)
			return
		}
	}
}

func (q *Queue) flow(team spec.TeamID) *flow {
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

// drop forgets teams that are idle: their finish lies behind the virtual time
// and is worth nothing. Small teams so cost no memory between requests.
func (q *Queue) drop() {
	if len(q.flows) < max(tidyAt, 2*q.tidy) {
		return
	}
	for team, f := range q.flows {
		if f.finish <= q.virtual && len(f.items) == 0 {
			delete(q.flows, team)
		}
	}
	q.tidy = len(q.flows)
}

// Teams is how many teams are remembered.
func (q *Queue) Teams() int { return len(q.flows) }
