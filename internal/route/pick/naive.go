package pick

import (
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
)

// RoundRobin takes the engines of each layer range in turn, whatever their
// speed and load. It is the naive side of comparisons.
type RoundRobin struct {
	next map[*domain.Group]int
}

// Choose implements Chooser; the chain always fits.
func (n *RoundRobin) Choose(w *domain.RoutingState, r *domain.Request, ask Query) (Choice, bool) {
	if n.next == nil {
		n.next = map[*domain.Group]int{}
	}
	return greedyChain(w, r, ask, func(g *domain.Group) *domain.Engine {
		n.next[g]++
		return g.Engines()[n.next[g]%len(g.Engines())]
	})
}

// LeastLoaded takes the engine of each layer range with the least load in its last
// report, as queue length. It is the naive side of comparisons.
type LeastLoaded struct{}

// Choose implements Chooser; the chain always fits.
func (LeastLoaded) Choose(w *domain.RoutingState, r *domain.Request, ask Query) (Choice, bool) {
	return greedyChain(w, r, ask, func(g *domain.Group) *domain.Engine {
		var best *domain.Engine
		for _, e := range g.Engines() {
			if best == nil || e.Active+e.Queued < best.Active+best.Queued {
				best = e
			}
		}
		return best
	})
}

// greedyChain walks the layers from the first to the last, each time with the range
// that reaches furthest.
func greedyChain(w *domain.RoutingState, r *domain.Request, ask Query, pick func(*domain.Group) *domain.Engine) (Choice, bool) {
	versions := w.Engines().Index().Versions(r.Arrival().Model)
	if len(versions) == 0 {
		return Choice{}, false
	}
	m := versions[0]
	out := Choice{Fits: true, Plan: domain.Plan{Depth: m.Depth(), Version: m.Version()}}
	for at := 0; at < m.Depth(); {
		g := furthest(m, at)
		if g == nil {
			return Choice{}, false
		}
		e := pick(g)
		layers := spec.NewLayers(at, g.Layers().To())
		out.Plan.Chain = append(out.Plan.Chain, spec.NewStage(e.ID, layers))
		out.Plan.TokenTime += time.Duration(layers.Len())*e.PositiveLayerTime() + e.HopTime()
		out.Plan.NewEngines = append(out.Plan.NewEngines, e.ID)
		at = g.Layers().To()
	}
	out.Plan.FirstTokenTime = out.Plan.TokenTime * chunkCount(prefillPositions(r))
	out.Plan.TotalTime = out.Plan.FirstTokenTime + time.Duration(ask.RemainingTokens)*out.Plan.TokenTime
	return out, true
}

func furthest(m *domain.Model, at int) *domain.Group {
	var best *domain.Group
	for _, g := range m.Groups() {
		if g.Layers().Has(at) && (best == nil || g.Layers().To() > best.Layers().To()) {
			best = g
		}
	}
	return best
}
