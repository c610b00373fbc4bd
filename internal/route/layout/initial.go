package layout

import (
	"slices"

	"fulmarwick/internal/base/spec"
)

const (
	// maxGroupEngines is the highest number of engines in a group. The death of any
	// engine of a chain breaks the chain, and the time of the search grows with the
	// third power of their number.
	maxGroupEngines = 16
	// minChainRateShare is the share of the highest chain rate that a chain of fewer
	// engines must reach to be tried. The engines that it leaves over serve as spares.
	minChainRateShare = 0.5
)

// placeAll places a model on engines that hold no layers yet.
func placeAll(m model, engines []Engine) []Engine {
	var out []Engine
	for _, part := range splitParts(m, engines) {
		out = append(out, placePart(m, part)...)
	}
	return out
}

// placePart places a model on a part whose engines hold no layers yet. It uses the
// number of groups with the highest score. The engines are sorted, the fastest first.
func placePart(m model, sorted []Engine) []Engine {
	var out []Engine
	bestScore := 0.0
	maxRate := maxChainRate(m, sorted)
	for n := (len(sorted) + maxGroupEngines - 1) / maxGroupEngines; n <= len(sorted); n++ {
		groups := placeGroups(m, distribute(sorted, n), maxRate/float64(n))
		if groups == nil {
			break
		}
		if score := groupsScore(groups, maxRate); out == nil || score > bestScore {
			bestScore, out = score, nil
			for _, g := range groups {
				out = append(out, g.engines...)
			}
		}
	}
	if out == nil {
		return nil
	}
	p := newPlacement(m, out, maxRate)
	for _, factor := range ringMemoryFactors {
		if ring := newPlacement(m, ringPlacement(m, sorted, factor*m.minTokens), maxRate); ring.score() > p.score() {
			p = ring
		}
	}
	return p.engines
}

// ringMemoryFactors are the amounts of KV memory for which rings are tried, as
// multiples of the minimum.
var ringMemoryFactors = []float64{1, 2, 3, 4, 6, 8, 11, 15}

// ringPlacement gives each engine the layers after those of the previous engine, as
// many as leave KV memory for that many tokens, and starts again at layer 0 after the
// last layer.
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

// distribute splits engines into n groups, so that each group gets some of every card.
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

// placeGroups places the layers on each group; nil if one of the groups can't hold the
// model.
func placeGroups(m model, groups [][]Engine, maxRate float64) []*placement {
	var out []*placement
	for _, g := range groups {
		p := placeGroup(m, g, maxRate)
		if p == nil {
			return nil
		}
		out = append(out, p)
	}
	return out
}

// groupsScore returns the score of groups that replace each other on a loss.
func groupsScore(groups []*placement, maxRate float64) float64 {
	totalRate, remaining, engines := 0.0, 0.0, 0
	for _, g := range groups {
		totalRate += g.rate
	}
	for _, g := range groups {
		for _, r := range g.ratesWithout {
			remaining += rateValue(totalRate-g.rate+r, maxRate)
		}
		engines += len(g.ratesWithout)
	}
	return rateValue(totalRate, maxRate) + remaining/float64(engines)
}

// placeGroup places the layers on a group: a chain of its fastest engines, and the
// others as spares one by one or as chains of their own. Each slow engine in a chain
// prolongs all requests, and KV memory is held on all engines of the chain for that
// whole time. As a spare, the same engine replaces a faster one that is lost. The
// chain length with the highest score is used. placeGroup returns nil if the group
// can't hold the model.
func placeGroup(m model, sorted []Engine, maxRate float64) *placement {
	var best *placement
	consider := func(engines []Engine) {
		if p := newPlacement(m, engines, maxRate); best == nil || p.score() > best.score() {
			best = p
		}
	}
	for _, chain := range candidateChains(m, sorted) {
		spares := sorted[len(chain):]
		p := newPlacement(m, chain, maxRate)
		for _, e := range spares {
			p.place(e)
		}
		consider(p.engines)
		if other := placeGroup(m, spares, maxRate); other != nil {
			consider(slices.Concat(chain, other.engines))
		}
	}
	return best
}

// candidateChains returns the chains of the fastest engines that are worth trying.
func candidateChains(m model, sorted []Engine) [][]Engine {
	var out [][]Engine
	maxRate := maxChainRate(m, sorted)
	for n := range sorted {
		fastest := sorted[:n+1]
		if !fitsModel(m, fastest, m.minTokens) {
			continue
		}
		if chain := assignLayers(m, fastest); Rate(m.Model, chain) >= minChainRateShare*maxRate {
			out = append(out, chain)
		}
	}
	return out
}

// maxChainRate returns the highest rate that a chain of the fastest engines carries.
func maxChainRate(m model, sorted []Engine) float64 {
	maxRate := 0.0
	for n := range sorted {
		if fastest := sorted[:n+1]; fitsModel(m, fastest, m.minTokens) {
			maxRate = max(maxRate, Rate(m.Model, assignLayers(m, fastest)))
		}
	}
	return maxRate
}
