package place

import (
	"slices"

	"fulmarwick/internal/route/world"
)

// catalog is the models to serve, kept when no engine holds them any more.
type catalog struct {
	list   []Model
	smooth []float64
	wanted bool
}

const (
	// smoothing is the weight of a new demand against the old.
	smoothing = 0.02
	// leastPart is the part of all demand that a model counts with at least,
	// since one that nobody can ask for shows no demand.
	leastPart = 0.05
	// demandSteps is how finely a shift of demand is noticed.
	demandSteps = 10
)

func (c *catalog) learn(w *world.World, wanted []Model) {
	c.wanted = wanted != nil
	for _, m := range wanted {
		c.add(w, m)
	}
	if wanted != nil {
		return
	}
	for _, name := range w.Engines().Index().Names() {
		if v := widest(w.Engines().Index().Versions(name)); v != nil {
			c.add(w, Model{Name: name, Version: v.Version(), Depth: v.Depth(), Width: width(v)})
		}
	}
}

// widest is the version that can serve most.
func widest(versions []*world.Model) *world.Model {
	var best *world.Model
	for _, v := range versions {
		if best == nil || v.Capacity() >= best.Capacity() {
			best = v
		}
	}
	return best
}

func width(m *world.Model) int {
	for _, g := range m.Groups() {
		if g.Width() > 0 {
			return g.Width()
		}
	}
	return 0
}

func (c *catalog) add(w *world.World, m Model) {
	i := slices.IndexFunc(c.list, func(o Model) bool { return o.Name == m.Name })
	if i < 0 {
		i = len(c.list)
		c.list = append(c.list, m)
		c.smooth = append(c.smooth, 0)
	}
	used := 0.0
	for _, v := range w.Engines().Index().Versions(m.Name) {
		used += v.Used()
	}
	c.smooth[i] += smoothing * (used - c.smooth[i])
	c.list[i] = m
}

// models are the catalog with demands that add up to one.
func (c *catalog) models() []Model {
	out := slices.Clone(c.list)
	sum := 0.0
	for _, d := range c.smooth {
		sum += d
	}
	total := 0.0
	for i := range out {
		out[i].Demand = max(c.smooth[i], leastPart*sum)
		if sum == 0 {
			out[i].Demand = orOne(c.list[i].Demand)
		}
		total += out[i].Demand
	}
	for i := range out {
		out[i].Demand /= total
	}
	return out
}

// orOne is the demand that was given, if any.
func orOne(d float64) float64 {
	if d <= 0 {
		return 1
	}
	return d
}

// coarse is the demands as whole steps, so that only a real shift shows.
func (c *catalog) coarse() []int {
	var out []int
	for _, m := range c.models() {
		out = append(out, int(m.Demand*demandSteps+0.5))
	}
	return out
}
