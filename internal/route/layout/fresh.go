package layout

import (
	"slices"

	"fulmarwick/internal/base/spec"
)

const (
	// maxGroupEngines is how many engines make up a group at most. Each engine of a chain
	// is one whose death breaks it, and the time of the search grows with the third
	// power of their number.
	maxGroupEngines = 16
	// minChainRateShare is the part of the best chain's rate that a chain of fewer
	// engines must reach to be tried: what it leaves over serves as spares.
	minChainRateShare = 0.5
)

// placeAll places a model that no engine of an area holds.
func placeAll(m model, engines []Engine) []Engine {
	var out []Engine
	for _, part := range splitParts(m, engines) {
		out = append(out, placePart(m, part)...)
	}
	return out
}

// placePart places a model that no engine of a part holds, in as many groups of
// engines as are worth most. Engines come sorted, the fastest first.
func placePart(m model, sorted []Engine) []Engine {
	var out []Engine
	best := 0.0
	top := maxChainRate(m, sorted)
	for n := (len(sorted) + maxGroupEngines - 1) / maxGroupEngines; n <= len(sorted); n++ {
		groups := placeGroups(m, distribute(sorted, n), top/float64(n))
		if groups == nil {
			break
		}
		if w := groupsScore(groups, top); out == nil || w > best {
			best, out = w, nil
			for _, g := range groups {
				out = append(out, g.engines...)
			}
		}
	}
	if out == nil {
		return nil
	}
	a := newPlacement(m, out, top)
	for _, level := range ringMemoryFactors {
		if b := newPlacement(m, ringPlacement(m, sorted, level*m.minTokens), top); b.score() > a.score() {
			a = b
		}
	}
	return a.engines
}

// ringMemoryFactors are the rooms, as multiples of the least one, for which rings are
// tried.
var ringMemoryFactors = []float64{1, 2, 3, 4, 6, 8, 11, 15}

// ringPlacement gives each engine the layers after those of the one before it, as many
// as leave that much room, and begins anew after the last layer.
func ringPlacement(m model, sorted []Engine, tokens float64) []Engine {
	out := append([]Engine(nil), sorted...)
	at := 0
	for i, e := range out {
		n := min(layersThatFit(m, e.Card, tokens), m.Layers-at)
		out[i].Held = spec.NewLayers(at, at+n)
		at = (at + n) % m.Layers
	}
	return out
}

// distribute deals engines out to so many groups, to each some of every card.
func distribute(sorted []Engine, n int) [][]Engine {
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

// placeGroups places layers on groups; nil if one of them does not hold the
// model.
func placeGroups(m model, groups [][]Engine, top float64) []*placement {
	var out []*placement
	for _, g := range groups {
		a := placeGroup(m, g, top)
		if a == nil {
			return nil
		}
		out = append(out, a)
	}
	return out
}

// groupsScore is the worth of groups that stand in for each other.
func groupsScore(groups []*placement, top float64) float64 {
	whole, left, engines := 0.0, 0.0, 0
	for _, g := range groups {
		whole += g.rate
	}
	for _, g := range groups {
		for _, r := range g.ratesWithout {
			left += rateValue(whole-g.rate+r, top)
		}
		engines += len(g.ratesWithout)
	}
	return rateValue(whole, top) + left/float64(engines)
}

// placeGroup places layers on a group: a chain of its fastest engines, and the
// others as spares one by one or as chains of their own. The time in flight
// grows with each slow engine in a chain, and memory is held everywhere for all
// of that time; as a spare the same engine takes over from a faster one that is
// gone. The length of the chain is the one that is worth most; nil if the group
// does not hold the model.
func placeGroup(m model, sorted []Engine, top float64) *placement {
	var best *placement
	take := func(engines []Engine) {
		if a := newPlacement(m, engines, top); best == nil || a.score() > best.score() {
			best = a
		}
	}
	for _, chain := range candidateChains(m, sorted) {
		rest := sorted[len(chain):]
		a := newPlacement(m, chain, top)
		for _, e := range rest {
			a.place(e)
		}
		take(a.engines)
		if other := placeGroup(m, rest, top); other != nil {
			take(slices.Concat(chain, other.engines))
		}
	}
	return best
}

// candidateChains are those of the fastest engines that are worth trying.
func candidateChains(m model, sorted []Engine) [][]Engine {
	var out [][]Engine
	top := maxChainRate(m, sorted)
	for n := range sorted {
		first := sorted[:n+1]
		if !fitsModel(m, first, m.minTokens) {
			continue
		}
		if chain := assignLayers(m, first); Rate(m.Model, chain) >= minChainRateShare*top {
			out = append(out, chain)
		}
	}
	return out
}

// maxChainRate is the best rate that a chain of the fastest engines carries.
func maxChainRate(m model, sorted []Engine) float64 {
	top := 0.0
	for n := range sorted {
		if first := sorted[:n+1]; fitsModel(m, first, m.minTokens) {
			top = max(top, Rate(m.Model, assignLayers(m, first)))
		}
	}
	return top
}
