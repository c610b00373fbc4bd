package admit

import (
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
)

const (
	// minUtilizationLimit is the lowest limit that is learned.
	minUtilizationLimit = 1.0
	// maxUtilizationLimit is the highest limit that is learned.
	maxUtilizationLimit = 1.8
	// initialUtilizationLimit is slightly above full utilization. The requests
	// of a chain wait for each other at times, and an engine planned at exactly
	// full utilization would be idle meanwhile.
	initialUtilizationLimit = 1.1
	// utilizationStep is by how much one answer within its target raises the
	// limit while requests wait for capacity.
	utilizationStep = 0.001
	// targetMissShare is the share of the misses allowed by a class's
	// percentage at which the limit settles.
	targetMissShare = 0.3
	// meanGapShare is the share of the limit between tokens that the mean gap
	// may use. Single gaps vary around the mean, and the target applies to
	// single gaps.
	meanGapShare = 0.65
)

// UtilizationLimits learns for each model up to which utilization engines may
// be planned. A higher limit uses the moments in which the requests of a chain
// wait for each other. This brings the throughput close to the bound, but makes
// each token slower.
//
// How high the limit may be depends on the targets, so it is learned from the
// answers. Each answer within its target raises it slightly while requests wait
// for capacity. Each miss lowers it by so much that both effects balance at a
// share of the misses that the percentage allows.
type UtilizationLimits struct {
	limits map[spec.ModelName]float64
}

// Limit returns the share of an engine's capacity up to which it takes new
// work.
func (u *UtilizationLimits) Limit(model spec.ModelName) float64 {
	if l, ok := u.limits[model]; ok {
		return l
	}
	return initialUtilizationLimit
}

// RecordAnswer records an answer that completed on its first chain.
// requestsWaiting reports whether requests for the model wait for capacity.
func (u *UtilizationLimits) RecordAnswer(r *domain.Request, ev domain.RequestFinished, requestsWaiting bool) {
	target := r.Class().Target()
	model := r.Arrival().Model
	limit := u.Limit(model)
	switch {
	case missedTarget(target, ev):
		allowed := max(0.001, 1-target.Percent()/100) * targetMissShare
		limit -= utilizationStep * (1 - allowed) / allowed
	case requestsWaiting:
		limit += utilizationStep
	}
	if u.limits == nil {
		u.limits = map[spec.ModelName]float64{}
	}
	u.limits[model] = min(max(limit, minUtilizationLimit), maxUtilizationLimit)
}

func missedTarget(target spec.Target, ev domain.RequestFinished) bool {
	if limit := target.FirstEvent(); limit > 0 && ev.FirstToken > limit {
		return true
	}
	if limit := target.TotalTime(); limit > 0 && ev.TotalTime > limit {
		return true
	}
	if limit := target.Gap(); limit > 0 && ev.Tokens > 1 {
		mean := (ev.TotalTime - ev.FirstToken) / time.Duration(ev.Tokens-1)
		return float64(mean) > meanGapShare*float64(limit)
	}
	return false
}
