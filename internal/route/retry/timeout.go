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
	// observedFactor is the timeout as a multiple of the observed percentile.
	observedFactor = 3
	// predictedFactor is the timeout as a multiple of the predicted time
	// while there are too few observations.
	predictedFactor = 8
	ratioPercentile = 99
)

// TimeoutEstimator learns for each class how much longer steps take than
// predicted, and derives step timeouts from it. It stores ratios of observed
// to predicted times, so that observations on slow engines do not lengthen
// the timeouts on fast ones.
type TimeoutEstimator struct {
	classes map[spec.ClassName]*classRatios
}

type classRatios struct {
	step, prefill hist.Ratios
}

// Observe records the times of an answer that ran on one chain to its end.
func (e *TimeoutEstimator) Observe(r *domain.Request, ev domain.RequestFinished) {
	plan := r.Plan()
	if plan.TokenTime <= 0 || plan.FirstTokenTime <= 0 || ev.LongestGap <= 0 {
		return
	}
	if e.classes == nil {
		e.classes = map[spec.ClassName]*classRatios{}
	}
	class := r.Arrival().Class
	ratios := e.classes[class]
	if ratios == nil {
		ratios = &classRatios{}
		e.classes[class] = ratios
	}
	ratios.step.Add(float64(ev.LongestGap) / float64(plan.TokenTime))
	ratios.prefill.Add(float64(ev.FirstToken-(r.StartedAt()-r.ArrivedAt())) / float64(plan.FirstTokenTime))
}

// RetainClasses removes the observations of classes that are no longer
// configured.
func (e *TimeoutEstimator) RetainClasses(classes []spec.Class) {
	kept := map[spec.ClassName]*classRatios{}
	for _, c := range classes {
		if ratios := e.classes[c.Name()]; ratios != nil {
			kept[c.Name()] = ratios
		}
	}
	e.classes = kept
}

// minStepTimeout returns the shortest timeout for a step. It is longer than
// the stall of a busy host. For a class with a tight gap target it is
// shorter, so that a stage behind a degraded link, which misses the target
// with each token, is replaced.
func minStepTimeout(target spec.Target) time.Duration {
	if target.Gap() <= 0 {
		return defaultMinStepTimeout
	}
	return min(max(minStepTimeoutWithGap, gapFactor*target.Gap()), defaultMinStepTimeout)
}

// Timeouts returns how long to wait for the steps of a request that starts
// with plan. If the last loss was a timeout, the result doubles for each
// failed engine: if steps are slow rather than lost, retrying after the same
// time would only repeat the work.
func (e *TimeoutEstimator) Timeouts(r *domain.Request, plan domain.Plan) Timeouts {
	stepFactor, prefillFactor := float64(predictedFactor), float64(predictedFactor)
	if ratios := e.classes[r.Arrival().Class]; ratios != nil {
		stepFactor, prefillFactor = timeoutFactor(&ratios.step), timeoutFactor(&ratios.prefill)
	}
	timeouts := Timeouts{
		Step:    max(minStepTimeout(r.Class().Target()), time.Duration(stepFactor*float64(plan.MaxStepTime))),
		Prefill: max(minPrefillTimeout, time.Duration(prefillFactor*float64(plan.MaxPrefillTime))),
	}
	if r.LossCause() == domain.CauseTimeout && r.Attempt() > 0 {
		shift := min(r.FailureCount(), 5)
		timeouts.Step <<= shift
		timeouts.Prefill <<= shift
	}
	timeouts.Step = min(timeouts.Step, maxStepTimeout)
	timeouts.Prefill = min(timeouts.Prefill, maxPrefillTimeout)
	return timeouts
}

func timeoutFactor(ratios *hist.Ratios) float64 {
	if ratio, ok := ratios.Percentile(ratioPercentile); ok {
		return observedFactor * max(1, ratio)
	}
	return predictedFactor
}
