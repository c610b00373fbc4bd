package edge

import (
	"math/rand/v2"
	"time"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
)

// lagProbeTargets returns a sample of the engines that may be slow or are known to be.
func (r *router) lagProbeTargets() []site.Upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []site.Upstream
	for _, svc := range r.services {
		if svc.model == nil {
			continue
		}
		slow := svc.model.LocalSlowdowns(r.now())
		counts := svc.lagCounts()
		for _, up := range svc.model.Engines() {
			l := counts[up.ID]
			_, known := slow[up.ID]
			if !known && (l.lagging < minLaggingStreams || 2*l.lagging <= l.total) {
				continue
			}
			// A few instances are enough: they report the result to all others.
			if r.isSampled(lagProbers) {
				out = append(out, up)
			}
		}
	}
	return out
}

// isSampled reports whether this instance is among about n instances, chosen at random
// for each call, that act on behalf of all.
func (r *router) isSampled(n float64) bool {
	return rand.Float64() < n/float64(r.instanceCount())
}

// lagCount counts the streams that use an engine, and how many of them produce events
// much slower than predicted.
type lagCount struct{ lagging, total int }

// lagCounts returns the counts of all engines with streams; router.mu is held.
func (svc *serviceState) lagCounts() map[spec.UpstreamID]lagCount {
	out := map[spec.UpstreamID]lagCount{}
	for run, t := range svc.runs {
		gap := run.MeanEventGap()
		if gap == 0 {
			continue
		}
		predicted := svc.model.PredictStep(t.chain) * time.Duration(svc.model.Model.StepsPerPass)
		lagging := gap >= minLaggingGap && float64(gap) >= laggingFactor*float64(predicted)
		for _, stage := range t.chain {
			l := out[stage.Engine()]
			l.total++
			if lagging {
				l.lagging++
			}
			out[stage.Engine()] = l
		}
	}
	return out
}
