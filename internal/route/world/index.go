package world

import (
	"sort"

	"fulmarwick/internal/base/spec"
)

// Index finds the engines of a model by the layer ranges that they hold. It
// changes only when an engine's holds, speed or state do, so that choosing
// among thousands of engines never reads them all.
type Index struct {
	models map[spec.ModelName][]*Model
	names  []spec.ModelName
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
	model   *Model
	layers  spec.Layers
	width   int
	engines []*Engine
	cum     []int64
	stale   bool
	cap     int64
	draw    int64
	freed   [freedLen]*Engine
	next    int
}

const freedLen = 4

// Versions are the versions of the model that engines hold, in order.
func (x *Index) Versions(name spec.ModelName) []*Model { return x.models[name] }

// Names are the models that engines ever held, in order of appearance.
func (x *Index) Names() []spec.ModelName { return x.names }

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
func (m *Model) Capacity() float64 { return m.least(func(g *Group) int64 { return g.cap }) }

// Used estimates how many tokens a second the engines make now. An engine
// that holds several models counts its whole draw for each.
func (m *Model) Used() float64 {
	sum := int64(0)
	for _, g := range m.groups {
		sum += g.draw
	}
	return float64(max(0, sum)) / float64(max(1, m.depth))
}

// Free estimates how many more tokens a second the engines can make when they
// are used up to the part limit of their capacity.
func (m *Model) Free(limit float64) float64 {
	return m.least(func(g *Group) int64 { return int64(limit*float64(g.cap)) - g.draw })
}

func (m *Model) least(of func(*Group) int64) float64 {
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

func (x *Index) link(e *Engine) {
	if e.state != StateServing {
		return
	}
	for _, h := range e.Holds {
		if h.Layers.Len() == 0 {
			continue
		}
		g := x.model(h).group(h)
		g.add(e)
		e.groups = append(e.groups, g)
	}
}

func (x *Index) unlink(e *Engine) {
	for _, g := range e.groups {
		g.drop(e)
		if len(g.engines) == 0 {
			x.prune(g)
		}
	}
	e.groups = nil
}

func (x *Index) model(h Hold) *Model {
	if x.models == nil {
		x.models = map[spec.ModelName][]*Model{}
	}
	all, seen := x.models[h.Model]
	if !seen {
		x.names = append(x.names, h.Model)
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

func (x *Index) prune(g *Group) {
	m := g.model
	for i, o := range m.groups {
		if o == g {
			m.groups = append(m.groups[:i], m.groups[i+1:]...)
			break
		}
	}
	m.bound()
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

func (m *Model) group(h Hold) *Group {
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
	m.bound()
	return g
}

func (m *Model) bound() {
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

func (g *Group) add(e *Engine) {
	at := sort.Search(len(g.engines), func(i int) bool { return g.engines[i].ID >= e.ID })
	g.engines = append(g.engines, nil)
	copy(g.engines[at+1:], g.engines[at:])
	g.engines[at] = e
	g.cap += e.Capacity()
	g.draw += e.Draw()
	g.stale = true
}

func (g *Group) drop(e *Engine) {
	for i, o := range g.engines {
		if o == e {
			g.engines = append(g.engines[:i], g.engines[i+1:]...)
			g.cap -= e.Capacity()
			g.draw -= e.Draw()
			break
		}
	}
	for i, o := range g.freed {
		if o == e {
			g.freed[i] = nil
		}
	}
	g.stale = true
}

func (g *Group) free(e *Engine) {
	for _, o := range g.freed {
		if o == e {
			return
		}
	}
	g.freed[g.next] = e
	g.next = (g.next + 1) % freedLen
}
