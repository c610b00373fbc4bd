package place

import (
	"cmp"
	"slices"

	"fulmarwick/internal/route/world"
)

// freshGain is how much better a fresh layout must be than the present one
// improved, since it costs far more loads.
const freshGain = 0.05

// job finds a layout for a problem, a bounded piece of work per step.
type job struct {
	p     *problem
	now   layout
	value value
	lack  int
	local *search
	fresh *search
	tiled *search
	done  bool
	// target is the result, with its value, missing holders and the units to
	// change, most gain first.
	target layout
	best   value
	left   int
	order  []int
}

func newJob(p *problem, now layout) *job { return &job{p: p, now: now} }

func (j *job) run() {
	for !j.done {
		j.step()
	}
}

func (j *job) step() {
	switch {
	case j.target == nil:
		j.begin()
	case j.local != nil && !j.local.done:
		j.local.step()
	case j.fresh == nil && j.wanting():
		j.fresh = newSearch(j.p, j.p.match(j.now, j.p.fresh(j.now)))
	case j.fresh != nil && !j.fresh.done:
		j.fresh.step()
	case j.tiled == nil && j.fresh != nil && j.fresh.lack > 0 && j.wanting():
		j.tiled = newSearch(j.p, j.p.match(j.now, j.p.tiled(j.now)))
	case j.tiled != nil && !j.tiled.done:
		j.tiled.step()
	default:
		j.finish()
	}
}

func (j *job) begin() {
	s := solver{p: j.p}
	j.value, j.lack, j.target = s.solve(j.now), j.p.missing(j.now), j.now
	holding := 0
	for _, spans := range j.now {
		if len(spans) > 0 {
			holding++
		}
	}
	// Improving a layout that hardly exists one unit at a time takes long and
	// saves no loads.
	if 2*holding >= len(j.now) {
		j.local = newSearch(j.p, j.now)
	}
}

// wanting reports whether the improved layout is far from what is possible.
func (j *job) wanting() bool {
	if j.local == nil {
		return true
	}
	return j.local.lack > 0 || j.local.value.rate < (1-freshGain)*j.local.limit
}

func (j *job) finish() {
	j.done = true
	best := j.local
	for _, s := range []*search{j.fresh, j.tiled} {
		if s != nil && (best == nil || s.lack < best.lack ||
			s.lack == best.lack && s.value.rate > best.value.rate*(1+freshGain)) {
			best = s
		}
	}
	if best == nil {
		return
	}
	j.target, j.best, j.left = best.now, best.value, best.lack
	j.order = j.changes(best)
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
