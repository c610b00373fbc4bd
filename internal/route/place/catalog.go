package place

import (
	"slices"

	"fulmarwick/internal/route/domain"
)

// catalog is the models to serve, kept when no engine holds them any more.
type catalog struct {
	tracked        []Model
	smoothedDemand []float64
	configured     bool
}

const (
	// demandSmoothing is the weight of a new demand against the old.
	demandSmoothing = 0.02
	// minDemandShare is the part of all demand that a model counts with at least,
	// since one that nobody can ask for shows no demand.
	minDemandShare = 0.05
	// demandSteps is how finely a shift of demand is noticed.
	demandSteps = 10
)

func (c *catalog) update(w *domain.RoutingState, wanted []Model) {
	c.configured = wanted != nil
	for _, m := range wanted {
		c.upsert(w, m)
	}
	if wanted != nil {
		return
	}
	for _, name := range w.Engines().Index().ModelNames() {
		if v := largestVersion(w.Engines().Index().Versions(name)); v != nil {
			c.upsert(w, Model{Name: name, Version: v.Version(), Depth: v.Depth(), Width: hiddenWidth(v)})
		}
	}
}

// largestVersion is the version that can serve most.
func largestVersion(versions []*domain.Model) *domain.Model {
	var best *domain.Model
	for _, v := range versions {
		if best == nil || v.Capacity() >= best.Capacity() {
			best = v
		}
	}
	return best
}

func hiddenWidth(m *domain.Model) int {
	for _, g := range m.Groups() {
		if g.Width() > 0 {
			return g.Width()
		}
	}
	return 0
}

func (c *catalog) upsert(w *domain.RoutingState, m Model) {
	i := slices.IndexFunc(c.tracked, func(o Model) bool { return o.Name == m.Name })
	if i < 0 {
		i = len(c.tracked)
		c.tracked = append(c.tracked, m)
		c.smoothedDemand = append(c.smoothedDemand, 0)
	}
	used := 0.0
	for _, v := range w.Engines().Index().Versions(m.Name) {
		used += v.UsedRate()
	}
	c.smoothedDemand[i] += demandSmoothing * (used - c.smoothedDemand[i])
	c.tracked[i] = m
}

// normalizedModels are the catalog with demands that add up to one.
func (c *catalog) normalizedModels() []Model {
	out := slices.Clone(c.tracked)
	sum := 0.0
	for _, d := range c.smoothedDemand {
		sum += d
	}
	total := 0.0
	for i := range out {
		out[i].Demand = max(c.smoothedDemand[i], minDemandShare*sum)
		if sum == 0 {
			out[i].Demand = demandOrOne(c.tracked[i].Demand)
		}
		total += out[i].Demand
	}
	for i := range out {
		out[i].Demand /= total
	}
	return out
}

// demandOrOne is the demand that was given, if any.
func demandOrOne(d float64) float64 {
	if d <= 0 {
		return 1
	}
	return d
}

// quantizedDemands is the demands as whole steps, so that only a real shift shows.
func (c *catalog) quantizedDemands() []int {
	var out []int
	for _, m := range c.normalizedModels() {
		out = append(out, int(m.Demand*demandSteps+0.5))
	}
	return out
}
