package retry

import (
	"time"

	"fulmarwick/internal/base/hist"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/world"
)

const (
	stepLeast    = 500 * time.Millisecond
	gapLeast     = 250 * time.Millisecond
	gapTimes     = 2
	stepMost     = 10 * time.Second
	prefillLeast = time.Second
	prefillMost  = 60 * time.Second
	// times is the patience over the quantile of what was seen, unseen the
	// same over the prediction while too little was seen.
	times    = 3
	unseen   = 8
	quantile = 99
)

// Patience learns per class how much longer than predicted steps take, and
// from it how long the wire should wait for one. It is kept as a ratio, so that
// what is learnt on slow engines does not make callers on fast ones wait.
type Patience struct {
	classes map[spec.ClassName]*seen
}

type seen struct {
	step, prefill hist.Ratios
}

// Saw notes an answer that ran on one chain to its end.
func (p *Patience) Saw(r *world.Request, ev world.Finished) {
	plan := r.Plan()
	if plan.Token <= 0 || plan.First <= 0 || ev.Gap <= 0 {
		return
	}
	if p.classes == nil {
		p.classes = map[spec.ClassName]*seen{}
	}
	class := r.Arrived().Class
	s := p.classes[class]
	if s == nil {
		s = &seen{}
		p.classes[class] = s
	}
	s.step.Add(float64(ev.Gap) / float64(plan.Token))
	s.prefill.Add(float64(ev.First-(r.Started()-r.At())) / float64(plan.First))
}

// Keep drops what was learnt for classes that are no longer in force.
func (p *Patience) Keep(classes []spec.Class) {
	kept := map[spec.ClassName]*seen{}
	for _, c := range classes {
		if s := p.classes[c.Name()]; s != nil {
			kept[c.Name()] = s
		}
	}
	p.classes = kept
}

// least is the shortest patience for a step: longer than the stall of a busy
// host, but not so long that a class with a tight gap keeps a stage behind a
// degraded link that breaks its target with each token.
func least(target spec.Target) time.Duration {
	if target.Gap() <= 0 {
		return stepLeast
	}
	return min(max(gapLeast, gapTimes*target.Gap()), stepLeast)
}

// Times is how long to wait for the steps of a request that starts by plan.
// Each timeout that the request met doubles it: where a step is slow and not
// lost, trying again just as soon would only repeat the work.
func (p *Patience) Times(r *world.Request, plan world.Plan) Times {
	step, prefill := float64(unseen), float64(unseen)
	if s := p.classes[r.Arrived().Class]; s != nil {
		step, prefill = limit(&s.step), limit(&s.prefill)
	}
	out := Times{
		Step:    max(least(r.Class().Target()), time.Duration(step*float64(plan.Step))),
		Prefill: max(prefillLeast, time.Duration(prefill*float64(plan.Prefill))),
	}
	if r.Cause() == world.CauseTimeout && r.Attempt() > 0 {
		shift := min(len(r.Lost()), 5)
		out.Step <<= shift
		out.Prefill <<= shift
	}
	out.Step = min(out.Step, stepMost)
	out.Prefill = min(out.Prefill, prefillMost)
	return out
}

func limit(r *hist.Ratios) float64 {
	if ratio, ok := r.Percentile(quantile); ok {
		return times * max(1, ratio)
	}
	return unseen
}
