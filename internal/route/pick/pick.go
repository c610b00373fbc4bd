// Package pick chooses the chain of engines for a request by predicted finish.
//
// It imports base/spec and route/world. Package core calls it for requests
// that were admitted or whose stage was lost.
package pick

import (
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/world"
)

// Choice is a chain for a request with its predicted cost.
type Choice struct {
	Chain spec.Chain
	Depth int
	// Token is the predicted time for one token through the whole chain.
	Token time.Duration
}

// Choose returns the chain with the least predicted time for a token that
// covers the request's model and avoids the engines that it lost. It reports
// false if no set of serving engines covers the model.
//
// The search is a shortest path over layer boundaries: an engine that holds
// [from, to) may run any [from, end) within it, so overlaps are trimmed.
func Choose(w *world.World, r *world.Request) (Choice, bool) {
	holds := usable(w, r)
	if len(holds) == 0 {
		return Choice{}, false
	}
	depth := holds[0].hold.Depth
	best := make([]step, depth+1)
	best[0].ok = true
	for at := 0; at < depth; at++ {
		if best[at].ok {
			extend(best, holds, at)
		}
	}
	if !best[depth].ok {
		return Choice{}, false
	}
	return trace(best, depth), true
}

type offer struct {
	engine *world.Engine
	hold   world.Hold
}

type step struct {
	ok     bool
	cost   time.Duration
	prev   int
	engine spec.UpstreamID
}

func usable(w *world.World, r *world.Request) []offer {
	var out []offer
	for _, e := range w.Engines().Rows() {
		if e.State() != world.StateServing || lost(r, e.ID) {
			continue
		}
		for _, h := range e.Holds {
			if h.Model == r.Arrived().Model {
				out = append(out, offer{engine: e, hold: h})
			}
		}
	}
	return out
}

func lost(r *world.Request, id spec.UpstreamID) bool {
	for _, l := range r.Lost() {
		if l == id {
			return true
		}
	}
	return false
}

func extend(best []step, holds []offer, at int) {
	for _, o := range holds {
		if !o.hold.Layers.Has(at) {
			continue
		}
		for end := at + 1; end <= o.hold.Layers.To(); end++ {
			cost := best[at].cost + tokenTime(o.engine, end-at)
			if !best[end].ok || cost < best[end].cost {
				best[end] = step{ok: true, cost: cost, prev: at, engine: o.engine.ID}
			}
		}
	}
}

// tokenTime is the predicted time of a token through n layers of e.
func tokenTime(e *world.Engine, n int) time.Duration {
	slots := max(1, e.Slots)
	load := max(e.Active+e.Queued, e.Own())
	waves := time.Duration(1 + load/slots)
	return e.Hop + waves*time.Duration(n)*e.Layer
}

func trace(best []step, depth int) Choice {
	var back []spec.Stage
	for at := depth; at > 0; at = best[at].prev {
		back = append(back, spec.NewStage(best[at].engine, spec.NewLayers(best[at].prev, at)))
	}
	chain := make(spec.Chain, 0, len(back))
	for i := len(back) - 1; i >= 0; i-- {
		chain = append(chain, back[i])
	}
	return Choice{Chain: chain, Depth: depth, Token: best[depth].cost}
}
