package place

import (
	"cmp"
	"slices"
)

// levels is how often water-filling halves the interval of its level.
const levels = 40

// fresh is a layout from nothing but the fixed units.
func (p *problem) fresh(now layout, by ordering) layout {
	return p.fill(now, by, func(u int) bool { return p.units[u].fixed })
}

// filled is a layout with something for each unit that holds nothing yet.
func (p *problem) filled(now layout) layout {
	return p.fill(now, byRoom, func(u int) bool { return p.units[u].fixed || len(now[u]) > 0 })
}

// fill keeps the spans of some units and has the others take the windows of
// layers where most is left to run, in an order. Each lowers what is left in
// its window, the highest first.
func (p *problem) fill(now layout, by ordering, keeps func(u int) bool) layout {
	f := filler{p: p, out: make(layout, len(p.units))}
	rate := p.bound()
	for _, m := range p.models {
		left := make([]float64, m.Depth)
		for i := range left {
			left[i] = rate * m.Demand
		}
		f.left = append(f.left, left)
		f.held = append(f.held, make([]int, m.Depth))
	}
	for u := range p.units {
		if keeps(u) {
			f.keep(u, now[u])
		}
	}
	for _, u := range p.order(by) {
		if !keeps(u) {
			f.place(u)
		}
	}
	return f.out
}

// ordering compares units for the order in which they are placed.
type ordering func(a, b unit) int

// byRoom has units with the least room first, since the others can fill what
// remains. It does best where there is room for each layer many times.
func byRoom(a, b unit) int {
	if a.memory != b.memory {
		return cmp.Compare(a.memory, b.memory)
	}
	return cmp.Compare(b.rate, a.rate)
}

// byHeight has units first that give each of their layers most: where room is
// scarce, what they do not cover takes many of the others.
func byHeight(a, b unit) int {
	return cmp.Compare(b.rate*float64(a.memory), a.rate*float64(b.memory))
}

func (p *problem) order(by ordering) []int {
	out := make([]int, len(p.units))
	for i := range out {
		out[i] = i
	}
	slices.SortStableFunc(out, func(a, b int) int { return by(p.units[a], p.units[b]) })
	return out
}

// filler is a fresh layout in the making.
type filler struct {
	p *problem
	// left is what is yet to run of each layer, held by how many.
	left [][]float64
	held [][]int
	out  layout
}

func (f *filler) keep(u int, spans []span) {
	rate := f.p.units[u].rate
	for _, s := range spans {
		rate -= f.take(u, s, rate)
	}
}

// take gives the unit a window and returns how much it runs there.
func (f *filler) take(u int, w span, rate float64) float64 {
	f.out[u] = sorted(append(f.out[u], w))
	for at := w.from; at < w.to; at++ {
		f.held[w.model][at]++
	}
	return f.fill(w, rate, f.p.pass(f.p.units[u], w.model))
}

func (f *filler) place(u int) {
	unit := f.p.units[u]
	room, rate := unit.memory, unit.rate
	for room > 0 {
		w, ok := f.window(unit, u, room, rate)
		if !ok {
			return
		}
		rate -= f.take(u, w, rate)
		room -= w.len()
	}
}

// window is where the unit helps most: first where layers lack holders, then
// where it can run most, then where most is left.
func (f *filler) window(unit unit, u, room int, rate float64) (span, bool) {
	var best span
	bestScore, found := 0.0, false
	for m, model := range f.p.models {
		if taken(f.out[u], m) {
			continue
		}
		n := f.p.width(m, room)
		pass := f.p.pass(unit, m)
		for from := 0; from <= model.Depth-n; from += f.p.stride(m, from, n) {
			w := span{model: m, from: from, to: from + n}
			if score := f.score(w, rate, pass); score > bestScore {
				best, bestScore, found = w, score, true
			}
		}
	}
	return best, found
}

func taken(spans []span, model int) bool {
	for _, s := range spans {
		if s.model == model {
			return true
		}
	}
	return false
}

// width is how many layers of a model go in a room, in whole grid parts if it
// takes at least one.
func (p *problem) width(m, room int) int {
	n := min(room, p.models[m].Depth)
	if n < p.models[m].Depth && n > p.grid[m] {
		n -= n % p.grid[m]
	}
	return n
}

// stride goes over the grid and ends just at the last window.
func (p *problem) stride(m, from, n int) int {
	last := p.models[m].Depth - n
	if from < last && from+p.grid[m] > last {
		return last - from
	}
	return p.grid[m]
}

func (f *filler) score(w span, rate, pass float64) float64 {
	lacking, useful, sum := 0, 0.0, 0.0
	for at := w.from; at < w.to; at++ {
		left := f.left[w.model][at]
		useful += min(left, pass)
		sum += left
		lacking += max(0, f.p.need-f.held[w.model][at])
	}
	d := f.p.models[w.model].Demand
	return min(useful, rate) + sum/float64(w.len())/1024 + float64(lacking)*d*f.p.bonus()
}

// bonus weighs a missing holder against the work that a unit can do.
func (p *problem) bonus() float64 {
	if p.need > 1 {
		return 1
	}
	return 1.0 / 1024
}

// fill lowers what is left in the window by up to rate, the highest layers
// first and none by more than pass, and returns how much it was.
func (f *filler) fill(w span, rate, pass float64) float64 {
	left := f.left[w.model][w.from:w.to]
	low, high := 0.0, slices.Max(left)
	if lowered(left, low, pass) > rate {
		for range levels {
			mid := (low + high) / 2
			if lowered(left, mid, pass) > rate {
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

func lowered(left []float64, level, pass float64) float64 {
	sum := 0.0
	for _, v := range left {
		sum += max(0, min(v-level, pass))
	}
	return sum
}

// tiled is a layout that lays the units' room end to end over the layers of
// all models, round and round. It looks at no speed, but holds every layer
// whenever the room suffices at all.
func (p *problem) tiled(now layout) layout {
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
			if common(out[u], s) > 0 {
				break
			}
			out[u] = append(out[u], s)
			room -= n
			layer += n
			if layer == line[at].to {
				at, layer = (at+1)%len(line), 0
			}
		}
		out[u] = sorted(out[u])
	}
	return out
}
