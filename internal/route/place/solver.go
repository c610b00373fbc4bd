package place

import (
	"slices"

	"fulmarwick/internal/base/spec"
)

const (
	// relativeTolerance is the relative precision at which the search for the
	// rate ends.
	relativeTolerance = 1e-9
	// maxCutIterations limits the search for the rate. Each cut lowers the
	// rate, and few cuts are needed.
	maxCutIterations = 60
)

// evaluation is the rate of a layout and what limits it.
type evaluation struct {
	// rate is the multiple of the demands that the layout can serve.
	rate float64
	// bottlenecks are the segments that limit the rate.
	bottlenecks []span
	// underused marks the units that could run more work.
	underused []bool
	// shares is how much of each segment each unit runs at that rate, in
	// layer-tokens a second.
	shares []unitShare
}

type unitShare struct {
	unit int
	span
	work float64
}

// solver computes the rates of layouts. It reuses its buffers.
type solver struct {
	problem   *problem
	net       network
	segments  []span
	unitEdges []unitEdge
}

// unitEdge is the network edge from a unit to a segment that it holds.
type unitEdge struct {
	unit int
	span
	edge int
}

// solve finds the highest rate at which every segment gets the work it needs.
// It starts at an upper bound. While the flow is too small, the minimum cut
// names a set of segments and the total capacity of the units that can serve
// them. This gives a lower rate for the next iteration.
func (s *solver) solve(l layout) evaluation {
	s.splitSegments(l)
	out := evaluation{rate: s.problem.rateBound(), underused: make([]bool, len(s.problem.units))}
	for range maxCutIterations {
		need := s.buildNetwork(l, out.rate)
		got := s.net.maxFlow(0, 1)
		if got >= need*(1-relativeTolerance) || need == 0 {
			break
		}
		rate := s.rateFromCut(&out)
		if rate >= out.rate*(1-relativeTolerance) {
			break
		}
		out.rate = rate
		if rate == 0 {
			break
		}
	}
	out.shares = s.readShares()
	return out
}

// splitSegments splits the models into segments, at each layer where a span
// begins or ends. All layers of a segment have the same holders.
func (s *solver) splitSegments(l layout) {
	s.segments = s.segments[:0]
	for m, model := range s.problem.models {
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
			s.segments = append(s.segments, span{model: m, from: bounds[i], to: bounds[i+1]})
		}
	}
}

// buildNetwork builds the flow network: node 0 is the source, node 1 the sink,
// followed by the units and then the segments. It returns the total work that
// the segments need at the rate.
func (s *solver) buildNetwork(l layout, rate float64) float64 {
	first := 2 + len(s.problem.units)
	s.net.reset(first + len(s.segments))
	need, total := 0.0, 0.0
	for i, st := range s.segments {
		n := rate * s.problem.models[st.model].Demand * float64(st.len())
		s.net.addEdge(first+i, 1, n)
		need += n
	}
	s.unitEdges = s.unitEdges[:0]
	for u, spans := range l {
		unit := s.problem.units[u]
		s.net.addEdge(0, 2+u, unit.rate)
		total += unit.rate
		for _, sp := range spans {
			s.connectUnit(u, sp, first)
		}
	}
	s.net.eps = relativeTolerance * min(need, total) / float64(1+len(s.segments))
	return need
}

func (s *solver) connectUnit(u int, sp span, first int) {
	linkRate := s.problem.linkRate(s.problem.units[u], sp.model)
	at, _ := slices.BinarySearchFunc(s.segments, sp, func(st, sp span) int {
		if st.model != sp.model {
			return st.model - sp.model
		}
		return st.from - sp.from
	})
	for ; at < len(s.segments) && s.segments[at].model == sp.model && s.segments[at].to <= sp.to; at++ {
		st := s.segments[at]
		capacity := unbounded
		if linkRate < unbounded {
			capacity = linkRate * float64(st.len())
		}
		edge := s.net.addEdge(2+u, first+at, capacity)
		s.unitEdges = append(s.unitEdges, unitEdge{unit: u, span: st, edge: edge})
	}
}

// rateFromCut reads the bottlenecks and the underused units from the minimum
// cut and returns the rate that the cut allows.
func (s *solver) rateFromCut(out *evaluation) float64 {
	first := 2 + len(s.problem.units)
	capacity, demand := 0.0, 0.0
	out.bottlenecks = out.bottlenecks[:0]
	for i, st := range s.segments {
		if s.net.level[first+i] < 0 {
			demand += s.problem.models[st.model].Demand * float64(st.len())
			out.bottlenecks = append(out.bottlenecks, st)
		}
	}
	for u, unit := range s.problem.units {
		out.underused[u] = s.net.level[2+u] >= 0
		if !out.underused[u] {
			capacity += unit.rate
			continue
		}
		for e := s.net.firstEdge[2+u]; e >= 0; e = s.net.nextEdge[e] {
			if e%2 == 0 && s.net.level[s.net.edgeTarget[e]] < 0 {
				capacity += s.net.residual[e] + s.net.residual[e^1]
			}
		}
	}
	if demand == 0 {
		return 0
	}
	return capacity / demand
}

// readShares reads from the flow how much work each unit runs on each segment.
func (s *solver) readShares() []unitShare {
	var out []unitShare
	for _, e := range s.unitEdges {
		if f := s.net.residual[e.edge^1]; f > s.net.eps {
			out = append(out, unitShare{unit: e.unit, span: e.span, work: f})
		}
	}
	return out
}

// Share is how much of a segment of layers an engine runs at the best rate.
type Share struct {
	Engine  spec.UpstreamID
	Model   spec.ModelName
	Version string
	Layers  spec.Layers
	// Rate is in tokens a second.
	Rate float64
}

func (p *problem) shares(v evaluation) []Share {
	out := make([]Share, 0, len(v.shares))
	for _, s := range v.shares {
		m := p.models[s.model]
		out = append(out, Share{
			Engine: p.units[s.unit].id, Model: m.Name, Version: m.Version,
			Layers: spec.NewLayers(s.from, s.to), Rate: s.work / float64(s.len()),
		})
	}
	return out
}
