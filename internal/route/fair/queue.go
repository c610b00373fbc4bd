// Package fair orders the requests that wait for engines so that the burst of
// one team delays no other, and follows how much each team uses.
//
// It imports base/spec and route/world. Package core keeps one Queue per model
// and one Rates.
package fair

import (
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/world"
)

const (
	// Most bounds the requests that wait, and with them the memory.
	Most = 2048
	// tidyAt is how many teams are kept before idle ones are dropped.
	tidyAt = 64
	// quantum is how far, in tokens, a team may be ahead of the virtual time
	// and still compete by deadline: about one usual request.
	quantum = 32
)

// Item is a request that waits.
type Item struct {
	Request *world.Request
	// Cost is in tokens through the whole model; Charge is what the team is
	// charged for it.
	Cost   float64
	Charge float64
	// Rate is the tokens a second that it makes once it runs.
	Rate float64
	// Latest is when the request must start to meet its target.
	Latest time.Duration
	seq    uint64
}

// Queue is start-time fair queueing over cost in tokens, with deadlines among
// equals. Each team has a virtual start, the later of the queue's virtual time
// and the end of what it was charged for. A team that asks for less than its
// share starts at the virtual time, a team with a backlog after it. Of the
// teams within a quantum of the virtual time the one with the earliest latest
// start goes first, and so does, within a team, the request.
type Queue struct {
	virtual float64
	flows   map[spec.TeamID]*flow
	active  []*flow
	length  int
	tidy    int
	seq     uint64
}

// flow is a team's part of the queue.
type flow struct {
	team   spec.TeamID
	finish float64
	items  []*Item
	cost   float64
	charge float64
}

// Len is how many requests wait.
func (q *Queue) Len() int { return q.length }

// Began charges a team for a request that starts.
func (q *Queue) Began(team spec.TeamID, charge float64) {
	f := q.flow(team)
	start := q.start(f)
	f.finish = start + charge
	q.virtual = max(q.virtual, start)
	q.drop()
}

// Advance moves the virtual time on by what tokens of service give each team.
// Without it the virtual time would stand still while each request is of
// another team, and no team would ever count as idle. A team that waits is
// never overtaken.
func (q *Queue) Advance(tokens float64) {
	if len(q.flows) == 0 {
		return
	}
	next := q.virtual + tokens/float64(len(q.flows))
	for _, f := range q.active {
		next = min(next, max(f.finish, q.virtual))
	}
	q.virtual = next
}

// Lead is how far a team is ahead of its share: what it was charged beyond the
// virtual time, and its backlog.
func (q *Queue) Lead(team spec.TeamID) float64 {
	f := q.flows[team]
	if f == nil {
		return 0
	}
	return max(0, f.finish-q.virtual) + f.charge
}

// Push lets a request wait.
func (q *Queue) Push(it *Item) {
	f := q.flow(it.Request.Arrived().Team)
	q.seq++
	it.seq = q.seq
	if len(f.items) == 0 {
		q.active = append(q.active, f)
	}
	at := f.place(it.Latest)
	f.items = append(f.items, nil)
	copy(f.items[at+1:], f.items[at:])
	f.items[at] = it
	f.cost += it.Cost
	f.charge += it.Charge
	q.length++
}

// Head returns the request to start next, or nil.
func (q *Queue) Head() *Item {
	f := q.next()
	if f == nil {
		return nil
	}
	return f.items[0]
}

// Take removes a request that waits; if it starts, Began follows.
func (q *Queue) Take(it *Item) {
	f := q.flows[it.Request.Arrived().Team]
	for i, o := range f.items {
		if o == it {
			q.cut(f, i)
			return
		}
	}
}

// next is the team to serve, after requests that ended were dropped.
func (q *Queue) next() *flow {
	for i := 0; i < len(q.active); {
		f := q.active[i]
		if f.items[0].Request.Gone() {
			q.cut(f, 0)
			continue
		}
		i++
	}
	var best *flow
	for _, f := range q.active {
		if best == nil || q.before(f, best) {
			best = f
		}
	}
	return best
}

func (q *Queue) before(a, b *flow) bool {
	x, y := q.start(a), q.start(b)
	near := q.virtual + quantum
	if x <= near && y <= near {
		return a.items[0].before(b.items[0])
	}
	if x != y {
		return x < y
	}
	return a.items[0].before(b.items[0])
}

func (it *Item) before(o *Item) bool {
	if it.Latest != o.Latest {
		return it.Latest < o.Latest
	}
	return it.seq < o.seq
}

// Ahead is the cost in tokens that goes before a request of team that must
// start by latest: what its team has with an earlier start, and what the
// others may have until their virtual start passes that of the request.
func (q *Queue) Ahead(team spec.TeamID, latest time.Duration) float64 {
	return q.ahead(q.flows[team], latest)
}

// AheadOfNew is Ahead for a team that has used nothing.
func (q *Queue) AheadOfNew(latest time.Duration) float64 { return q.ahead(nil, latest) }

func (q *Queue) ahead(f *flow, latest time.Duration) float64 {
	sum, start := 0.0, q.virtual
	if f != nil {
		start = q.start(f)
		for _, it := range f.items[:f.place(latest)] {
			sum += it.Cost
			start += it.Charge
		}
	}
	near := q.virtual + quantum
	for _, o := range q.active {
		if o == f {
			continue
		}
		until := start - q.start(o)
		if start <= near && o.items[0].Latest > latest {
			until = 0
		}
		if until > 0 {
			sum += min(o.cost, until*o.cost/o.charge)
		}
	}
	return sum
}

// Hopeless takes out the requests that will not start in time if rate tokens a
// second drain the queue.
func (q *Queue) Hopeless(now time.Duration, rate float64) []*Item {
	var out []*Item
	for _, f := range append([]*flow(nil), q.active...) {
		for _, it := range append([]*Item(nil), f.items...) {
			wait := time.Duration(q.ahead(f, it.Latest-1) / rate * float64(time.Second))
			if !it.Request.Gone() && now+wait <= it.Latest {
				continue
			}
			q.Take(it)
			if !it.Request.Gone() {
				out = append(out, it)
			}
		}
	}
	return out
}
