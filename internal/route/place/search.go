package place

const (
	// maxCandidates is how many changes are evaluated for one step of the
	// search.
	maxCandidates = 12
	// minStepGain is the least relative gain in rate for which one engine is
	// changed.
	minStepGain = 0.004
	// sufficientBoundShare is the share of the rate bound at which the search
	// ends. The remaining gain doesn't justify a load.
	sufficientBoundShare = 0.985
	// maxSearchSteps limits the number of changes of one search.
	maxSearchSteps = 400
)

// search improves a layout one unit at a time. Each step evaluates one change,
// so that the work of a tick is bounded.
type search struct {
	problem    *problem
	solver     solver
	layout     layout
	value      evaluation
	missing    int
	rateBound  float64
	steps      int
	started    bool
	done       bool
	remaining  []change
	bestChange change
	bestValue  evaluation
	hasBest    bool
	// changeOrder is the changed units in the order of the changes.
	changeOrder []int
}

// change replaces the spans of a unit.
type change struct {
	unit    int
	spans   []span
	score   float64
	missing int
}

func newSearch(p *problem, from layout) *search {
	return &search{problem: p, solver: solver{problem: p}, layout: from.clone(), rateBound: p.rateBound()}
}

// step evaluates at most one layout.
func (s *search) step() {
	switch {
	case !s.started:
		s.started = true
		s.missing = s.problem.missingHolders(s.layout)
		s.value = s.solver.solve(s.layout)
		s.findCandidates()
	case len(s.remaining) > 0:
		s.evaluate(s.remaining[0])
		s.remaining = s.remaining[1:]
		if len(s.remaining) == 0 {
			s.applyBest()
		}
	default:
		s.done = true
	}
}

// findCandidates collects the changes to evaluate next. The search is done if
// there are none.
func (s *search) findCandidates() {
	s.hasBest = false
	s.remaining = nil
	enough := s.value.rate >= sufficientBoundShare*s.rateBound
	if s.steps < maxSearchSteps && (s.missing > 0 || !enough) {
		s.remaining = s.candidates()
	}
	s.done = len(s.remaining) == 0
}

func (s *search) evaluate(c change) {
	old := s.layout[c.unit]
	s.layout[c.unit] = c.spans
	v := s.solver.solve(s.layout)
	s.layout[c.unit] = old
	if !s.hasBest || s.isBetter(c, v) {
		s.bestChange, s.bestValue, s.hasBest = c, v, true
	}
}

// isBetter compares a change with the best one so far: by missing holders, then
// by the gain for each load.
func (s *search) isBetter(c change, v evaluation) bool {
	if c.missing != s.bestChange.missing {
		return c.missing < s.bestChange.missing
	}
	return s.gainPerLoad(c, v) > s.gainPerLoad(s.bestChange, s.bestValue)
}

func (s *search) gainPerLoad(c change, v evaluation) float64 {
	g := v.rate - s.value.rate
	if g <= 0 {
		return g
	}
	// Prefer a small change to a large one with slightly more gain.
	return g / (4 + float64(layersToLoad(s.layout[c.unit], c.spans)))
}

func (s *search) applyBest() {
	repaired := s.bestChange.missing < s.missing
	gained := s.bestChange.missing == s.missing && s.bestValue.rate > s.value.rate*(1+minStepGain)
	if !repaired && !gained {
		s.done = true
		return
	}
	s.layout[s.bestChange.unit] = s.bestChange.spans
	s.value, s.missing = s.bestValue, s.bestChange.missing
	s.changeOrder = append(s.changeOrder, s.bestChange.unit)
	s.steps++
	s.findCandidates()
}
