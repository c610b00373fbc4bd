package place

import (
	"cmp"
	"slices"

	"fulmarwick/internal/route/domain"
)

// minRebuildGain is how much better a fresh layout must be than the present one
// improved, since it costs far more loads.
const minRebuildGain = 0.05

// maxPruneLoss is the part of the rate that may go for fewer moves.
const maxPruneLoss = 0.01

// job finds a layout for a problem, a bounded piece of work per step. It first
// improves the present layout, and weighs others when that does not suffice.
type job struct {
	problem        *problem
	current        layout
	currentValue   evaluation
	currentMissing int
	// localSearch improves the present layout; nil if that hardly exists. tried are
	// all searches so far.
	localSearch *search
	searches    []*search
	started     bool
	done        bool
	// target is the result, with its value, missing holders and the units to
	// change, most gain first.
	target        layout
	targetValue   evaluation
	targetMissing int
	changeOrder   []int
	// pruneCandidates are changes that may prove needless, floor the rate to keep.
	pruneCandidates []int
	minRate         float64
	pruner          solver
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
	// Improving a layout that hardly exists one unit at a time takes long and
	// saves no loads.
	if 2*holding >= len(j.current) {
		j.localSearch = newSearch(j.problem, j.problem.fillEmptyUnits(j.current))
		j.searches = append(j.searches, j.localSearch)
	}
}

// startNextSearch begins the next search if those so far leave much to be wished.
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

// bestSearch is the best search: the fewest missing holders, then the rate; a later
// one must be clearly better, for it costs more loads.
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

// selectTarget takes the best layout and sets out to do without its changes one by
// one, those worth least first.
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

// prune takes back a change that the rate can do without.
func (j *job) prune() {
	u := j.pruneCandidates[len(j.pruneCandidates)-1]
	j.pruneCandidates = j.pruneCandidates[:len(j.pruneCandidates)-1]
	if len(j.current[u]) == 0 {
		return
	}
	want := j.target[u]
	j.target[u] = j.current[u]
	v := j.pruner.solve(j.target)
	if v.rate < j.minRate || j.problem.missingHolders(j.target) > j.targetMissing {
		j.target[u] = want
		return
	}
	j.targetValue = v
	j.changeOrder = slices.DeleteFunc(j.changeOrder, func(o int) bool { return o == u })
}

// orderedChanges are the units whose spans differ: for an improved layout in the
// order of its steps, else those that give layers without holders first and
// then the most speed for the fewest loads.
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
	worth := func(u int) float64 {
		gives := 0
		forEachLayerNotIn(j.target[u], j.current[u], func(m, at int) {
			if counts[m][at] == 0 {
				gives++
			}
		})
		return float64(gives)*1e9 + j.problem.units[u].rate/float64(4+layersToLoad(j.current[u], j.target[u]))
	}
	slices.SortStableFunc(out, func(a, b int) int { return cmp.Compare(worth(b), worth(a)) })
	return out
}

// Result is a placement with what it is worth.
type Result struct {
	// Placement are by engine, in the order given.
	Placement [][]domain.LoadedRange
	// Rate is the multiple of the demands that it serves, Bound one that no
	// placement passes.
	Rate  float64
	Bound float64
	// LoadedLayers is how many layers change hands, Moves on how many engines.
	LoadedLayers   int
	ChangedEngines int
	// Shares are what each engine runs at that rate.
	Shares []Share
}

// Plan finds a placement for the engines in one go. It is what a Planner
// finds over many ticks; benches and tools call it.
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

// Evaluate is what the present placement of the engines is worth.
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
