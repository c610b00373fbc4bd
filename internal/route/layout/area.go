package layout

import (
	"slices"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
)

const (
	// fullValueShare is the part of the best rate of a chain up to which rates count in
	// full, surplus what more than that counts. With all of it counted, engines would
	// go into the one chain that holds most, and none would stand in for them.
	fullValueShare = 0.6
	surplusWeight  = 0.1
	// uncoveredBonus and heldByOne are what a layer counts that no other engine
	// holds, or one: less than any difference in rates, so that they decide
	// only where no path is whole yet, or where a range changes no rate.
	uncoveredBonus  = 1e-5
	soleHolderBonus = 1e-7
)

// placement is engines that hold layers and what they carry.
type placement struct {
	model    model
	engines  []Engine
	segments []segment
	search   *search
	// maxRate is the best rate that these engines could carry as one chain.
	maxRate float64
	rate    float64
	// ratesWithout is the rate without each of the engines.
	ratesWithout []float64
}

func newPlacement(m model, engines []Engine, top float64) *placement {
	a := &placement{model: m, engines: slices.Clone(engines), segments: newSegments(m.Model, engines), search: newSearch(m.Model), maxRate: top}
	a.rate = a.search.rate(a.segments, noEngine)
	for i := range a.engines {
		a.ratesWithout = append(a.ratesWithout, a.rateWithout(a.segments, a.rate, i))
	}
	return a
}

// rateWithout is the rate of links without one engine; rate is that of all.
func (a *placement) rateWithout(links []segment, rate float64, i int) float64 {
	if rate == 0 {
		return 0
	}
	return a.search.rate(links, i)
}

func withoutEngine(engines []Engine, i int) []Engine {
	return append(append(make([]Engine, 0, len(engines)), engines[:i]...), engines[i+1:]...)
}

// rateValue is what a rate counts.
func rateValue(rate, top float64) float64 {
	if top <= 0 {
		return 0
	}
	return min(rate/top, fullValueShare) + surplusWeight*rate/top
}

// score is what the rate counts, and what is left of it without an engine as
// the mean over all engines: each may be the next to die, leave or be replaced.
func (a *placement) score() float64 { return placementScore(a.rate, a.ratesWithout, a.maxRate) }

func placementScore(rate float64, alone []float64, top float64) float64 {
	left := 0.0
	for _, r := range alone {
		left += rateValue(r, top)
	}
	return rateValue(rate, top) + left/float64(max(1, len(alone)))
}

// place places another engine where the area's worth grows most.
func (a *placement) place(e Engine) {
	var best, next candidate
	most, found := 0.0, false
	for _, held := range candidateRanges(a.model, a.engines, e.Card) {
		e.Held = held
		a.evaluate(&next, e)
		if gain := placementScore(next.rate, next.ratesWithout, a.maxRate) + a.coverageBonus(held); !found || gain > most {
			most, found = gain, true
			best, next = next, best
		}
	}
	if found {
		a.engines, a.segments = append(a.engines, best.engine), best.segments
		a.rate, a.ratesWithout = best.rate, best.ratesWithout
	}
}

// candidate is an area with one engine more.
type candidate struct {
	engine       Engine
	segments     []segment
	rate         float64
	ratesWithout []float64
}

// evaluate works out a trial. Only the engines whose layers the new one holds as well
// are missed less.
func (a *placement) evaluate(t *candidate, e Engine) {
	t.engine = e
	t.segments = insert(append(t.segments[:0], a.segments...), newSegment(a.model.Model, e, len(a.engines)))
	t.rate = a.search.rate(t.segments, noEngine)
	t.ratesWithout = append(t.ratesWithout[:0], a.ratesWithout...)
	for i, other := range a.engines {
		if overlap(other.Held, e.Held) {
			t.ratesWithout[i] = a.rateWithout(t.segments, t.rate, i)
		}
	}
	t.ratesWithout = append(t.ratesWithout, a.rate)
}

func overlap(a, b spec.Layers) bool { return a.From() < b.To() && b.From() < a.To() }

// coverageBonus is what a range counts for layers that are held by none or by one.
func (a *placement) coverageBonus(held spec.Layers) float64 {
	sum := 0.0
	for l := held.From(); l < held.To(); l++ {
		switch countHolders(a.engines, l) {
		case 0:
			sum += uncoveredBonus
		case 1:
			sum += soleHolderBonus
		}
	}
	return sum
}

// countHolders is how many engines hold a layer.
func countHolders(engines []Engine, layer int) int {
	n := 0
	for _, e := range engines {
		if e.Held.Has(layer) {
			n++
		}
	}
	return n
}

// rangeMemoryFactors are the rooms, as multiples of the least one, for which ranges of a
// card are tried.
var rangeMemoryFactors = []float64{1, 4, 8}

// candidateRanges are the ranges that an engine may hold beside others: between two ends
// of theirs, so that it can stand in for them, and from or to such an end as
// many layers as leave little, some or much room.
func candidateRanges(m model, others []Engine, c site.Card) []spec.Layers {
	ends := make([]bool, m.Layers+1)
	ends[0], ends[m.Layers] = true, true
	for _, e := range others {
		ends[e.Held.From()], ends[e.Held.To()] = true, true
	}
	seen := map[spec.Layers]bool{}
	var out []spec.Layers
	add := func(from, to int) {
		l := spec.NewLayers(from, to)
		if from >= 0 && to <= m.Layers && from < to && !seen[l] {
			seen[l] = true
			out = append(out, l)
		}
	}
	most := layersThatFit(m, c, m.minTokens)
	for from := range ends {
		if !ends[from] {
			continue
		}
		for to := from + 1; to <= min(m.Layers, from+most); to++ {
			if ends[to] {
				add(from, to)
			}
		}
		for _, level := range rangeMemoryFactors {
			n := layersThatFit(m, c, level*m.minTokens)
			add(from, from+n)
			add(from-n, from)
		}
	}
	return out
}
