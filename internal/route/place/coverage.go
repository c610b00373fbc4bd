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

// coverage counts how many engines serve each layer now. A range counts if the
// engine reports it and has no order to drop it. An order to load a range
// doesn't count, since the engine doesn't serve the range yet. A range that a
// pending order drops doesn't count, since the engine may unload it at any
// moment.
type coverage struct {
	minHolders     int
	serving        map[spec.UpstreamID][]domain.LoadedRange
	holderCounts   map[modelVersion][]int
	wanted         map[modelVersion]bool
	wantedVersions map[spec.ModelName]modelVersion
}

func newCoverage(goal Goal, engines []*domain.Engine, models []Model, pending map[spec.UpstreamID]*pendingOrder) *coverage {
	c := &coverage{
		minHolders: goal.minHolders(), serving: map[spec.UpstreamID][]domain.LoadedRange{},
		holderCounts: map[modelVersion][]int{}, wanted: map[modelVersion]bool{}, wantedVersions: map[spec.ModelName]modelVersion{},
	}
	for _, m := range models {
		v := modelVersion{m.Name, m.Version}
		c.wanted[v] = true
		c.wantedVersions[m.Name] = v
		c.holderCounts[v] = make([]int, m.Depth)
	}
	for _, e := range engines {
		c.addRanges(e.Loaded, 0)
		serving := e.Loaded
		if s := pending[e.ID]; s != nil {
			serving = intersect(e.Loaded, s.ranges)
		}
		c.serving[e.ID] = serving
		c.addRanges(serving, 1)
	}
	return c
}

func (c *coverage) addRanges(holds []domain.LoadedRange, n int) {
	for _, h := range holds {
		v := modelVersion{h.Model, h.Version}
		if len(c.holderCounts[v]) < h.Depth {
			c.holderCounts[v] = append(c.holderCounts[v], make([]int, h.Depth-len(c.holderCounts[v]))...)
		}
		for at := h.Layers.From(); at < h.Layers.To(); at++ {
			c.holderCounts[v][at] += n
		}
	}
}

// allows reports whether each layer that the move drops keeps enough other
// holders. If the version lacks holders already, one remaining holder is
// enough.
func (c *coverage) allows(mv move) bool {
	held := c.serving[mv.engine]
	kept := intersect(held, mv.ranges)
	c.addRanges(held, -1)
	c.addRanges(kept, 1)
	ok := true
	for _, h := range held {
		for at := h.Layers.From(); at < h.Layers.To() && ok; at++ {
			ok = holdsLayer(kept, h, at) || c.canLoseHolder(modelVersion{h.Model, h.Version}, at)
		}
	}
	c.addRanges(kept, -1)
	c.addRanges(held, 1)
	return ok
}

// droppedLayersServed reports whether another engine serves each layer that a
// pending order drops. Layers of superseded versions don't need one.
func (c *coverage) droppedLayersServed(reported, ordered []domain.LoadedRange) bool {
	for _, h := range reported {
		for at := h.Layers.From(); at < h.Layers.To(); at++ {
			v := modelVersion{h.Model, h.Version}
			if !holdsLayer(ordered, h, at) && c.holderCounts[v][at] == 0 && !c.isSuperseded(v) {
				return false
			}
		}
	}
	return true
}

// isSuperseded reports whether another version of the model is wanted and
// completely served.
func (c *coverage) isSuperseded(v modelVersion) bool {
	next, ok := c.wantedVersions[v.model]
	return ok && next != v && c.isComplete(next)
}

// canLoseHolder reports whether the layer has enough holders, after the caller
// has already subtracted the one to lose. Layers of an unwanted version need no
// holder once the wanted version is completely served.
func (c *coverage) canLoseHolder(v modelVersion, at int) bool {
	remaining := c.holderCounts[v][at]
	if c.wanted[v] {
		return remaining >= c.minHolders || remaining >= 1 && c.lacksHolders(v)
	}
	return remaining >= 1 || c.isSuperseded(v)
}

// lacksHolders reports whether some layer of the version has too few holders
// already. Requiring the full number for every layer would then block every
// repair.
func (c *coverage) lacksHolders(v modelVersion) bool {
	for _, n := range c.holderCounts[v] {
		if n < c.minHolders {
			return true
		}
	}
	return false
}

func (c *coverage) isComplete(v modelVersion) bool {
	for _, n := range c.holderCounts[v] {
		if n == 0 {
			return false
		}
	}
	return true
}

func (c *coverage) applyMove(mv move) {
	kept := intersect(c.serving[mv.engine], mv.ranges)
	c.addRanges(c.serving[mv.engine], -1)
	c.addRanges(kept, 1)
	c.serving[mv.engine] = kept
}

func holdsLayer(list []domain.LoadedRange, h domain.LoadedRange, at int) bool {
	for _, o := range list {
		if o.Model == h.Model && o.Version == h.Version && o.Layers.Has(at) {
			return true
		}
	}
	return false
}

// intersect returns the layers that are in both a and b.
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
