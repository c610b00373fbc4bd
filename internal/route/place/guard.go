package place

import (
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
)

// modelVersion names a version of a model.
type modelVersion struct {
	model   spec.ModelName
	version string
}

// coverage knows how many engines serve each layer now. What counts is what an
// engine reports and was not ordered to drop: an order alone serves nobody,
// and one under way may drop its ranges at any moment.
type coverage struct {
	minHolders     int
	serving        map[spec.UpstreamID][]domain.LoadedRange
	holderCounts   map[modelVersion][]int
	wanted         map[modelVersion]bool
	wantedVersions map[spec.ModelName]modelVersion
}

func newCoverage(goal Goal, engines []*domain.Engine, models []Model, under map[spec.UpstreamID]*pendingOrder) *coverage {
	g := &coverage{
		minHolders: goal.minHolders(), serving: map[spec.UpstreamID][]domain.LoadedRange{},
		holderCounts: map[modelVersion][]int{}, wanted: map[modelVersion]bool{}, wantedVersions: map[spec.ModelName]modelVersion{},
	}
	for _, m := range models {
		v := modelVersion{m.Name, m.Version}
		g.wanted[v] = true
		g.wantedVersions[m.Name] = v
		g.holderCounts[v] = make([]int, m.Depth)
	}
	for _, e := range engines {
		g.addRanges(e.Loaded, 0)
		serving := e.Loaded
		if s := under[e.ID]; s != nil {
			serving = intersect(e.Loaded, s.ranges)
		}
		g.serving[e.ID] = serving
		g.addRanges(serving, 1)
	}
	return g
}

func (g *coverage) addRanges(holds []domain.LoadedRange, n int) {
	for _, h := range holds {
		v := modelVersion{h.Model, h.Version}
		if len(g.holderCounts[v]) < h.Depth {
			g.holderCounts[v] = append(g.holderCounts[v], make([]int, h.Depth-len(g.holderCounts[v]))...)
		}
		for at := h.Layers.From(); at < h.Layers.To(); at++ {
			g.holderCounts[v][at] += n
		}
	}
}

// allows reports whether the move leaves every layer that it drops with
// enough other holders. Where there are too few anyway, one must remain.
func (g *coverage) allows(mv move) bool {
	held := g.serving[mv.engine]
	kept := intersect(held, mv.ranges)
	g.addRanges(held, -1)
	g.addRanges(kept, 1)
	ok := true
	for _, h := range held {
		for at := h.Layers.From(); at < h.Layers.To() && ok; at++ {
			ok = holdsLayer(kept, h, at) || g.canLoseHolder(modelVersion{h.Model, h.Version}, at)
		}
	}
	g.addRanges(kept, -1)
	g.addRanges(held, 1)
	return ok
}

// droppedLayersServed reports whether some other engine serves each layer that an order
// under way drops.
func (g *coverage) droppedLayersServed(reported, ordered []domain.LoadedRange) bool {
	for _, h := range reported {
		for at := h.Layers.From(); at < h.Layers.To(); at++ {
			v := modelVersion{h.Model, h.Version}
			if !holdsLayer(ordered, h, at) && g.holderCounts[v][at] == 0 && !g.isSuperseded(v) {
				return false
			}
		}
	}
	return true
}

// isSuperseded reports whether another version is wanted and whole.
func (g *coverage) isSuperseded(v modelVersion) bool {
	next, ok := g.wantedVersions[v.model]
	return ok && next != v && g.isComplete(next)
}

// canLoseHolder reports whether a layer that loses a holder has enough left. The
// layers of a version that is no longer wanted need none once the wanted one
// has all of its own.
func (g *coverage) canLoseHolder(v modelVersion, at int) bool {
	left := g.holderCounts[v][at]
	if g.wanted[v] {
		return left >= g.minHolders || left >= 1 && g.lacksHolders(v)
	}
	return left >= 1 || g.isSuperseded(v)
}

// lacksHolders reports whether some layer of the version lacks holders already:
// insisting on all of them everywhere would then stop every repair.
func (g *coverage) lacksHolders(v modelVersion) bool {
	for _, n := range g.holderCounts[v] {
		if n < g.minHolders {
			return true
		}
	}
	return false
}

func (g *coverage) isComplete(v modelVersion) bool {
	for _, n := range g.holderCounts[v] {
		if n == 0 {
			return false
		}
	}
	return true
}

func (g *coverage) applyMove(mv move) {
	kept := intersect(g.serving[mv.engine], mv.ranges)
	g.addRanges(g.serving[mv.engine], -1)
	g.addRanges(kept, 1)
	g.serving[mv.engine] = kept
}

func holdsLayer(list []domain.LoadedRange, h domain.LoadedRange, at int) bool {
	for _, o := range list {
		if o.Model == h.Model && o.Version == h.Version && o.Layers.Has(at) {
			return true
		}
	}
	return false
}

// intersect is what is in a and in b.
func intersect(a, b []domain.LoadedRange) []domain.LoadedRange {
	var out []domain.LoadedRange
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
