package place

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
)

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
