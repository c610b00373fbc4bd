package place

import (
	"slices"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"

	"github.com/cespare/xxhash/v2"
)

// Model is a model version that shall be served.
type Model struct {
	Name    spec.ModelName
	Version string
	Depth   int
	// Width is the bytes of one hidden value.
	Width int
	// Demand is in tokens a second. Rates are found as multiples of it, so
	// for a single model 1 makes the rate tokens a second. A Planner takes it
	// as long as it sees no demand.
	Demand float64
}

// degradedRateFactor is the part of its speed that an engine behind a degraded link
// counts with: routing avoids it, yet it is better than nothing.
const degradedRateFactor = 0.05

// maxGridParts is into how many parts a model is cut at most: ranges begin and
// end at multiples of a part, which keeps the boundaries few for routing.
const maxGridParts = 24

// unit is an engine as planning sees it.
type unit struct {
	id spec.UpstreamID
	// rate is in layer-tokens a second, link in bytes a second (zero is
	// unbounded), memory in layers.
	rate          float64
	linkBandwidth float64
	memory        int
	// fixed units keep what they hold.
	fixed bool
}

// span is a range of layers of a model by its number.
type span struct {
	model    int
	from, to int
}

func (s span) len() int { return s.to - s.from }

// layout is what each unit holds.
type layout [][]span

func (l layout) clone() layout {
	out := make(layout, len(l))
	for i, spans := range l {
		out[i] = slices.Clone(spans)
	}
	return out
}

// problem is the engines and models to plan for.
type problem struct {
	units      []unit
	models     []Model
	gridStep   []int
	minHolders int
	// cachedBound is the bound once it is known; negative before.
	cachedBound float64
}

func newProblem(goal Goal, engines []*domain.Engine, models []Model) *problem {
	p := &problem{models: models, minHolders: goal.minHolders(), cachedBound: -1}
	room, layers := 0, 0
	for _, e := range engines {
		p.units = append(p.units, newUnit(e))
		room += p.units[len(p.units)-1].memory
	}
	for _, m := range models {
		layers += m.Depth
	}
	for _, m := range models {
		grid := max(1, m.Depth/maxGridParts)
		if room < 2*p.minHolders*layers {
			// What a grid leaves unused could be needed to hold all layers.
			grid = 1
		}
		p.gridStep = append(p.gridStep, grid)
	}
	return p
}

func newUnit(e *domain.Engine) unit {
	u := unit{id: e.ID, rate: float64(e.Capacity()), linkBandwidth: float64(e.Bandwidth), memory: e.LayerCapacity}
	if e.HasSlowLink() {
		u.rate *= degradedRateFactor
	}
	if u.memory == 0 {
		// An engine that does not tell its memory can hold what it holds.
		for _, h := range e.Loaded {
			u.memory += h.Layers.Len()
		}
	}
	return u
}

// currentLayout is what the engines hold of the models.
func (p *problem) currentLayout(engines []*domain.Engine) layout {
	out := make(layout, len(engines))
	for i, e := range engines {
		out[i] = p.toSpans(e.Loaded)
	}
	return out
}

func (p *problem) toSpans(holds []domain.LoadedRange) []span {
	var out []span
	for _, h := range holds {
		if m := p.modelIndex(h); m >= 0 {
			out = append(out, span{model: m, from: h.Layers.From(), to: h.Layers.To()})
		}
	}
	return sortSpans(out)
}

func (p *problem) modelIndex(h domain.LoadedRange) int {
	for i, m := range p.models {
		if m.Name == h.Model && m.Version == h.Version && m.Depth == h.Depth {
			return i
		}
	}
	return -1
}

func sortSpans(spans []span) []span {
	slices.SortFunc(spans, func(a, b span) int {
		if a.model != b.model {
			return a.model - b.model
		}
		return a.from - b.from
	})
	return spans
}

// toLoadedRanges turns spans into what an engine is ordered to hold.
func (p *problem) toLoadedRanges(spans []span) []domain.LoadedRange {
	out := make([]domain.LoadedRange, 0, len(spans))
	for _, s := range spans {
		m := p.models[s.model]
		out = append(out, domain.LoadedRange{
			Model: m.Name, Version: m.Version, Depth: m.Depth,
			Layers: spec.NewLayers(s.from, s.to), Width: m.Width,
		})
	}
	return out
}

// linkRate is the most tokens a second of the model that the unit's link carries:
// each brings one hidden value.
func (p *problem) linkRate(u unit, model int) float64 {
	w := float64(p.models[model].Width)
	if u.linkBandwidth <= 0 || w <= 0 {
		return unbounded
	}
	return u.linkBandwidth / w
}

// layersToLoad is how many layers the unit must load to go from one set to another.
func layersToLoad(from, to []span) int {
	n := 0
	for _, t := range to {
		n += t.len() - overlapLen(from, t)
	}
	return n
}

// overlapLen is how many layers of s are in spans, which do not overlap.
func overlapLen(spans []span, s span) int {
	n := 0
	for _, o := range spans {
		if o.model == s.model {
			n += max(0, min(o.to, s.to)-max(o.from, s.from))
		}
	}
	return n
}

// holderCounts is how many units hold each layer of each model.
func (p *problem) holderCounts(l layout) [][]int {
	out := make([][]int, len(p.models))
	for i, m := range p.models {
		out[i] = make([]int, m.Depth)
	}
	for _, spans := range l {
		for _, s := range spans {
			for at := s.from; at < s.to; at++ {
				out[s.model][at]++
			}
		}
	}
	return out
}

// noHolderPenalty is what a layer without any holder counts among those missing.
const noHolderPenalty = 1000

// missingHolders is how many holders the layers of wanted models lack in all. A
// layer that nobody holds counts far more than one that lacks its second.
func (p *problem) missingHolders(l layout) int {
	n := 0
	for _, layers := range p.holderCounts(l) {
		for _, c := range layers {
			n += max(0, p.minHolders-c)
			if c == 0 {
				n += noHolderPenalty
			}
		}
	}
	return n
}

// digest changes when the units, what they hold or the demands do.
func (p *problem) digest(l layout, demands []int) uint64 {
	h := xxhash.New()
	for u, unit := range p.units {
		_, _ = h.WriteString(string(unit.id))
		_, _ = h.WriteString(p.signature(u, l[u]))
	}
	var b []byte
	for _, m := range p.models {
		b = append(b, m.Version...)
	}
	for _, d := range demands {
		b = appendFloat(b, float64(d))
	}
	_, _ = h.Write(b)
	return h.Sum64()
}
