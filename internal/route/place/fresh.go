package place

import (
	"cmp"
	"slices"
)

// bisectionSteps is how often water-filling halves the interval of its level.
const bisectionSteps = 40

// rebuildLayout is a layout from nothing but the fixed units.
func (p *problem) rebuildLayout(now layout, by ordering) layout {
	return p.greedyLayout(now, by, func(u int) bool { return p.units[u].fixed })
}

// fillEmptyUnits is a layout with something for each unit that holds nothing yet.
func (p *problem) fillEmptyUnits(now layout) layout {
	return p.greedyLayout(now, byMemory, func(u int) bool { return p.units[u].fixed || len(now[u]) > 0 })
}

// greedyLayout keeps the spans of some units and has the others take the windows of
// layers where most is left to run, in an order. Each lowers what is left in
// its window, the highest first.
func (p *problem) greedyLayout(now layout, by ordering, keeps func(u int) bool) layout {
	f := layoutBuilder{problem: p, result: make(layout, len(p.units))}
	rate := p.rateBound()
	for _, m := range p.models {
		left := make([]float64, m.Depth)
		for i := range left {
			left[i] = rate * m.Demand
		}
		f.remaining = append(f.remaining, left)
		f.holders = append(f.holders, make([]int, m.Depth))
	}
	for u := range p.units {
		if keeps(u) {
			f.keepSpans(u, now[u])
		}
	}
	for _, u := range p.sortedUnits(by) {
		if !keeps(u) {
			f.placeUnit(u)
		}
	}
	return f.result
}

// ordering compares units for the order in which they are placed.
type ordering func(a, b unit) int

// byMemory has units with the least room first, since the others can fill what
// remains. It does best where there is room for each layer many times.
func byMemory(a, b unit) int {
	if a.memory != b.memory {
		return cmp.Compare(a.memory, b.memory)
	}
	return cmp.Compare(b.rate, a.rate)
}

// byRatePerLayer has units first that give each of their layers most: where room is
// scarce, what they do not cover takes many of the others.
func byRatePerLayer(a, b unit) int {
	return cmp.Compare(b.rate*float64(a.memory), a.rate*float64(b.memory))
}

func (p *problem) sortedUnits(by ordering) []int {
	out := make([]int, len(p.units))
	for i := range out {
		out[i] = i
	}
	slices.SortStableFunc(out, func(a, b int) int { return by(p.units[a], p.units[b]) })
	return out
}

// layoutBuilder is a fresh layout in the making.
type layoutBuilder struct {
	problem *problem
	// remaining is what is yet to run of each layer, held by how many.
	remaining [][]float64
	holders   [][]int
	result    layout
}

func (f *layoutBuilder) keepSpans(u int, spans []span) {
	rate := f.problem.units[u].rate
	for _, s := range spans {
		rate -= f.assignWindow(u, s, rate)
	}
}

// assignWindow gives the unit a window and returns how much it runs there.
func (f *layoutBuilder) assignWindow(u int, w span, rate float64) float64 {
	f.result[u] = sortSpans(append(f.result[u], w))
	for at := w.from; at < w.to; at++ {
		f.holders[w.model][at]++
	}
	return f.waterFill(w, rate, f.problem.linkRate(f.problem.units[u], w.model))
}

func (f *layoutBuilder) placeUnit(u int) {
	unit := f.problem.units[u]
	room, rate := unit.memory, unit.rate
	for room > 0 {
		w, ok := f.bestWindow(unit, u, room, rate)
		if !ok {
			return
		}
		rate -= f.assignWindow(u, w, rate)
		room -= w.len()
	}
}

// bestWindow is where the unit helps most: first where layers lack holders, then
// where it can run most, then where most is left.
func (f *layoutBuilder) bestWindow(unit unit, u, room int, rate float64) (span, bool) {
	var best span
	bestScore, found := 0.0, false
	for m, model := range f.problem.models {
		if holdsModel(f.result[u], m) {
			continue
		}
		n := f.problem.windowLen(m, room)
		pass := f.problem.linkRate(unit, m)
		for from := 0; from <= model.Depth-n; from += f.problem.windowStride(m, from, n) {
			w := span{model: m, from: from, to: from + n}
			if score := f.windowScore(w, rate, pass); score > bestScore {
				best, bestScore, found = w, score, true
			}
		}
	}
	return best, found
}

func holdsModel(spans []span, model int) bool {
	for _, s := range spans {
		if s.model == model {
			return true
		}
	}
	return false
}

// windowLen is how many layers of a model go in a room, in whole grid parts if it
// takes at least one.
func (p *problem) windowLen(m, room int) int {
	n := min(room, p.models[m].Depth)
	if n < p.models[m].Depth && n > p.gridStep[m] {
		n -= n % p.gridStep[m]
	}
	return n
}

// windowStride goes over the grid and ends just at the last window.
func (p *problem) windowStride(m, from, n int) int {
	last := p.models[m].Depth - n
	if from < last && from+p.gridStep[m] > last {
		return last - from
	}
	return p.gridStep[m]
}

func (f *layoutBuilder) windowScore(w span, rate, pass float64) float64 {
	lacking, useful, sum := 0, 0.0, 0.0
	for at := w.from; at < w.to; at++ {
		left := f.remaining[w.model][at]
		useful += min(left, pass)
		sum += left
		lacking += max(0, f.problem.minHolders-f.holders[w.model][at])
	}
	d := f.problem.models[w.model].Demand
	return min(useful, rate) + sum/float64(w.len())/1024 + float64(lacking)*d*f.problem.holderBonus()
}

// holderBonus weighs a missing holder against the work that a unit can do.
func (p *problem) holderBonus() float64 {
	if p.minHolders > 1 {
		return 1
	}
	return 1.0 / 1024
}

// waterFill lowers what is left in the window by up to rate, the highest layers
// first and none by more than pass, and returns how much it was.
func (f *layoutBuilder) waterFill(w span, rate, pass float64) float64 {
	left := f.remaining[w.model][w.from:w.to]
	low, high := 0.0, slices.Max(left)
	if amountAboveLevel(left, low, pass) > rate {
		for range bisectionSteps {
			mid := (low + high) / 2
			if amountAboveLevel(left, mid, pass) > rate {
				low = mid
			} else {
				high = mid
			}
		}
		low = high
	}
	done := 0.0
	for i, v := range left {
		d := max(0, min(v-low, pass))
		left[i] -= d
		done += d
	}
	return done
}

func amountAboveLevel(left []float64, level, pass float64) float64 {
	sum := 0.0
	for _, v := range left {
		sum += max(0, min(v-level, pass))
	}
	return sum
}

// roundRobinLayout is a layout that lays the units' room end to end over the layers of
// all models, round and round. It looks at no speed, but holds every layer
// whenever the room suffices at all.
func (p *problem) roundRobinLayout(now layout) layout {
	out := make(layout, len(p.units))
	var line []span
	for m, model := range p.models {
		line = append(line, span{model: m, to: model.Depth})
	}
	at, layer := 0, 0
	for u, unit := range p.units {
		if unit.fixed {
			out[u] = now[u]
			continue
		}
		for room := unit.memory; room > 0; {
			n := min(room, line[at].to-layer)
			s := span{model: at, from: layer, to: layer + n}
			if overlapLen(out[u], s) > 0 {
				break
			}
			out[u] = append(out[u], s)
			room -= n
			layer += n
			if layer == line[at].to {
				at, layer = (at+1)%len(line), 0
			}
		}
		out[u] = sortSpans(out[u])
	}
	return out
}
