package domain

import (
	"sort"

	"fulmarwick/internal/base/spec"
)

// Index finds the engines of a model by the layer ranges that they hold. It
// changes only when an engine's holds, speed or state do, so that choosing
// among thousands of engines never reads them all.
type Index struct {
	models     map[spec.ModelName][]*Model
	modelNames []spec.ModelName
}

// Model is one version of a model as serving engines hold it.
type Model struct {
	name    spec.ModelName
	version string
	depth   int
	groups  []*Group
	bounds  []int
}

// Group is the serving engines that hold just the same layers of a model.
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

// Versions are the versions of the model that engines hold, in order.
func (x *Index) Versions(name spec.ModelName) []*Model { return x.models[name] }

// ModelNames are the models that engines ever held, in order of appearance.
func (x *Index) ModelNames() []spec.ModelName { return x.modelNames }

// Name is the model's name.
func (m *Model) Name() spec.ModelName { return m.name }

// Version is the version that the groups hold.
func (m *Model) Version() string { return m.version }

// Depth is the number of layers.
func (m *Model) Depth() int { return m.depth }

// Groups are the groups in order of first and last layer.
func (m *Model) Groups() []*Group { return m.groups }

// Bounds are the layers where some group begins or ends, in order. With costs
// linear in layers a best chain hands over only at these.
func (m *Model) Bounds() []int { return m.bounds }

// Capacity estimates how many tokens a second the engines can make: for each
// stretch between bounds what the groups over it could give, and the least.
func (m *Model) Capacity() float64 {
	return m.minOverLayers(func(g *Group) int64 { return g.capacity })
}

// UsedRate estimates how many tokens a second the engines make now. An engine
// that holds several models counts its whole draw for each.
func (m *Model) UsedRate() float64 {
	sum := int64(0)
	for _, g := range m.groups {
		sum += g.demand
	}
	return float64(max(0, sum)) / float64(max(1, m.depth))
}

// FreeRate estimates how many more tokens a second the engines can make when they
// are used up to the part limit of their capacity.
func (m *Model) FreeRate(limit float64) float64 {
	return m.minOverLayers(func(g *Group) int64 { return int64(limit*float64(g.capacity)) - g.demand })
}

func (m *Model) minOverLayers(of func(*Group) int64) float64 {
	best := -1.0
	for i := 0; i+1 < len(m.bounds); i++ {
		at := m.bounds[i]
		sum := 0.0
		for _, g := range m.groups {
			if g.layers.Has(at) {
				sum += float64(of(g)) / float64(g.layers.Len())
			}
		}
		if best < 0 || sum < best {
			best = sum
		}
	}
	if best < 0 || len(m.bounds) == 0 || m.bounds[0] != 0 || m.bounds[len(m.bounds)-1] != m.depth {
		return 0
	}
	return best
}

func (x *Index) addEngine(e *Engine) {
	if e.state != StateServing {
		return
	}
	for _, h := range e.Loaded {
		if h.Layers.Len() == 0 {
			continue
		}
		g := x.ensureModel(h).ensureGroup(h)
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

func (x *Index) ensureModel(h LoadedRange) *Model {
	if x.models == nil {
		x.models = map[spec.ModelName][]*Model{}
	}
	all, seen := x.models[h.Model]
	if !seen {
		x.modelNames = append(x.modelNames, h.Model)
	}
	at := sort.Search(len(all), func(i int) bool { return all[i].version >= h.Version })
	if at < len(all) && all[at].version == h.Version {
		return all[at]
	}
	m := &Model{name: h.Model, version: h.Version, depth: h.Depth}
	all = append(all, nil)
	copy(all[at+1:], all[at:])
	all[at] = m
	x.models[h.Model] = all
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
	all := x.models[m.name]
	for i, o := range all {
		if o == m {
			x.models[m.name] = append(all[:i], all[i+1:]...)
			return
		}
	}
}

func (m *Model) ensureGroup(h LoadedRange) *Group {
	at := sort.Search(len(m.groups), func(i int) bool {
		l := m.groups[i].layers
		return l.From() > h.Layers.From() || (l.From() == h.Layers.From() && l.To() >= h.Layers.To())
	})
	if at < len(m.groups) && m.groups[at].layers == h.Layers {
		return m.groups[at]
	}
	g := &Group{model: m, layers: h.Layers, width: h.Width}
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
