package layout

import (
	"slices"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
)

const (
	// fullValueShare is the share of the maximum rate of a chain up to which a rate
	// counts in full.
	fullValueShare = 0.6
	// surplusWeight is the weight of the rate beyond fullValueShare. If it counted in
	// full, engines would all be put into the one chain with the highest rate, and
	// none would be left as spares for them.
	surplusWeight = 0.1
	// uncoveredBonus is the bonus for a layer that no other engine holds. Both bonuses
	// are less than any difference in rates: they decide only where no path is
	// complete yet or where a range doesn't change the rate.
	uncoveredBonus = 1e-5
	// soleHolderBonus is the bonus for a layer that only one other engine holds.
	soleHolderBonus = 1e-7
)

// placement is a set of engines with the layers that they hold, and its rates.
type placement struct {
	model    model
	engines  []Engine
	segments []segment
	search   *search
	// maxRate is the highest rate that these engines could carry as one chain.
	maxRate float64
	rate    float64
	// ratesWithout holds, for each engine, the rate without it.
	ratesWithout []float64
}

func newPlacement(m model, engines []Engine, maxRate float64) *placement {
	p := &placement{model: m, engines: slices.Clone(engines), segments: newSegments(m.Model, engines), search: newSearch(m.Model), maxRate: maxRate}
	p.rate = p.search.rate(p.segments, noEngine)
	for i := range p.engines {
		p.ratesWithout = append(p.ratesWithout, p.rateWithout(p.segments, p.rate, i))
	}
	return p
}

// rateWithout returns the rate of segments without engine i; rate is the rate with all
// of them.
func (p *placement) rateWithout(segments []segment, rate float64, i int) float64 {
	if rate == 0 {
		return 0
	}
	return p.search.rate(segments, i)
}

func withoutEngine(engines []Engine, i int) []Engine {
	return append(append(make([]Engine, 0, len(engines)), engines[:i]...), engines[i+1:]...)
}

// rateValue returns the value of a rate relative to maxRate.
func rateValue(rate, maxRate float64) float64 {
	if maxRate <= 0 {
		return 0
	}
	return min(rate/maxRate, fullValueShare) + surplusWeight*rate/maxRate
}

// score is the value of the rate plus the mean value of the rates without one engine.
// Any engine may be the next to die, leave or be replaced.
func (p *placement) score() float64 { return placementScore(p.rate, p.ratesWithout, p.maxRate) }

func placementScore(rate float64, ratesWithout []float64, maxRate float64) float64 {
	sum := 0.0
	for _, r := range ratesWithout {
		sum += rateValue(r, maxRate)
	}
	return rateValue(rate, maxRate) + sum/float64(max(1, len(ratesWithout)))
}

// place adds an engine with the range of layers that raises the score most.
func (p *placement) place(e Engine) {
	var best, next candidate
	maxGain, found := 0.0, false
	for _, held := range candidateRanges(p.model, p.engines, e.Card) {
		e.Held = held
		p.evaluate(&next, e)
		if gain := placementScore(next.rate, next.ratesWithout, p.maxRate) + p.coverageBonus(held); !found || gain > maxGain {
			maxGain, found = gain, true
			best, next = next, best
		}
	}
	if found {
		p.engines, p.segments = append(p.engines, best.engine), best.segments
		p.rate, p.ratesWithout = best.rate, best.ratesWithout
	}
}

// candidate is a placement with one more engine.
type candidate struct {
	engine       Engine
	segments     []segment
	rate         float64
	ratesWithout []float64
}

// evaluate computes the rates of the placement with one more engine. The new
// engine can replace only engines whose ranges overlap its own, so only the rates
// without these are recomputed.
func (p *placement) evaluate(c *candidate, e Engine) {
	c.engine = e
	c.segments = insert(append(c.segments[:0], p.segments...), newSegment(p.model.Model, e, len(p.engines)))
	c.rate = p.search.rate(c.segments, noEngine)
	c.ratesWithout = append(c.ratesWithout[:0], p.ratesWithout...)
	for i, other := range p.engines {
		if overlap(other.Held, e.Held) {
			c.ratesWithout[i] = p.rateWithout(c.segments, c.rate, i)
		}
	}
	c.ratesWithout = append(c.ratesWithout, p.rate)
}

func overlap(a, b spec.Layers) bool { return a.From() < b.To() && b.From() < a.To() }

// coverageBonus returns the bonus of a range for layers that no engine or only one
// holds.
func (p *placement) coverageBonus(held spec.Layers) float64 {
	sum := 0.0
	for l := held.From(); l < held.To(); l++ {
		switch countHolders(p.engines, l) {
		case 0:
			sum += uncoveredBonus
		case 1:
			sum += soleHolderBonus
		}
	}
	return sum
}

// countHolders returns how many engines hold a layer.
func countHolders(engines []Engine, layer int) int {
	n := 0
	for _, e := range engines {
		if e.Held.Has(layer) {
			n++
		}
	}
	return n
}

// rangeMemoryFactors are the amounts of KV memory for which ranges of a card are
// tried, as multiples of the minimum.
var rangeMemoryFactors = []float64{1, 4, 8}

// candidateRanges returns the ranges to try for a card beside other engines. A range
// lies between two boundaries of their ranges, so that the engine can replace them. Or
// it starts or ends at such a boundary and leaves little, medium or much KV memory.
func candidateRanges(m model, others []Engine, card site.Card) []spec.Layers {
	boundaries := make([]bool, m.Layers+1)
	boundaries[0], boundaries[m.Layers] = true, true
	for _, e := range others {
		boundaries[e.Held.From()], boundaries[e.Held.To()] = true, true
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
	maxLayers := layersThatFit(m, card, m.minTokens)
	for from := range boundaries {
		if !boundaries[from] {
			continue
		}
		for to := from + 1; to <= min(m.Layers, from+maxLayers); to++ {
			if boundaries[to] {
				add(from, to)
			}
		}
		for _, factor := range rangeMemoryFactors {
			n := layersThatFit(m, card, factor*m.minTokens)
			add(from, from+n)
			add(from-n, from)
		}
	}
	return out
}
