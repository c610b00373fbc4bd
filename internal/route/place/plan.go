package place

import (
	"cmp"
	"slices"

	"fulmarwick/internal/route/world"
)

// freshGain is how much better a fresh layout must be than the present one
// improved, since it costs far more loads.
const freshGain = 0.05

// pruned is the part of the rate that may go for fewer moves.
const pruned = 0.01

// job finds a layout for a problem, a bounded piece of work per step. It first
// improves the present layout, and weighs others when that does not suffice.
type job struct {
	p     *problem
	now   layout
	value value
	lack  int
	// local improves the present layout; nil if that hardly exists. tried are
	// all searches so far.
	local *search
	tried []*search
	begun bool
	done  bool
	// target is the result, with its value, missing holders and the units to
	// change, most gain first.
	target layout
	best   value
	left   int
	order  []int
	// spare are changes that may prove needless, floor the rate to keep.
	spare  []int
	floor  float64
	pruner solver
}

func newJob(p *problem, now layout) *job { return &job{p: p, now: now, pruner: solver{p: p}} }

func (j *job) run() {
	for !j.done {
		j.step()
	}
}

func (j *job) step() {
	if !j.begun {
		j.begin()
		return
	}
	if n := len(j.tried); n > 0 && !j.tried[n-1].done {
		j.tried[n-1].step()
		return
	}
	switch {
	case j.target == nil && j.another():
	case j.target == nil:
		j.choose()
	case len(j.spare) > 0:
		j.prune()
	default:
		j.done = true
	}
}

func (j *job) begin() {
	s := solver{p: j.p}
	j.begun = true
	j.value, j.lack = s.solve(j.now), j.p.missing(j.now)
	holding := 0
	for _, spans := range j.now {
		if len(spans) > 0 {
			holding++
		}
	}
	// Improving a layout that hardly exists one unit at a time takes long and
	// saves no loads.
	if 2*holding >= len(j.now) {
		j.local = newSearch(j.p, j.p.filled(j.now))
		j.tried = append(j.tried, j.local)
	}
}

// another begins the next search if those so far leave much to be wished.
func (j *job) another() bool {
	if s := j.pick(); s != nil && s.lack == 0 && s.value.rate >= (1-freshGain)*s.limit {
		return false
	}
	n := len(j.tried)
	if j.local != nil {
		n--
	}
	var start layout
	switch {
	case n == 0:
		start = j.p.fresh(j.now, byRoom)
	case n == 1:
		start = j.p.fresh(j.now, byHeight)
	case n == 2 && j.pick().lack > 0:
		start = j.p.tiled(j.now)
	default:
		return false
	}
	j.tried = append(j.tried, newSearch(j.p, j.p.match(j.now, start)))
	return true
}

// pick is the best search: the fewest missing holders, then the rate; a later
// one must be clearly better, for it costs more loads.
func (j *job) pick() *search {
	var best *search
	for _, s := range j.tried {
		if best == nil || s.lack < best.lack ||
			s.lack == best.lack && s.value.rate > best.value.rate*(1+freshGain) {
			best = s
		}
	}
	return best
}

// choose takes the best layout and sets out to do without its changes one by
// one, those worth least first.
func (j *job) choose() {
	best := j.pick()
	if best == nil {
		j.target, j.best, j.left = j.now, j.value, j.lack
		return
	}
	j.target, j.best, j.left = best.now.clone(), best.value, best.lack
	j.order = j.changes(best)
	j.spare = slices.Clone(j.order)
	j.floor = max(j.value.rate, (1-pruned)*best.value.rate)
}

// prune takes back a change that the rate can do without.
func (j *job) prune() {
	u := j.spare[len(j.spare)-1]
	j.spare = j.spare[:len(j.spare)-1]
	if len(j.now[u]) == 0 {
		return
	}
	want := j.target[u]
	j.target[u] = j.now[u]
	v := j.pruner.solve(j.target)
	if v.rate < j.floor || j.p.missing(j.target) > j.left {
		j.target[u] = want
		return
	}
	j.best = v
	j.order = slices.DeleteFunc(j.order, func(o int) bool { return o == u })
}

// changes are the units whose spans differ: for an improved layout in the
// order of its steps, else those that give layers without holders first and
// then the most speed for the fewest loads.
func (j *job) changes(s *search) []int {
	var out []int
	add := func(u int) {
		if !slices.Equal(j.now[u], j.target[u]) && !slices.Contains(out, u) {
			out = append(out, u)
		}
	}
	if s == j.local {
		for u := range j.p.units {
			if len(j.now[u]) == 0 {
				add(u)
			}
		}
		for _, u := range s.order {
			add(u)
		}
		return out
	}
	for u := range j.p.units {
		add(u)
	}
	counts := j.p.counts(j.now)
	worth := func(u int) float64 {
		gives := 0
		each(j.target[u], j.now[u], func(m, at int) {
			if counts[m][at] == 0 {
				gives++
			}
		})
		return float64(gives)*1e9 + j.p.units[u].rate/float64(4+loads(j.now[u], j.target[u]))
	}
	slices.SortStableFunc(out, func(a, b int) int { return cmp.Compare(worth(b), worth(a)) })
	return out
}

// Result is a placement with what it is worth.
type Result struct {
	// Holds are by engine, in the order given.
	Holds [][]world.Hold
	// Rate is the multiple of the demands that it serves, Bound one that no
	// placement passes.
	Rate  float64
	Bound float64
	// Loads is how many layers change hands, Moves on how many engines.
	Loads int
	Moves int
	// Shares are what each engine runs at that rate.
	Shares []Share
}

// Plan finds a placement for the engines in one go. It is what a Planner
// finds over many ticks; benches and tools call it.
func Plan(goal Goal, engines []*world.Engine, models []Model) Result {
	p := newProblem(goal, engines, models)
	j := newJob(p, p.current(engines))
	j.run()
	out := p.result(j.target, j.best)
	for u := range j.p.units {
		if n := loads(j.now[u], j.target[u]); n > 0 {
			out.Loads += n
			out.Moves++
		}
	}
	return out
}

// Value is what the present placement of the engines is worth.
func Value(engines []*world.Engine, models []Model) Result {
	p := newProblem(Throughput, engines, models)
	now := p.current(engines)
	s := solver{p: p}
	return p.result(now, s.solve(now))
}

func (p *problem) result(l layout, v value) Result {
	out := Result{Rate: v.rate, Bound: p.bound(), Shares: p.shares(v)}
	for _, spans := range l {
		out.Holds = append(out.Holds, p.holds(spans))
	}
	return out
}
