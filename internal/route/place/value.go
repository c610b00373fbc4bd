package place

import (
	"slices"

	"fulmarwick/internal/base/spec"
)

const (
	// closeEnough ends the search for the rate.
	closeEnough = 1e-9
	// maxCuts bounds it; each cut lowers the rate, and few are needed.
	maxCuts = 60
)

// value is what a layout is worth.
type value struct {
	// rate is the multiple of the demands that it can serve.
	rate float64
	// tight are the stretches that hold the rate back; idle says which units
	// could do more.
	tight []span
	idle  []bool
	// shares are what each unit runs of each stretch at that rate, in
	// layer-tokens a second.
	shares []share
}

type share struct {
	unit int
	span
	amount float64
}

// solver finds rates; it keeps its buffers.
type solver struct {
	p         *problem
	net       network
	stretches []span
	inner     []inner
}

// inner is the edge from a unit to a stretch that it holds.
type inner struct {
	unit int
	span
	edge int
}

// solve finds the highest rate at which every stretch gets what it needs. It
// starts above it; each minimum cut that is too small names stretches and all
// that can serve them, hence a lower rate, until the flow fits.
func (s *solver) solve(l layout) value {
	s.cut(l)
	out := value{rate: s.p.bound(), idle: make([]bool, len(s.p.units))}
	for range maxCuts {
		need := s.build(l, out.rate)
		got := s.net.run(0, 1)
		if got >= need*(1-closeEnough) || need == 0 {
			break
		}
		rate := s.lower(&out)
		if rate >= out.rate*(1-closeEnough) {
			break
		}
		out.rate = rate
		if rate == 0 {
			break
		}
	}
	out.shares = s.flows()
	return out
}

// cut sets the stretches of the layout: between two neighbours the holders
// are the same.
func (s *solver) cut(l layout) {
	s.stretches = s.stretches[:0]
	for m, model := range s.p.models {
		bounds := []int{0, model.Depth}
		for _, spans := range l {
			for _, sp := range spans {
				if sp.model == m {
					bounds = append(bounds, sp.from, sp.to)
				}
			}
		}
		slices.Sort(bounds)
		bounds = slices.Compact(bounds)
		for i := 0; i+1 < len(bounds); i++ {
			s.stretches = append(s.stretches, span{model: m, from: bounds[i], to: bounds[i+1]})
		}
	}
}

// build makes the network: 0 is the source, 1 the sink, then the units, then
// the stretches. It returns what the stretches need at the rate.
func (s *solver) build(l layout, rate float64) float64 {
	first := 2 + len(s.p.units)
	s.net.reset(first + len(s.stretches))
	need, total := 0.0, 0.0
	for i, st := range s.stretches {
		n := rate * s.p.models[st.model].Demand * float64(st.len())
		s.net.edge(first+i, 1, n)
		need += n
	}
	s.inner = s.inner[:0]
	for u, spans := range l {
		unit := s.p.units[u]
		s.net.edge(0, 2+u, unit.rate)
		total += unit.rate
		for _, sp := range spans {
			s.join(u, sp, first)
		}
	}
	s.net.eps = closeEnough * min(need, total) / float64(1+len(s.stretches))
	return need
}

func (s *solver) join(u int, sp span, first int) {
	pass := s.p.pass(s.p.units[u], sp.model)
	at, _ := slices.BinarySearchFunc(s.stretches, sp, func(st, sp span) int {
		if st.model != sp.model {
			return st.model - sp.model
		}
		return st.from - sp.from
	})
	for ; at < len(s.stretches) && s.stretches[at].model == sp.model && s.stretches[at].to <= sp.to; at++ {
		st := s.stretches[at]
		capacity := unbounded
		if pass < unbounded {
			capacity = pass * float64(st.len())
		}
		edge := s.net.edge(2+u, first+at, capacity)
		s.inner = append(s.inner, inner{unit: u, span: st, edge: edge})
	}
}

// lower reads the minimum cut and returns the rate that it allows.
func (s *solver) lower(out *value) float64 {
	first := 2 + len(s.p.units)
	room, per := 0.0, 0.0
	out.tight = out.tight[:0]
	for i, st := range s.stretches {
		if s.net.level[first+i] < 0 {
			per += s.p.models[st.model].Demand * float64(st.len())
			out.tight = append(out.tight, st)
		}
	}
	for u, unit := range s.p.units {
		out.idle[u] = s.net.level[2+u] >= 0
		if !out.idle[u] {
			room += unit.rate
			continue
		}
		for e := s.net.head[2+u]; e >= 0; e = s.net.next[e] {
			if e%2 == 0 && s.net.level[s.net.to[e]] < 0 {
				room += s.net.left[e] + s.net.left[e^1]
			}
		}
	}
	if per == 0 {
		return 0
	}
	return room / per
}

// flows reads what each unit runs.
func (s *solver) flows() []share {
	var out []share
	for _, in := range s.inner {
		if f := s.net.left[in.edge^1]; f > s.net.eps {
			out = append(out, share{unit: in.unit, span: in.span, amount: f})
		}
	}
	return out
}

// Share is how much of a stretch of layers an engine runs at the best rate.
type Share struct {
	Engine  spec.UpstreamID
	Model   spec.ModelName
	Version string
	Layers  spec.Layers
	// Rate is in tokens a second.
	Rate float64
}

func (p *problem) shares(v value) []Share {
	out := make([]Share, 0, len(v.shares))
	for _, s := range v.shares {
		m := p.models[s.model]
		out = append(out, Share{
			Engine: p.units[s.unit].id, Model: m.Name, Version: m.Version,
			Layers: spec.NewLayers(s.from, s.to), Rate: s.amount / float64(s.len()),
		})
	}
	return out
}
