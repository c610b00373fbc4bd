package domain

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

// Contains reports whether the engine is in the group.
func (g *Group) Contains(e *Engine) bool {
	for _, o := range e.groups {
		if o == g {
			return true
		}
	}
	return false
}

// RecentlyFreed are engines of the group on which work ended lately; some may be nil.
func (g *Group) RecentlyFreed() []*Engine { return g.recentlyFreed[:] }

// Sample draws an engine with a probability in proportion to its capacity, so
// that a slow engine among fast ones is not drawn more than it can take.
func (g *Group) Sample(r *rand.Rand) *Engine {
	if g.cumulativeStale {
		g.updateCumulative()
	}
	at := r.Int64N(g.cumulative[len(g.cumulative)-1])
	i := sort.Search(len(g.cumulative), func(i int) bool { return g.cumulative[i] > at })
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
