package pick

import (
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
)

// RoundRobin takes the engines of each layer range in turn, regardless of their
// speed and load. It is a baseline for comparisons.
type RoundRobin struct {
	next map[*domain.Group]int
}

// Choose implements Chooser; the chain always fits.
func (n *RoundRobin) Choose(w *domain.RoutingState, r *domain.Request, query Query) (Choice, bool) {
	if n.next == nil {
		n.next = map[*domain.Group]int{}
	}
	return greedyChain(w, r, query, func(g *domain.Group) *domain.Engine {
		n.next[g]++
		return g.Engines()[n.next[g]%len(g.Engines())]
	})
}

// LeastLoaded takes the engine of each layer range with the fewest active and
// queued requests in its last report. It is a baseline for comparisons.
type LeastLoaded struct{}

// Choose implements Chooser; the chain always fits.
func (LeastLoaded) Choose(w *domain.RoutingState, r *domain.Request, query Query) (Choice, bool) {
	return greedyChain(w, r, query, func(g *domain.Group) *domain.Engine {
		var best *domain.Engine
		for _, e := range g.Engines() {
			if best == nil || e.Active+e.Queued < best.Active+best.Queued {
				best = e
			}
		}
		return best
	})
}

// greedyChain builds a chain from the first layer to the last. At each layer it
// uses the range that extends furthest.
func greedyChain(w *domain.RoutingState, r *domain.Request, query Query, selectEngine func(*domain.Group) *domain.Engine) (Choice, bool) {
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
		e := selectEngine(g)
		layers := spec.NewLayers(at, g.Layers().To())
		out.Plan.Chain = append(out.Plan.Chain, spec.NewStage(e.ID, layers))
		out.Plan.TokenTime += time.Duration(layers.Len())*e.PositiveLayerTime() + e.HopTime()
		out.Plan.NewEngines = append(out.Plan.NewEngines, e.ID)
		at = g.Layers().To()
	}
	out.Plan.FirstTokenTime = out.Plan.TokenTime * chunkCount(prefillPositions(r))
	out.Plan.TotalTime = out.Plan.FirstTokenTime + time.Duration(query.RemainingTokens)*out.Plan.TokenTime
	return out, true
}

func furthest(m *domain.Model, layer int) *domain.Group {
	var best *domain.Group
	for _, g := range m.Groups() {
		if g.Layers().Has(layer) && (best == nil || g.Layers().To() > best.Layers().To()) {
			best = g
		}
	}
	return best
}
