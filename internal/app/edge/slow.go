package edge

import (
	"math/rand/v2"
	"time"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
)

// laggards are the engines that may be slow, and those that are.
func (r *router) laggards() []site.Upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []site.Upstream
	for _, g := range r.groups {
		if g.model == nil {
			continue
		}
		slow := g.model.Slow(r.now())
		lags := g.lags()
		for _, up := range g.model.Engines() {
			l := lags[up.ID]
			_, known := slow[up.ID]
			if !known && (l.late < lagStreams || 2*l.late <= l.all) {
				continue
			}
			// What one instance learns all others are told.
			if r.isOneOf(lagAskers) {
				out = append(out, up)
			}
		}
	}
	return out
}

// isOneOf reports whether this instance is among so many that do what one would do
// for all; others are the next time.
func (r *router) isOneOf(n float64) bool {
	return rand.Float64() < n/float64(r.instances())
}

// lag counts the streams that pass an engine, and those of them that make
// events much slower than predicted.
type lag struct{ late, all int }

func (g *group) lags() map[spec.UpstreamID]lag {
	out := map[spec.UpstreamID]lag{}
	for f, t := range g.flights {
		gap := f.Gap()
		if gap == 0 {
			continue
		}
		predicted := g.model.Step(t.chain) * time.Duration(g.model.Model.Stride)
		late := gap >= lagLeast && float64(gap) >= lagging*float64(predicted)
		for _, stage := range t.chain {
			l := out[stage.Engine()]
			l.all++
			if late {
				l.late++
			}
			out[stage.Engine()] = l
		}
	}
	return out
}
