package place

const (
	// tries is how many changes are weighed for one step of the search.
	tries = 12
	// minStep is the least relative gain for which one engine is changed.
	minStep = 0.004
	// nearBound ends the search: the rest is not worth a load.
	nearBound = 0.985
	// maxSteps bounds the changes of one search.
	maxSteps = 400
)

// search improves a layout one unit at a time. Each step weighs one change, so
// that a tick's work is bounded.
type search struct {
	p      *problem
	solver solver
	now    layout
	value  value
	lack   int
	limit  float64
	steps  int
	begun  bool
	done   bool
	cands  []change
	best   change
	better value
	found  bool
	// order is the units in the order in which they were changed.
	order []int
}

// change gives a unit another set of spans.
type change struct {
	unit  int
	spans []span
	score float64
	lack  int
}

func newSearch(p *problem, from layout) *search {
	return &search{p: p, solver: solver{p: p}, now: from.clone(), limit: p.bound()}
}

// step does one solve at most.
func (s *search) step() {
	switch {
	case !s.begun:
		s.begun = true
		s.lack = s.p.missing(s.now)
		s.value = s.solver.solve(s.now)
		s.look()
	case len(s.cands) > 0:
		s.weigh(s.cands[0])
		s.cands = s.cands[1:]
		if len(s.cands) == 0 {
			s.settle()
		}
	default:
		s.done = true
	}
}

// look finds changes worth weighing; none ends the search.
func (s *search) look() {
	s.found = false
	s.cands = nil
	enough := s.value.rate >= nearBound*s.limit
	if s.steps < maxSteps && (s.lack > 0 || !enough) {
		s.cands = s.candidates()
	}
	s.done = len(s.cands) == 0
}

func (s *search) weigh(c change) {
	old := s.now[c.unit]
	s.now[c.unit] = c.spans
	v := s.solver.solve(s.now)
	s.now[c.unit] = old
	if !s.found || s.beats(c, v) {
		s.best, s.better, s.found = c, v, true
	}
}

// beats compares by missing holders, then by the gain for each load.
func (s *search) beats(c change, v value) bool {
	if c.lack != s.best.lack {
		return c.lack < s.best.lack
	}
	return s.gain(c, v) > s.gain(s.best, s.better)
}

func (s *search) gain(c change, v value) float64 {
	g := v.rate - s.value.rate
	if g <= 0 {
		return g
	}
	// A small change that gains a little less is preferred to a large one.
	return g / (4 + float64(loads(s.now[c.unit], c.spans)))
}

func (s *search) settle() {
	repaired := s.best.lack < s.lack
	gained := s.best.lack == s.lack && s.better.rate > s.value.rate*(1+minStep)
	if !repaired && !gained {
		s.done = true
		return
	}
	s.now[s.best.unit] = s.best.spans
	s.value, s.lack = s.better, s.best.lack
	s.order = append(s.order, s.best.unit)
	s.steps++
	s.look()
}
