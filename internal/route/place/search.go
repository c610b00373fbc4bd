package place

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
)

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

// candidates are changes that bring a unit to layers that hold the rate back
// or lack holders: those with the most to give for the fewest loads.
func (s *search) candidates() []change {
	goals := s.goals()
	counts := s.p.counts(s.now)
	seen := map[string]bool{}
	var out []change
	for u := range s.p.units {
		if p := s.p.units[u]; p.fixed || s.lack == 0 && !s.value.idle[u] {
			continue
		}
		key := s.p.signature(u, s.now[u])
		if seen[key] {
			continue
		}
		seen[key] = true
		out = append(out, s.windows(u, goals, counts)...)
	}
	slices.SortStableFunc(out, func(a, b change) int {
		if a.lack != b.lack {
			return a.lack - b.lack
		}
		return cmp.Compare(b.score, a.score)
	})
	return out[:min(len(out), tries)]
}

// goals marks the layers that need somebody.
func (s *search) goals() [][]bool {
	out := make([][]bool, len(s.p.models))
	for m, model := range s.p.models {
		out[m] = make([]bool, model.Depth)
	}
	if s.lack > 0 {
		for m, layers := range s.p.counts(s.now) {
			for at, n := range layers {
				out[m][at] = n < s.p.need
			}
		}
		return out
	}
	for _, t := range s.value.tight {
		for at := t.from; at < t.to; at++ {
			out[t.model][at] = true
		}
	}
	return out
}

// windows are the best changes of one unit for each model.
func (s *search) windows(u int, goals [][]bool, counts [][]int) []change {
	var out []change
	unit := s.p.units[u]
	for m, model := range s.p.models {
		n := s.p.width(m, unit.memory)
		if n == 0 {
			continue
		}
		var best change
		for from := 0; from <= model.Depth-n; from += s.p.stride(m, from, n) {
			c, ok := s.propose(u, span{model: m, from: from, to: from + n}, goals[m], counts)
			if ok && (best.spans == nil || c.lack < best.lack || c.lack == best.lack && c.score > best.score) {
				best = c
			}
		}
		if best.spans != nil {
			out = append(out, best)
		}
	}
	return out
}

// propose weighs a window by what the unit could run of the layers in need.
func (s *search) propose(u int, w span, goal []bool, counts [][]int) (change, bool) {
	hits := 0
	for at := w.from; at < w.to; at++ {
		if goal[at] {
			hits++
		}
	}
	if hits == 0 {
		return change{}, false
	}
	spans := s.p.with(u, s.now[u], w)
	if slices.Equal(spans, s.now[u]) {
		return change{}, false
	}
	unit := s.p.units[u]
	d := s.p.models[w.model].Demand
	useful := min(unit.rate, float64(hits)*min(s.p.pass(unit, w.model), max(s.value.rate, s.limit/8)*d))
	return change{
		unit: u, spans: spans, score: useful / (4 + float64(loads(s.now[u], spans))),
		lack: s.lack + s.shift(counts, s.now[u], spans),
	}, true
}

// shift is how many more holders are missing after a change.
func (s *search) shift(counts [][]int, from, to []span) int {
	cost := func(n int) int {
		c := max(0, s.p.need-n)
		if n <= 0 {
			c += noHolder
		}
		return c
	}
	d := 0
	each(from, to, func(m, at int) { d += cost(counts[m][at]-1) - cost(counts[m][at]) })
	each(to, from, func(m, at int) { d += cost(counts[m][at]+1) - cost(counts[m][at]) })
	return d
}

// each calls f for the layers that are in a and not in b.
func each(a, b []span, f func(model, layer int)) {
	for _, s := range a {
		for at := s.from; at < s.to; at++ {
			if common(b, span{model: s.model, from: at, to: at + 1}) == 0 {
				f(s.model, at)
			}
		}
	}
}

// with is what the unit holds when the window comes to it: the rest of its
// room keeps what it held of other models.
func (p *problem) with(u int, held []span, w span) []span {
	out := []span{w}
	room := p.units[u].memory - w.len()
	for _, s := range held {
		if s.model == w.model {
			continue
		}
		if n := min(room, s.len()); n > 0 {
			out = append(out, span{model: s.model, from: s.from, to: s.from + n})
			room -= n
		}
	}
	return sorted(out)
}

// signature is equal for units that are alike and hold the same.
func (p *problem) signature(u int, spans []span) string {
	unit := p.units[u]
	b := make([]byte, 0, 64)
	for _, v := range []float64{unit.rate, unit.link, float64(unit.memory)} {
		b = appendFloat(b, v)
	}
	for _, s := range spans {
		b = appendFloat(b, float64(s.model))
		b = appendFloat(b, float64(s.from))
		b = appendFloat(b, float64(s.to))
	}
	return string(b)
}

func appendFloat(b []byte, v float64) []byte {
	return binary.BigEndian.AppendUint64(b, math.Float64bits(v))
}
