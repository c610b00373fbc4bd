package place

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
)

// candidates returns changes that bring a unit to bottleneck layers or to
// layers that lack holders. The changes with the highest gain for each loaded
// layer come first.
func (s *search) candidates() []change {
	needed := s.layersInNeed()
	counts := s.problem.holderCounts(s.layout)
	seen := map[string]bool{}
	var out []change
	for u := range s.problem.units {
		if p := s.problem.units[u]; p.fixed || s.missing == 0 && !s.value.underused[u] {
			continue
		}
		key := s.problem.signature(u, s.layout[u])
		if seen[key] {
			continue
		}
		seen[key] = true
		out = append(out, s.bestWindows(u, needed, counts)...)
	}
	slices.SortStableFunc(out, func(a, b change) int {
		if a.missing != b.missing {
			return a.missing - b.missing
		}
		return cmp.Compare(b.score, a.score)
	})
	return out[:min(len(out), maxCandidates)]
}

// layersInNeed marks the layers that lack holders. If no layer does, it marks
// the bottleneck layers.
func (s *search) layersInNeed() [][]bool {
	out := make([][]bool, len(s.problem.models))
	for m, model := range s.problem.models {
		out[m] = make([]bool, model.Depth)
	}
	if s.missing > 0 {
		for m, layers := range s.problem.holderCounts(s.layout) {
			for at, n := range layers {
				out[m][at] = n < s.problem.minHolders
			}
		}
		return out
	}
	for _, t := range s.value.bottlenecks {
		for at := t.from; at < t.to; at++ {
			out[t.model][at] = true
		}
	}
	return out
}

// bestWindows returns the best change of one unit for each model.
func (s *search) bestWindows(u int, needed [][]bool, counts [][]int) []change {
	var out []change
	unit := s.problem.units[u]
	for m, model := range s.problem.models {
		n := s.problem.windowLen(m, unit.memory)
		if n == 0 {
			continue
		}
		var best change
		for from := 0; from <= model.Depth-n; from += s.problem.windowStride(m, from, n) {
			c, ok := s.proposeWindow(u, span{model: m, from: from, to: from + n}, needed[m], counts)
			if ok && (best.spans == nil || c.missing < best.missing || c.missing == best.missing && c.score > best.score) {
				best = c
			}
		}
		if best.spans != nil {
			out = append(out, best)
		}
	}
	return out
}

// proposeWindow scores a window by how much work of the needed layers the unit
// could run. It returns false if the window holds no needed layer or changes
// nothing.
func (s *search) proposeWindow(u int, w span, needed []bool, counts [][]int) (change, bool) {
	hits := 0
	for at := w.from; at < w.to; at++ {
		if needed[at] {
			hits++
		}
	}
	if hits == 0 {
		return change{}, false
	}
	spans := s.problem.spansWithWindow(u, s.layout[u], w)
	if slices.Equal(spans, s.layout[u]) {
		return change{}, false
	}
	unit := s.problem.units[u]
	d := s.problem.models[w.model].Demand
	useful := min(unit.rate, float64(hits)*min(s.problem.linkRate(unit, w.model), max(s.value.rate, s.rateBound/8)*d))
	return change{
		unit: u, spans: spans, score: useful / (4 + float64(layersToLoad(s.layout[u], spans))),
		missing: s.missing + s.missingDelta(counts, s.layout[u], spans),
	}, true
}

// missingDelta returns by how much a change raises the number of missing
// holders.
func (s *search) missingDelta(counts [][]int, from, to []span) int {
	cost := func(n int) int {
		c := max(0, s.problem.minHolders-n)
		if n <= 0 {
			c += noHolderPenalty
		}
		return c
	}
	d := 0
	forEachLayerNotIn(from, to, func(m, at int) { d += cost(counts[m][at]-1) - cost(counts[m][at]) })
	forEachLayerNotIn(to, from, func(m, at int) { d += cost(counts[m][at]+1) - cost(counts[m][at]) })
	return d
}

// forEachLayerNotIn calls f for each layer that is in a and not in b.
func forEachLayerNotIn(a, b []span, f func(model, layer int)) {
	for _, s := range a {
		for at := s.from; at < s.to; at++ {
			if overlapLen(b, span{model: s.model, from: at, to: at + 1}) == 0 {
				f(s.model, at)
			}
		}
	}
}

// spansWithWindow returns the spans of the unit after it loads the window. The
// remaining memory keeps layers of other models that the unit holds already.
func (p *problem) spansWithWindow(u int, held []span, w span) []span {
	out := []span{w}
	free := p.units[u].memory - w.len()
	for _, s := range held {
		if s.model == w.model {
			continue
		}
		if n := min(free, s.len()); n > 0 {
			out = append(out, span{model: s.model, from: s.from, to: s.from + n})
			free -= n
		}
	}
	return sortSpans(out)
}

// signature returns the same string for units with equal resources and equal
// spans.
func (p *problem) signature(u int, spans []span) string {
	unit := p.units[u]
	b := make([]byte, 0, 64)
	for _, v := range []float64{unit.rate, unit.linkBandwidth, float64(unit.memory)} {
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
