package world

import (
	"math/rand/v2"
	"sort"

	"fulmarwick/internal/base/spec"
)

// Layers is what the engines of the group hold.
func (g *Group) Layers() spec.Layers { return g.layers }

// Width is the bytes of one hidden value.
func (g *Group) Width() int { return g.width }

// Engines are the group's engines in order of ID.
func (g *Group) Engines() []*Engine { return g.engines }

// Has reports whether the engine is in the group.
func (g *Group) Has(e *Engine) bool {
	for _, o := range e.groups {
		if o == g {
			return true
		}
	}
	return false
}

// Freed are engines of the group on which work ended lately; some may be nil.
func (g *Group) Freed() []*Engine { return g.freed[:] }

// Sample draws an engine with a probability in proportion to its capacity, so
// that a slow engine among fast ones is not drawn more than it can take.
func (g *Group) Sample(r *rand.Rand) *Engine {
	if g.stale {
		g.sum()
	}
	at := r.Int64N(g.cum[len(g.cum)-1])
	i := sort.Search(len(g.cum), func(i int) bool { return g.cum[i] > at })
	return g.engines[i]
}

func (g *Group) sum() {
	g.stale = false
	g.cum = g.cum[:0]
	var total int64
	for _, e := range g.engines {
		total += e.Capacity()
		g.cum = append(g.cum, total)
	}
}
