package place

import (
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/world"
)

// version names a version of a model.
type version struct {
	model   spec.ModelName
	version string
}

// guard knows how many engines serve each layer now. What counts is what an
// engine reports and was not ordered to drop: an order alone serves nobody,
// and one under way may drop its ranges at any moment.
type guard struct {
	need   int
	held   map[spec.UpstreamID][]world.Hold
	counts map[version][]int
	wanted map[version]bool
	models map[spec.ModelName]version
}

func newGuard(goal Goal, engines []*world.Engine, models []Model, under map[spec.UpstreamID]*sent) *guard {
	g := &guard{
		need: goal.holders(), held: map[spec.UpstreamID][]world.Hold{},
		counts: map[version][]int{}, wanted: map[version]bool{}, models: map[spec.ModelName]version{},
	}
	for _, m := range models {
		v := version{m.Name, m.Version}
		g.wanted[v] = true
		g.models[m.Name] = v
		g.counts[v] = make([]int, m.Depth)
	}
	for _, e := range engines {
		g.add(e.Holds, 0)
		serving := e.Holds
		if s := under[e.ID]; s != nil {
			serving = both(e.Holds, s.holds)
		}
		g.held[e.ID] = serving
		g.add(serving, 1)
	}
	return g
}

func (g *guard) add(holds []world.Hold, n int) {
	for _, h := range holds {
		v := version{h.Model, h.Version}
		if len(g.counts[v]) < h.Depth {
			g.counts[v] = append(g.counts[v], make([]int, h.Depth-len(g.counts[v]))...)
		}
		for at := h.Layers.From(); at < h.Layers.To(); at++ {
			g.counts[v][at] += n
		}
	}
}

// allows reports whether the move leaves every layer that it drops with
// enough other holders. Where there are too few anyway, one must remain.
func (g *guard) allows(mv move) bool {
	held := g.held[mv.engine]
	kept := both(held, mv.holds)
	g.add(held, -1)
	g.add(kept, 1)
	ok := true
	for _, h := range held {
		for at := h.Layers.From(); at < h.Layers.To() && ok; at++ {
			ok = holds(kept, h, at) || g.enough(version{h.Model, h.Version}, at)
		}
	}
	g.add(kept, -1)
	g.add(held, 1)
	return ok
}

// spares reports whether some other engine serves each layer that an order
// under way drops.
func (g *guard) spares(reported, ordered []world.Hold) bool {
	for _, h := range reported {
		for at := h.Layers.From(); at < h.Layers.To(); at++ {
			v := version{h.Model, h.Version}
			if !holds(ordered, h, at) && g.counts[v][at] == 0 && !g.succeeded(v) {
				return false
			}
		}
	}
	return true
}

// succeeded reports whether another version is wanted and whole.
func (g *guard) succeeded(v version) bool {
	next, ok := g.models[v.model]
	return ok && next != v && g.whole(next)
}

// enough reports whether a layer that loses a holder has enough left. The
// layers of a version that is no longer wanted need none once the wanted one
// has all of its own.
func (g *guard) enough(v version, at int) bool {
	left := g.counts[v][at]
	if g.wanted[v] {
		return left >= g.need || left >= 1 && g.scarce(v)
	}
	return left >= 1 || g.succeeded(v)
}

// scarce reports whether some layer of the version lacks holders already:
// insisting on all of them everywhere would then stop every repair.
func (g *guard) scarce(v version) bool {
	for _, n := range g.counts[v] {
		if n < g.need {
			return true
		}
	}
	return false
}

func (g *guard) whole(v version) bool {
	for _, n := range g.counts[v] {
		if n == 0 {
			return false
		}
	}
	return true
}

func (g *guard) take(mv move) {
	kept := both(g.held[mv.engine], mv.holds)
	g.add(g.held[mv.engine], -1)
	g.add(kept, 1)
	g.held[mv.engine] = kept
}

func holds(list []world.Hold, h world.Hold, at int) bool {
	for _, o := range list {
		if o.Model == h.Model && o.Version == h.Version && o.Layers.Has(at) {
			return true
		}
	}
	return false
}

// both is what is in a and in b.
func both(a, b []world.Hold) []world.Hold {
	var out []world.Hold
	for _, x := range a {
		for _, y := range b {
			if x.Model != y.Model || x.Version != y.Version {
				continue
			}
			part := x
			part.Layers = spec.NewLayers(max(x.Layers.From(), y.Layers.From()), min(x.Layers.To(), y.Layers.To()))
			if part.Layers.Len() > 0 {
				out = append(out, part)
			}
		}
	}
	return out
}
