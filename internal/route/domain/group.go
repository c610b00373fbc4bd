package domain

import (
	"math/rand/v2"
	"sort"

	"fulmarwick/internal/base/spec"
)

// Layers returns the layers that the engines of the group have loaded.
func (g *Group) Layers() spec.Layers { return g.layers }

// Width returns the size in bytes of one hidden value between layers.
func (g *Group) Width() int { return g.width }

// Engines returns the group's engines in order of ID.
func (g *Group) Engines() []*Engine { return g.engines }

// Contains reports whether the engine is in the group.
func (g *Group) Contains(e *Engine) bool {
	for _, o := range e.groups {
		if o == g {
			return true
		}
	}
	return false
}

// RecentlyFreed returns engines of the group on which requests ended
// recently. Entries may be nil.
func (g *Group) RecentlyFreed() []*Engine { return g.recentlyFreed[:] }

// Sample returns a random engine, with a probability in proportion to its
// capacity, so that a slow engine among fast ones is not chosen more often
// than it can handle.
func (g *Group) Sample(r *rand.Rand) *Engine {
	if g.cumulativeStale {
		g.updateCumulative()
	}
	point := r.Int64N(g.cumulative[len(g.cumulative)-1])
	i := sort.Search(len(g.cumulative), func(i int) bool { return g.cumulative[i] > point })
	return g.engines[i]
}

func (g *Group) updateCumulative() {
	g.cumulativeStale = false
	g.cumulative = g.cumulative[:0]
	var total int64
	for _, e := range g.engines {
		total += e.Capacity()
		g.cumulative = append(g.cumulative, total)
	}
}
