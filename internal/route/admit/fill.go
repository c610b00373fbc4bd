package admit

import (
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/world"
)

const (
	fillLeast = 1.0
	fillMost  = 1.8
	// fillStart is a little over full: requests in a chain wait for each other
	// now and then, and an engine that is planned just full would idle
	// meanwhile.
	fillStart = 1.1
	// fillUp is what one answer within its target adds while work waits.
	fillUp = 0.001
	// aim is the part of the misses that a class's percentage allows that the
	// filling settles at.
	aim = 0.3
	// gapPart is the part of the limit between tokens that the mean gap may
	// take: single gaps spread around it, and the target is on those.
	gapPart = 0.65
)

// Fill finds per model how full engines may be planned. More fill hides the
// moments in which a chain's requests wait for each other and so brings
// throughput near the bound, but stretches each token; how far that may go
// depends on the targets, so the answers' own misses decide: each answer in
// time adds a little while work waits, each miss takes away so much that the
// two balance at a part of the misses that the percentage allows.
type Fill struct {
	limits map[spec.ModelName]float64
}

// Limit is the part of an engine's capacity up to which it takes new work.
func (f *Fill) Limit(model spec.ModelName) float64 {
	if l, ok := f.limits[model]; ok {
		return l
	}
	return fillStart
}

// Saw takes an answer that ran to its end on its first chain; full tells that
// work of the model waits for room.
func (f *Fill) Saw(r *world.Request, ev world.Finished, full bool) {
	target := r.Class().Target()
	model := r.Arrived().Model
	limit := f.Limit(model)
	switch {
	case missed(target, ev):
		allowed := max(0.001, 1-target.Percent()/100) * aim
		limit -= fillUp * (1 - allowed) / allowed
	case full:
		limit += fillUp
	}
	if f.limits == nil {
		f.limits = map[spec.ModelName]float64{}
	}
	f.limits[model] = min(max(limit, fillLeast), fillMost)
}

func missed(target spec.Target, ev world.Finished) bool {
	if limit := target.FirstEvent(); limit > 0 && ev.First > limit {
		return true
	}
	if limit := target.TotalTime(); limit > 0 && ev.Whole > limit {
		return true
	}
	if limit := target.Gap(); limit > 0 && ev.Tokens > 1 {
		mean := (ev.Whole - ev.First) / time.Duration(ev.Tokens-1)
		return float64(mean) > gapPart*float64(limit)
	}
	return false
}
