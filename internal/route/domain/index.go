package domain

import (
	"sort"

	"fulmarwick/internal/base/spec"
)

// Index finds the engines of a model by their loaded layer ranges. It changes
// only when an engine's loaded ranges, speed or state change, so that
// choosing among thousands of engines never scans them all.
type Index struct {
	models     map[spec.ModelName][]*Model
	modelNames []spec.ModelName
}

// Model is one version of a model as loaded by serving engines.
type Model struct {
	name    spec.ModelName
	version string
	depth   int
	groups  []*Group
	bounds  []int
}

// Group is the set of serving engines that have exactly the same layers of a
// model loaded.
type Group struct {
	model           *Model
	layers          spec.Layers
	width           int
	engines         []*Engine
	cumulative      []int64
	cumulativeStale bool
	capacity        int64
	demand          int64
	recentlyFreed   [maxRecentlyFreed]*Engine
	nextFreed       int
}

const maxRecentlyFreed = 4

// Versions returns the versions of the model that engines have loaded, in
// order.
func (x *Index) Versions(name spec.ModelName) []*Model { return x.models[name] }

// ModelNames returns all models that engines ever had loaded, in order of
// appearance.
func (x *Index) ModelNames() []spec.ModelName { return x.modelNames }

// Name returns the model's name.
func (m *Model) Name() spec.ModelName { return m.name }

// Version returns the version of the model.
func (m *Model) Version() string { return m.version }

// Depth returns the number of layers of the model.
func (m *Model) Depth() int { return m.depth }

// Groups returns the groups in order of first and last layer.
func (m *Model) Groups() []*Group { return m.groups }

// Bounds returns, in order, the layers at which a group begins or ends. As
// costs are linear in the number of layers, a best chain changes engines only
// at these layers.
func (m *Model) Bounds() []int { return m.bounds }

// Capacity estimates how many tokens per second the engines can generate. It
// is the lowest, over all stretches between two bounds, of the summed
// capacity of the groups that cover the stretch.
func (m *Model) Capacity() float64 {
	return m.minOverLayers(func(g *Group) int64 { return g.capacity })
}

// UsedRate estimates how many tokens per second the engines generate now. An
// engine that has several models loaded counts its whole demand for each of
// them.
func (m *Model) UsedRate() float64 {
	sum := int64(0)
	for _, g := range m.groups {
		sum += g.demand
	}
	return float64(max(0, sum)) / float64(max(1, m.depth))
}

// FreeRate estimates how many more tokens per second the engines can generate
// if they are used up to the fraction limit of their capacity.
func (m *Model) FreeRate(limit float64) float64 {
	return m.minOverLayers(func(g *Group) int64 { return int64(limit*float64(g.capacity)) - g.demand })
}

func (m *Model) minOverLayers(value func(*Group) int64) float64 {
	lowest := -1.0
	for i := 0; i+1 < len(m.bounds); i++ {
		at := m.bounds[i]
		sum := 0.0
		for _, g := range m.groups {
			if g.layers.Has(at) {
				sum += float64(value(g)) / float64(g.layers.Len())
			}
		}
		if lowest < 0 || sum < lowest {
			lowest = sum
		}
	}
	if lowest < 0 || len(m.bounds) == 0 || m.bounds[0] != 0 || m.bounds[len(m.bounds)-1] != m.depth {
		return 0
	}
	return lowest
}

func (x *Index) addEngine(e *Engine) {
	if e.state != StateServing {
		return
	}
	for _, loaded := range e.Loaded {
		if loaded.Layers.Len() == 0 {
			continue
		}
		g := x.ensureModel(loaded).ensureGroup(loaded)
		g.addEngine(e)
		e.groups = append(e.groups, g)
	}
}

func (x *Index) removeEngine(e *Engine) {
	for _, g := range e.groups {
		g.removeEngine(e)
		if len(g.engines) == 0 {
			x.removeGroup(g)
		}
	}
	e.groups = nil
}

func (x *Index) ensureModel(loaded LoadedRange) *Model {
	if x.models == nil {
		x.models = map[spec.ModelName][]*Model{}
	}
	versions, seen := x.models[loaded.Model]
	if !seen {
		x.modelNames = append(x.modelNames, loaded.Model)
	}
	at := sort.Search(len(versions), func(i int) bool { return versions[i].version >= loaded.Version })
	if at < len(versions) && versions[at].version == loaded.Version {
		return versions[at]
	}
	m := &Model{name: loaded.Model, version: loaded.Version, depth: loaded.Depth}
	versions = append(versions, nil)
	copy(versions[at+1:], versions[at:])
	versions[at] = m
	x.models[loaded.Model] = versions
	return m
}

func (x *Index) removeGroup(g *Group) {
	m := g.model
	for i, o := range m.groups {
		if o == g {
			m.groups = append(m.groups[:i], m.groups[i+1:]...)
			break
		}
	}
	m.updateBounds()
	if len(m.groups) > 0 {
		return
	}
	versions := x.models[m.name]
	for i, o := range versions {
		if o == m {
			x.models[m.name] = append(versions[:i], versions[i+1:]...)
			return
		}
	}
}

func (m *Model) ensureGroup(loaded LoadedRange) *Group {
	at := sort.Search(len(m.groups), func(i int) bool {
		l := m.groups[i].layers
		return l.From() > loaded.Layers.From() || (l.From() == loaded.Layers.From() && l.To() >= loaded.Layers.To())
	})
	if at < len(m.groups) && m.groups[at].layers == loaded.Layers {
		return m.groups[at]
	}
	g := &Group{model: m, layers: loaded.Layers, width: loaded.Width}
	m.groups = append(m.groups, nil)
	copy(m.groups[at+1:], m.groups[at:])
	m.groups[at] = g
	m.updateBounds()
	return g
}

func (m *Model) updateBounds() {
	seen := map[int]bool{}
	m.bounds = m.bounds[:0]
	for _, g := range m.groups {
		for _, b := range []int{g.layers.From(), g.layers.To()} {
			if !seen[b] {
				seen[b] = true
				m.bounds = append(m.bounds, b)
			}
		}
	}
	sort.Ints(m.bounds)
}

func (g *Group) addEngine(e *Engine) {
	at := sort.Search(len(g.engines), func(i int) bool { return g.engines[i].ID >= e.ID })
	g.engines = append(g.engines, nil)
	copy(g.engines[at+1:], g.engines[at:])
	g.engines[at] = e
	g.capacity += e.Capacity()
	g.demand += e.Demand()
	g.cumulativeStale = true
}

func (g *Group) removeEngine(e *Engine) {
	for i, o := range g.engines {
		if o == e {
			g.engines = append(g.engines[:i], g.engines[i+1:]...)
			g.capacity -= e.Capacity()
			g.demand -= e.Demand()
			break
		}
	}
	for i, o := range g.recentlyFreed {
		if o == e {
			g.recentlyFreed[i] = nil
		}
	}
	g.cumulativeStale = true
}

func (g *Group) recordFreed(e *Engine) {
	for _, o := range g.recentlyFreed {
		if o == e {
			return
		}
	}
	g.recentlyFreed[g.nextFreed] = e
	g.nextFreed = (g.nextFreed + 1) % maxRecentlyFreed
}
