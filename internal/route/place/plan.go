package place

import (
	"cmp"
	"slices"

	"fulmarwick/internal/route/domain"
)

// minRebuildGain is by how much a layout from scratch must beat the improved
// current layout, since it needs far more loads.
const minRebuildGain = 0.05

// maxPruneLoss is the share of the rate that may be given up for fewer moves.
const maxPruneLoss = 0.01

// job finds a layout for a problem in steps of bounded work. It first improves
// the current layout. It searches from other layouts only if that doesn't
// suffice.
type job struct {
	problem        *problem
	current        layout
	currentValue   evaluation
	currentMissing int
	// localSearch improves the current layout. It is nil if most units hold
	// nothing.
	localSearch *search
	// searches are all searches so far, including localSearch.
	searches []*search
	started  bool
	done     bool
	// target is the resulting layout.
	target      layout
	targetValue evaluation
	// targetMissing is the number of missing holders of target.
	targetMissing int
	// changeOrder is the units to change, highest gain first.
	changeOrder []int
	// pruneCandidates are the changed units that have not been checked yet for
	// whether the rate needs their change.
	pruneCandidates []int
	// minRate is the least rate that pruning must keep.
	minRate float64
	pruner  solver
}

func newJob(p *problem, now layout) *job {
	return &job{problem: p, current: now, pruner: solver{problem: p}}
}

func (j *job) run() {
	for !j.done {
		j.step()
	}
}

func (j *job) step() {
	if !j.started {
		j.begin()
		return
	}
	if n := len(j.searches); n > 0 && !j.searches[n-1].done {
		j.searches[n-1].step()
		return
	}
	switch {
	case j.target == nil && j.startNextSearch():
	case j.target == nil:
		j.selectTarget()
	case len(j.pruneCandidates) > 0:
		j.prune()
	default:
		j.done = true
	}
}

func (j *job) begin() {
	s := solver{problem: j.problem}
	j.started = true
	j.currentValue, j.currentMissing = s.solve(j.current), j.problem.missingHolders(j.current)
	holding := 0
	for _, spans := range j.current {
		if len(spans) > 0 {
			holding++
		}
	}
	// Improving a mostly empty layout one unit at a time takes long and saves
	// no loads.
	if 2*holding >= len(j.current) {
		j.localSearch = newSearch(j.problem, j.problem.fillEmptyUnits(j.current))
		j.searches = append(j.searches, j.localSearch)
	}
}

// startNextSearch starts another search if the result so far is not good
// enough. It returns false if no further search is needed.
func (j *job) startNextSearch() bool {
	if s := j.bestSearch(); s != nil && s.missing == 0 && s.value.rate >= (1-minRebuildGain)*s.rateBound {
		return false
	}
	n := len(j.searches)
	if j.localSearch != nil {
		n--
	}
	var start layout
	switch {
	case n == 0:
		start = j.problem.rebuildLayout(j.current, byMemory)
	case n == 1:
		start = j.problem.rebuildLayout(j.current, byRatePerLayer)
	case n == 2 && j.bestSearch().missing > 0:
		start = j.problem.roundRobinLayout(j.current)
	default:
		return false
	}
	j.searches = append(j.searches, newSearch(j.problem, j.problem.matchUnits(j.current, start)))
	return true
}

// bestSearch returns the best search: the one with the fewest missing holders,
// then the highest rate. A later search must be better by minRebuildGain, since
// it needs more loads.
func (j *job) bestSearch() *search {
	var best *search
	for _, s := range j.searches {
		if best == nil || s.missing < best.missing ||
			s.missing == best.missing && s.value.rate > best.value.rate*(1+minRebuildGain) {
			best = s
		}
	}
	return best
}

// selectTarget takes the best layout as the target and prepares the pruning of
// its changes, the least valuable first.
func (j *job) selectTarget() {
	best := j.bestSearch()
	if best == nil {
		j.target, j.targetValue, j.targetMissing = j.current, j.currentValue, j.currentMissing
		return
	}
	j.target, j.targetValue, j.targetMissing = best.layout.clone(), best.value, best.missing
	j.changeOrder = j.orderedChanges(best)
	j.pruneCandidates = slices.Clone(j.changeOrder)
	j.minRate = max(j.currentValue.rate, (1-maxPruneLoss)*best.value.rate)
}

// prune reverts one change if the rate stays high enough without it.
func (j *job) prune() {
	u := j.pruneCandidates[len(j.pruneCandidates)-1]
	j.pruneCandidates = j.pruneCandidates[:len(j.pruneCandidates)-1]
	if len(j.current[u]) == 0 {
		return
	}
	changed := j.target[u]
	j.target[u] = j.current[u]
	v := j.pruner.solve(j.target)
	if v.rate < j.minRate || j.problem.missingHolders(j.target) > j.targetMissing {
		j.target[u] = changed
		return
	}
	j.targetValue = v
	j.changeOrder = slices.DeleteFunc(j.changeOrder, func(o int) bool { return o == u })
}

// orderedChanges returns the units whose spans differ from the current layout.
// For an improved layout they are in the order of the search steps. Otherwise
// units that give holders to uncovered layers come first, then those with the
// highest speed for each load.
func (j *job) orderedChanges(s *search) []int {
	var out []int
	add := func(u int) {
		if !slices.Equal(j.current[u], j.target[u]) && !slices.Contains(out, u) {
			out = append(out, u)
		}
	}
	if s == j.localSearch {
		for u := range j.problem.units {
			if len(j.current[u]) == 0 {
				add(u)
			}
		}
		for _, u := range s.changeOrder {
			add(u)
		}
		return out
	}
	for u := range j.problem.units {
		add(u)
	}
	counts := j.problem.holderCounts(j.current)
	priority := func(u int) float64 {
		uncovered := 0
		forEachLayerNotIn(j.target[u], j.current[u], func(m, at int) {
			if counts[m][at] == 0 {
				uncovered++
			}
		})
		return float64(uncovered)*1e9 + j.problem.units[u].rate/float64(4+layersToLoad(j.current[u], j.target[u]))
	}
	slices.SortStableFunc(out, func(a, b int) int { return cmp.Compare(priority(b), priority(a)) })
	return out
}

// Result is a placement with its evaluation.
type Result struct {
	// Placement is the ranges for each engine, in the order in which the
	// engines were given.
	Placement [][]domain.LoadedRange
	// Rate is the multiple of the demands that the placement serves.
	Rate float64
	// Bound is an upper bound on the rate of any placement.
	Bound float64
	// LoadedLayers is how many layers the engines must load.
	LoadedLayers int
	// ChangedEngines is how many engines must load layers.
	ChangedEngines int
	// Shares is how much of each segment of layers each engine runs at Rate.
	Shares []Share
}

// Plan finds a placement for the engines in one call. The result is what a
// Planner finds over many ticks. Benchmarks and tools use it.
func Plan(goal Goal, engines []*domain.Engine, models []Model) Result {
	p := newProblem(goal, engines, models)
	j := newJob(p, p.currentLayout(engines))
	j.run()
	out := p.result(j.target, j.targetValue)
	for u := range j.problem.units {
		if n := layersToLoad(j.current[u], j.target[u]); n > 0 {
			out.LoadedLayers += n
			out.ChangedEngines++
		}
	}
	return out
}

// Evaluate returns the evaluation of the current placement of the engines.
func Evaluate(engines []*domain.Engine, models []Model) Result {
	p := newProblem(Throughput, engines, models)
	now := p.currentLayout(engines)
	s := solver{problem: p}
	return p.result(now, s.solve(now))
}

func (p *problem) result(l layout, v evaluation) Result {
	out := Result{Rate: v.rate, Bound: p.rateBound(), Shares: p.shares(v)}
	for _, spans := range l {
		out.Placement = append(out.Placement, p.toLoadedRanges(spans))
	}
	return out
}
