package retry

import (
	"time"

	"fulmarwick/internal/base/hist"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
)

const (
	defaultMinStepTimeout = 500 * time.Millisecond
	minStepTimeoutWithGap = 250 * time.Millisecond
	gapFactor             = 2
	maxStepTimeout        = 10 * time.Second
	minPrefillTimeout     = time.Second
	maxPrefillTimeout     = 60 * time.Second
	// observedFactor is the patience over the quantile of what was seen, unseen the
	// same over the prediction while too little was seen.
	observedFactor  = 3
	predictedFactor = 8
	ratioPercentile = 99
)

// TimeoutEstimator learns per class how much longer than predicted steps take, and
// from it how long the wire should wait for one. It is kept as a ratio, so that
// what is learnt on slow engines does not make callers on fast ones wait.
type TimeoutEstimator struct {
	classes map[spec.ClassName]*classRatios
}

type classRatios struct {
	step, prefill hist.Ratios
}

// Observe notes an answer that ran on one chain to its end.
func (p *TimeoutEstimator) Observe(r *domain.Request, ev domain.RequestFinished) {
	plan := r.Plan()
	if plan.TokenTime <= 0 || plan.FirstTokenTime <= 0 || ev.LongestGap <= 0 {
		return
	}
	if p.classes == nil {
		p.classes = map[spec.ClassName]*classRatios{}
	}
	class := r.Arrival().Class
	s := p.classes[class]
	if s == nil {
		s = &classRatios{}
		p.classes[class] = s
	}
	s.step.Add(float64(ev.LongestGap) / float64(plan.TokenTime))
	s.prefill.Add(float64(ev.FirstToken-(r.StartedAt()-r.ArrivedAt())) / float64(plan.FirstTokenTime))
}

// RetainClasses drops what was learnt for classes that are no longer in force.
func (p *TimeoutEstimator) RetainClasses(classes []spec.Class) {
	kept := map[spec.ClassName]*classRatios{}
	for _, c := range classes {
		if s := p.classes[c.Name()]; s != nil {
			kept[c.Name()] = s
		}
	}
	p.classes = kept
}

// minStepTimeout is the shortest patience for a step: longer than the stall of a busy
// host, but not so long that a class with a tight gap keeps a stage behind a
// degraded link that breaks its target with each token.
func minStepTimeout(target spec.Target) time.Duration {
	if target.Gap() <= 0 {
		return defaultMinStepTimeout
	}
	return min(max(minStepTimeoutWithGap, gapFactor*target.Gap()), defaultMinStepTimeout)
}

// Timeouts is how long to wait for the steps of a request that starts by plan.
// Each timeout that the request met doubles it: where a step is slow and not
// lost, trying again just as soon would only repeat the work.
func (p *TimeoutEstimator) Timeouts(r *domain.Request, plan domain.Plan) Timeouts {
	step, prefill := float64(predictedFactor), float64(predictedFactor)
	if s := p.classes[r.Arrival().Class]; s != nil {
		step, prefill = timeoutFactor(&s.step), timeoutFactor(&s.prefill)
	}
	out := Timeouts{
		Step:    max(minStepTimeout(r.Class().Target()), time.Duration(step*float64(plan.MaxStepTime))),
		Prefill: max(minPrefillTimeout, time.Duration(prefill*float64(plan.MaxPrefillTime))),
	}
	if r.LossCause() == domain.CauseTimeout && r.Attempt() > 0 {
		shift := min(len(r.FailedEngines()), 5)
		out.Step <<= shift
		out.Prefill <<= shift
	}
	out.Step = min(out.Step, maxStepTimeout)
	out.Prefill = min(out.Prefill, maxPrefillTimeout)
	return out
}

func timeoutFactor(r *hist.Ratios) float64 {
	if ratio, ok := r.Percentile(ratioPercentile); ok {
		return observedFactor * max(1, ratio)
	}
	return predictedFactor
}
