package place

import (
	"slices"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"

	"github.com/cespare/xxhash/v2"
)

// Model is a model version to serve.
type Model struct {
	Name    spec.ModelName
	Version string
	Depth   int
	// Width is the number of bytes of the hidden state of one token.
	Width int
	// Demand is in tokens a second. Rates are multiples of it: with a single
	// model of demand 1, the rate is in tokens a second. A Planner uses it
	// until it sees actual demand.
	Demand float64
}

// degradedRateFactor is the share of its speed that an engine behind a degraded
// link is planned with. Routing avoids such an engine, but it is better than
// none.
const degradedRateFactor = 0.05

// maxGridParts limits the number of parts into which a model is split. Ranges
// begin and end at multiples of a part. This keeps the number of boundaries
// small for routing.
const maxGridParts = 24

// unit is an engine as the planner sees it.
type unit struct {
	id spec.UpstreamID
	// rate is in layer-tokens a second.
	rate float64
	// linkBandwidth is in bytes a second; zero means unbounded.
	linkBandwidth float64
	// memory is in layers.
	memory int
	// fixed units keep their layers.
	fixed bool
}

// span is a range of layers of the model with the given index in
// problem.models.
type span struct {
	model    int
	from, to int
}

func (s span) len() int { return s.to - s.from }

// layout is the spans that each unit holds.
type layout [][]span

func (l layout) clone() layout {
	out := make(layout, len(l))
	for i, spans := range l {
		out[i] = slices.Clone(spans)
	}
	return out
}

// problem is the set of engines and models to plan for.
type problem struct {
	units      []unit
	models     []Model
	gridStep   []int
	minHolders int
	// cachedBound is the rate bound. It is negative until it is computed.
	cachedBound float64
}

func newProblem(goal Goal, engines []*domain.Engine, models []Model) *problem {
	p := &problem{models: models, minHolders: goal.minHolders(), cachedBound: -1}
	memory, layers := 0, 0
	for _, e := range engines {
		p.units = append(p.units, newUnit(e))
		memory += p.units[len(p.units)-1].memory
	}
	for _, m := range models {
		layers += m.Depth
	}
	for _, m := range models {
		step := max(1, m.Depth/maxGridParts)
		if memory < 2*p.minHolders*layers {
			// The memory that rounding to a grid leaves unused may be needed to
			// hold all layers.
			step = 1
		}
		p.gridStep = append(p.gridStep, step)
	}
	return p
}

func newUnit(e *domain.Engine) unit {
	u := unit{id: e.ID, rate: float64(e.Capacity()), linkBandwidth: float64(e.Bandwidth), memory: e.LayerCapacity}
	if e.HasSlowLink() {
		u.rate *= degradedRateFactor
	}
	if u.memory == 0 {
		// The engine doesn't report its memory: assume just enough for the
		// layers that it holds.
		for _, h := range e.Loaded {
			u.memory += h.Layers.Len()
		}
	}
	return u
}

// currentLayout returns the layers of the models that the engines report.
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

// toLoadedRanges converts spans to the ranges of a load order.
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

// linkRate returns how many tokens a second of the model the link of the unit
// can carry. Each token transfers one hidden state.
func (p *problem) linkRate(u unit, model int) float64 {
	w := float64(p.models[model].Width)
	if u.linkBandwidth <= 0 || w <= 0 {
		return unbounded
	}
	return u.linkBandwidth / w
}

// layersToLoad returns how many layers a unit must load to change from one set
// of spans to another.
func layersToLoad(from, to []span) int {
	n := 0
	for _, t := range to {
		n += t.len() - overlapLen(from, t)
	}
	return n
}

// overlapLen returns how many layers of s are in spans. The spans must not
// overlap each other.
func overlapLen(spans []span, s span) int {
	n := 0
	for _, o := range spans {
		if o.model == s.model {
			n += max(0, min(o.to, s.to)-max(o.from, s.from))
		}
	}
	return n
}

// holderCounts returns how many units hold each layer of each model.
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

// noHolderPenalty is added to the count of missing holders for each layer
// without any holder.
const noHolderPenalty = 1000

// missingHolders returns how many holders the layers of all models lack in
// total. A layer without any holder counts far more than a layer that lacks its
// second holder.
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

// digest returns a hash that changes when the units, their layers or the
// demands change.
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
