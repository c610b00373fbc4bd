package grid

import (
	"slices"

	"fulmarwick/internal/base/spec"
)

const (
	// mostGroup is how many engines make up a group at most. Each engine of a chain
	// is one whose death breaks it, and the time of the search grows with the third
	// power of their number.
	mostGroup = 16
	// worthwhile is the part of the best chain's rate that a chain of fewer
	// engines must reach to be tried: what it leaves over serves as spares.
	worthwhile = 0.5
)

// whole places a model that no engine of an area holds.
func whole(m model, engines []Engine) []Engine {
	var out []Engine
	for _, part := range split(m, engines) {
		out = append(out, fresh(m, part)...)
	}
	return out
}

// fresh places a model that no engine of a part holds, in as many groups of
// engines as are worth most. Engines come sorted, the fastest first.
func fresh(m model, sorted []Engine) []Engine {
	var out []Engine
	best := 0.0
	top := topRate(m, sorted)
	for n := (len(sorted) + mostGroup - 1) / mostGroup; n <= len(sorted); n++ {
		groups := arrangeAll(m, dealOut(sorted, n), top/float64(n))
		if groups == nil {
			break
		}
		if w := worthAll(groups, top); out == nil || w > best {
			best, out = w, nil
			for _, g := range groups {
				out = append(out, g.engines...)
			}
		}
	}
	if out == nil {
		return nil
	}
	a := survey(m, out, top)
	for _, level := range ringLevels {
		if b := survey(m, ring(m, sorted, level*m.least), top); b.worth() > a.worth() {
			a = b
		}
	}
	return a.engines
}

// ringLevels are the rooms, as multiples of the least one, for which rings are
// tried.
var ringLevels = []float64{1, 2, 3, 4, 6, 8, 11, 15}

// ring gives each engine the layers after those of the one before it, as many
// as leave that much room, and begins anew after the last layer.
func ring(m model, sorted []Engine, tokens float64) []Engine {
	out := append([]Engine(nil), sorted...)
	at := 0
	for i, e := range out {
		n := min(fit(m, e.Card, tokens), m.Layers-at)
		out[i].Held = spec.NewLayers(at, at+n)
		at = (at + n) % m.Layers
	}
	return out
}

// dealOut deals engines out to so many groups, to each some of every card.
func dealOut(sorted []Engine, n int) [][]Engine {
	out := make([][]Engine, n)
	for i, e := range sorted {
		at := i % (2 * n)
		if at >= n {
			at = 2*n - 1 - at
		}
		out[at] = append(out[at], e)
	}
	return out
}

// arrangeAll places layers on groups; nil if one of them does not hold the
// model.
func arrangeAll(m model, groups [][]Engine, top float64) []*area {
	var out []*area
	for _, g := range groups {
		a := arrange(m, g, top)
		if a == nil {
			return nil
		}
		out = append(out, a)
	}
	return out
}

// worthAll is the worth of groups that stand in for each other.
func worthAll(groups []*area, top float64) float64 {
	whole, left, engines := 0.0, 0.0, 0
	for _, g := range groups {
		whole += g.rate
	}
	for _, g := range groups {
		for _, r := range g.alone {
			left += value(whole-g.rate+r, top)
		}
		engines += len(g.alone)
	}
	return value(whole, top) + left/float64(engines)
}

// arrange places layers on a group: a chain of its fastest engines, and the
// others as spares one by one or as chains of their own. The time in flight
// grows with each slow engine in a chain, and memory is held everywhere for all
// of that time; as a spare the same engine takes over from a faster one that is
// gone. The length of the chain is the one that is worth most; nil if the group
// does not hold the model.
func arrange(m model, sorted []Engine, top float64) *area {
	var best *area
	take := func(engines []Engine) {
		if a := survey(m, engines, top); best == nil || a.worth() > best.worth() {
			best = a
		}
	}
	for _, chain := range chains(m, sorted) {
		rest := sorted[len(chain):]
		a := survey(m, chain, top)
		for _, e := range rest {
			a.add(e)
		}
		take(a.engines)
		if other := arrange(m, rest, top); other != nil {
			take(slices.Concat(chain, other.engines))
		}
	}
	return best
}

// chains are those of the fastest engines that are worth trying.
func chains(m model, sorted []Engine) [][]Engine {
	var out [][]Engine
	top := topRate(m, sorted)
	for n := range sorted {
		first := sorted[:n+1]
		if !fits(m, first, m.least) {
			continue
		}
		if chain := deal(m, first); Rate(m.Model, chain) >= worthwhile*top {
			out = append(out, chain)
		}
	}
	return out
}

// topRate is the best rate that a chain of the fastest engines carries.
func topRate(m model, sorted []Engine) float64 {
	top := 0.0
	for n := range sorted {
		if first := sorted[:n+1]; fits(m, first, m.least) {
			top = max(top, Rate(m.Model, deal(m, first)))
		}
	}
	return top
}
