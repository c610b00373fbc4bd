package place

import (
	"slices"

	"fulmarwick/internal/route/domain"
)

// catalog holds the models to serve. A model stays in it when no engine holds
// the model any more.
type catalog struct {
	tracked        []Model
	smoothedDemand []float64
	configured     bool
}

const (
	// demandSmoothing is the weight of a new demand sample against the old
	// average.
	demandSmoothing = 0.02
	// minDemandShare is the least share of the total demand that a model is
	// planned with. A model that no engine serves gets no requests and so shows
	// no demand.
	minDemandShare = 0.05
	// demandSteps is the number of steps into which demand shares are rounded.
	// Smaller shifts don't cause a new plan.
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

// largestVersion returns the version with the most capacity.
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

// normalizedModels returns the catalog with demands that add up to one.
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

// demandOrOne returns the configured demand, or 1 if there is none.
func demandOrOne(d float64) float64 {
	if d <= 0 {
		return 1
	}
	return d
}

// quantizedDemands returns the demands rounded to whole steps, so that small
// shifts don't change the digest.
func (c *catalog) quantizedDemands() []int {
	var out []int
	for _, m := range c.normalizedModels() {
		out = append(out, int(m.Demand*demandSteps+0.5))
	}
	return out
}
