package place

import (
	"cmp"
	"slices"
)

// bisectionSteps is how many times waterFill halves the interval that contains
// its level.
const bisectionSteps = 40

// rebuildLayout builds a layout from scratch. Only fixed units keep their
// spans.
func (p *problem) rebuildLayout(now layout, by ordering) layout {
	return p.greedyLayout(now, by, func(u int) bool { return p.units[u].fixed })
}

// fillEmptyUnits returns the layout with spans assigned to each unit that holds
// nothing yet.
func (p *problem) fillEmptyUnits(now layout) layout {
	return p.greedyLayout(now, byMemory, func(u int) bool { return p.units[u].fixed || len(now[u]) > 0 })
}

// greedyLayout keeps the spans of the units that keeps selects. The other
// units, in the given order, take the windows of layers with the most remaining
// work. Each assignment reduces the remaining work in its window, the layers
// with the most work first.
func (p *problem) greedyLayout(now layout, by ordering, keeps func(u int) bool) layout {
	b := layoutBuilder{problem: p, result: make(layout, len(p.units))}
	rate := p.rateBound()
	for _, m := range p.models {
		work := make([]float64, m.Depth)
		for i := range work {
			work[i] = rate * m.Demand
		}
		b.remaining = append(b.remaining, work)
		b.holders = append(b.holders, make([]int, m.Depth))
	}
	for u := range p.units {
		if keeps(u) {
			b.keepSpans(u, now[u])
		}
	}
	for _, u := range p.sortedUnits(by) {
		if !keeps(u) {
			b.placeUnit(u)
		}
	}
	return b.result
}

// ordering compares units to define the order in which they are placed.
type ordering func(a, b unit) int

// byMemory puts units with the least memory first, since larger units can fit
// into the remaining gaps. It gives the best layouts where the memory holds
// each layer many times.
func byMemory(a, b unit) int {
	if a.memory != b.memory {
		return cmp.Compare(a.memory, b.memory)
	}
	return cmp.Compare(b.rate, a.rate)
}

// byRatePerLayer puts units first that have the highest rate for each layer
// they hold. Where memory is scarce, a layer that no fast unit covers takes
// many slow units.
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

// layoutBuilder builds a layout from scratch.
type layoutBuilder struct {
	problem *problem
	// remaining is the work of each layer that no unit covers yet.
	remaining [][]float64
	// holders is the number of units that hold each layer.
	holders [][]int
	result  layout
}

func (b *layoutBuilder) keepSpans(u int, spans []span) {
	rate := b.problem.units[u].rate
	for _, s := range spans {
		rate -= b.assignWindow(u, s, rate)
	}
}

// assignWindow assigns a window to the unit and returns how much work the unit
// runs there.
func (b *layoutBuilder) assignWindow(u int, w span, rate float64) float64 {
	b.result[u] = sortSpans(append(b.result[u], w))
	for at := w.from; at < w.to; at++ {
		b.holders[w.model][at]++
	}
	return b.waterFill(w, rate, b.problem.linkRate(b.problem.units[u], w.model))
}

func (b *layoutBuilder) placeUnit(u int) {
	unit := b.problem.units[u]
	free, rate := unit.memory, unit.rate
	for free > 0 {
		w, ok := b.bestWindow(unit, u, free, rate)
		if !ok {
			return
		}
		rate -= b.assignWindow(u, w, rate)
		free -= w.len()
	}
}

// bestWindow returns the window where the unit helps most: first where layers
// lack holders, then where it can run the most work, then where the most work
// remains.
func (b *layoutBuilder) bestWindow(unit unit, u, free int, rate float64) (span, bool) {
	var best span
	bestScore, found := 0.0, false
	for m, model := range b.problem.models {
		if holdsModel(b.result[u], m) {
			continue
		}
		n := b.problem.windowLen(m, free)
		linkRate := b.problem.linkRate(unit, m)
		for from := 0; from <= model.Depth-n; from += b.problem.windowStride(m, from, n) {
			w := span{model: m, from: from, to: from + n}
			if score := b.windowScore(w, rate, linkRate); score > bestScore {
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

// windowLen returns how many layers of a model fit into the free memory. The
// number is rounded down to whole grid steps if at least one step fits.
func (p *problem) windowLen(m, free int) int {
	n := min(free, p.models[m].Depth)
	if n < p.models[m].Depth && n > p.gridStep[m] {
		n -= n % p.gridStep[m]
	}
	return n
}

// windowStride returns the distance from the window at from to the next one.
// Windows start on the grid, and the last one ends at the last layer.
func (p *problem) windowStride(m, from, n int) int {
	last := p.models[m].Depth - n
	if from < last && from+p.gridStep[m] > last {
		return last - from
	}
	return p.gridStep[m]
}

func (b *layoutBuilder) windowScore(w span, rate, maxPerLayer float64) float64 {
	missing, useful, sum := 0, 0.0, 0.0
	for at := w.from; at < w.to; at++ {
		remaining := b.remaining[w.model][at]
		useful += min(remaining, maxPerLayer)
		sum += remaining
		missing += max(0, b.problem.minHolders-b.holders[w.model][at])
	}
	d := b.problem.models[w.model].Demand
	return min(useful, rate) + sum/float64(w.len())/1024 + float64(missing)*d*b.problem.holderBonus()
}

// holderBonus returns the weight of a missing holder relative to the work that
// a unit can run. It is small unless the goal requires more than one holder.
func (p *problem) holderBonus() float64 {
	if p.minHolders > 1 {
		return 1
	}
	return 1.0 / 1024
}

// waterFill reduces the remaining work in the window by at most rate and
// returns by how much. It takes from the layers with the most work first, and
// at most maxPerLayer from each layer.
func (b *layoutBuilder) waterFill(w span, rate, maxPerLayer float64) float64 {
	remaining := b.remaining[w.model][w.from:w.to]
	low, high := 0.0, slices.Max(remaining)
	if amountAboveLevel(remaining, low, maxPerLayer) > rate {
		for range bisectionSteps {
			mid := (low + high) / 2
			if amountAboveLevel(remaining, mid, maxPerLayer) > rate {
				low = mid
			} else {
				high = mid
			}
		}
		low = high
	}
	done := 0.0
	for i, v := range remaining {
		d := max(0, min(v-low, maxPerLayer))
		remaining[i] -= d
		done += d
	}
	return done
}

// amountAboveLevel returns how much work lies above the level, counting at most
// maxPerLayer for each layer.
func amountAboveLevel(remaining []float64, level, maxPerLayer float64) float64 {
	sum := 0.0
	for _, v := range remaining {
		sum += max(0, min(v-level, maxPerLayer))
	}
	return sum
}

// roundRobinLayout assigns the layers of all models to the units one after
// another, starting over at the first layer after the last. It ignores the
// speed of the units, but it covers every layer whenever the total memory
// suffices.
func (p *problem) roundRobinLayout(now layout) layout {
	out := make(layout, len(p.units))
	var wholeModels []span
	for m, model := range p.models {
		wholeModels = append(wholeModels, span{model: m, to: model.Depth})
	}
	at, layer := 0, 0
	for u, unit := range p.units {
		if unit.fixed {
			out[u] = now[u]
			continue
		}
		for free := unit.memory; free > 0; {
			n := min(free, wholeModels[at].to-layer)
			s := span{model: at, from: layer, to: layer + n}
			if overlapLen(out[u], s) > 0 {
				break
			}
			out[u] = append(out[u], s)
			free -= n
			layer += n
			if layer == wholeModels[at].to {
				at, layer = (at+1)%len(wholeModels), 0
			}
		}
		out[u] = sortSpans(out[u])
	}
	return out
}
