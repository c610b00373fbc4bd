package admit

import (
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
)

const (
	minUtilizationLimit = 1.0
	maxUtilizationLimit = 1.8
	// initialUtilizationLimit is a little over full: requests in a chain wait for each other
	// now and then, and an engine that is planned just full would idle
	// meanwhile.
	initialUtilizationLimit = 1.1
	// utilizationStep is what one answer within its target adds while work waits.
	utilizationStep = 0.001
	// targetMissShare is the part of the misses that a class's percentage allows that the
	// filling settles at.
	targetMissShare = 0.3
	// meanGapShare is the part of the limit between tokens that the mean gap may
	// take: single gaps spread around it, and the target is on those.
	meanGapShare = 0.65
)

// UtilizationLimits finds per model how full engines may be planned. More fill hides the
// moments in which a chain's requests wait for each other and so brings
// throughput near the bound, but stretches each token; how far that may go
// depends on the targets, so the answers' own misses decide: each answer in
// time adds a little while work waits, each miss takes away so much that the
// two balance at a part of the misses that the percentage allows.
type UtilizationLimits struct {
	limits map[spec.ModelName]float64
}

// Limit is the part of an engine's capacity up to which it takes new work.
func (f *UtilizationLimits) Limit(model spec.ModelName) float64 {
	if l, ok := f.limits[model]; ok {
		return l
	}
	return initialUtilizationLimit
}

// RecordAnswer takes an answer that ran to its end on its first chain; full tells that
// work of the model waits for room.
func (f *UtilizationLimits) RecordAnswer(r *domain.Request, ev domain.RequestFinished, full bool) {
	target := r.Class().Target()
	model := r.Arrival().Model
	limit := f.Limit(model)
	switch {
	case missedTarget(target, ev):
		allowed := max(0.001, 1-target.Percent()/100) * targetMissShare
		limit -= utilizationStep * (1 - allowed) / allowed
	case full:
		limit += utilizationStep
	}
	if f.limits == nil {
		f.limits = map[spec.ModelName]float64{}
	}
	f.limits[model] = min(max(limit, minUtilizationLimit), maxUtilizationLimit)
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
