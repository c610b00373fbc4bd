package grid

import (
	"slices"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
)

const (
	// enough is the part of the best rate of a chain up to which rates count in
	// full, surplus what more than that counts. With all of it counted, engines would
	// go into the one chain that holds most, and none would stand in for them.
	enough  = 0.6
	surplus = 0.1
	// heldByNone and heldByOne are what a layer counts that no other engine
	// holds, or one: less than any difference in rates, so that they decide
	// only where no path is whole yet, or where a range changes no rate.
	heldByNone = 1e-5
	heldByOne  = 1e-7
)

// area is engines that hold layers and what they carry.
type area struct {
	model   model
	engines []Engine
	links   []link
	search  *search
	// top is the best rate that these engines could carry as one chain.
	top  float64
	rate float64
	// alone is the rate without each of the engines.
	alone []float64
}

func survey(m model, engines []Engine, top float64) *area {
	a := &area{model: m, engines: slices.Clone(engines), links: links(m.Model, engines), search: newSearch(m.Model), top: top}
	a.rate = a.search.rate(a.links, none)
	for i := range a.engines {
		a.alone = append(a.alone, a.without(a.links, a.rate, i))
	}
	return a
}

// without is the rate of links without one engine; rate is that of all.
func (a *area) without(links []link, rate float64, i int) float64 {
	if rate == 0 {
		return 0
	}
	return a.search.rate(links, i)
}

func except(engines []Engine, i int) []Engine {
	return append(append(make([]Engine, 0, len(engines)), engines[:i]...), engines[i+1:]...)
}

// value is what a rate counts.
func value(rate, top float64) float64 {
	if top <= 0 {
		return 0
	}
	return min(rate/top, enough) + surplus*rate/top
}

// worth is what the rate counts, and what is left of it without an engine as
// the mean over all engines: each may be the next to die, leave or be replaced.
func (a *area) worth() float64 { return worth(a.rate, a.alone, a.top) }

func worth(rate float64, alone []float64, top float64) float64 {
	left := 0.0
	for _, r := range alone {
		left += value(r, top)
	}
	return value(rate, top) + left/float64(max(1, len(alone)))
}

// add places another engine where the area's worth grows most.
func (a *area) add(e Engine) {
	var best, next trial
	most, found := 0.0, false
	for _, held := range places(a.model, a.engines, e.Card) {
		e.Held = held
		a.with(&next, e)
		if gain := worth(next.rate, next.alone, a.top) + a.cover(held); !found || gain > most {
			most, found = gain, true
			best, next = next, best
		}
	}
	if found {
		a.engines, a.links = append(a.engines, best.engine), best.links
		a.rate, a.alone = best.rate, best.alone
	}
}

// trial is an area with one engine more.
type trial struct {
	engine Engine
	links  []link
	rate   float64
	alone  []float64
}

// with works out a trial. Only the engines whose layers the new one holds as well
// are missed less.
func (a *area) with(t *trial, e Engine) {
	t.engine = e
	t.links = insert(append(t.links[:0], a.links...), newLink(a.model.Model, e, len(a.engines)))
	t.rate = a.search.rate(t.links, none)
	t.alone = append(t.alone[:0], a.alone...)
	for i, other := range a.engines {
		if overlap(other.Held, e.Held) {
			t.alone[i] = a.without(t.links, t.rate, i)
		}
	}
	t.alone = append(t.alone, a.rate)
}

func overlap(a, b spec.Layers) bool { return a.From() < b.To() && b.From() < a.To() }

// cover is what a range counts for layers that are held by none or by one.
func (a *area) cover(held spec.Layers) float64 {
	sum := 0.0
	for l := held.From(); l < held.To(); l++ {
		switch holders(a.engines, l) {
		case 0:
			sum += heldByNone
		case 1:
			sum += heldByOne
		}
	}
	return sum
}

// holders is how many engines hold a layer.
func holders(engines []Engine, layer int) int {
	n := 0
	for _, e := range engines {
		if e.Held.Has(layer) {
			n++
		}
	}
	return n
}

// levels are the rooms, as multiples of the least one, for which ranges of a
// card are tried.
var levels = []float64{1, 4, 8}

// places are the ranges that an engine may hold beside others: between two ends
// of theirs, so that it can stand in for them, and from or to such an end as
// many layers as leave little, some or much room.
func places(m model, others []Engine, c site.Card) []spec.Layers {
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
	most := fit(m, c, m.least)
	for from := range ends {
		if !ends[from] {
			continue
		}
		for to := from + 1; to <= min(m.Layers, from+most); to++ {
			if ends[to] {
				add(from, to)
			}
		}
		for _, level := range levels {
			n := fit(m, c, level*m.least)
			add(from, from+n)
			add(from-n, from)
		}
	}
	return out
}
