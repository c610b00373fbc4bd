package edge

import (
	"math/rand/v2"
	"time"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
)

// lagProbeTargets are the engines that may be slow, and those that are.
func (r *router) lagProbeTargets() []site.Upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []site.Upstream
	for _, g := range r.services {
		if g.model == nil {
			continue
		}
		slow := g.model.LocalSlowdowns(r.now())
		lags := g.lagCounts()
		for _, up := range g.model.Engines() {
			l := lags[up.ID]
			_, known := slow[up.ID]
			if !known && (l.lagging < minLaggingStreams || 2*l.lagging <= l.total) {
				continue
			}
			// What one instance learns all others are told.
			if r.isSampled(lagProbers) {
				out = append(out, up)
			}
		}
	}
	return out
}

// isSampled reports whether this instance is among so many that do what one would do
// for all; others are the next time.
func (r *router) isSampled(n float64) bool {
	return rand.Float64() < n/float64(r.instanceCount())
}

// lagCount counts the streams that pass an engine, and those of them that make
// events much slower than predicted.
type lagCount struct{ lagging, total int }

func (g *serviceState) lagCounts() map[spec.UpstreamID]lagCount {
	out := map[spec.UpstreamID]lagCount{}
	for f, t := range g.runs {
		gap := f.MeanEventGap()
		if gap == 0 {
			continue
		}
		predicted := g.model.PredictStep(t.chain) * time.Duration(g.model.Model.StepsPerPass)
		late := gap >= minLaggingGap && float64(gap) >= laggingFactor*float64(predicted)
		for _, stage := range t.chain {
			l := out[stage.Engine()]
			l.total++
			if late {
				l.lagging++
			}
			out[stage.Engine()] = l
		}
	}
	return out
}
