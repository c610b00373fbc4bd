// Package admit decides whether a request can meet the target of its class and,
// if not, when its caller should retry.
//
// It imports base and route/domain. Package core calls it when a request
// arrives and again before each start from the queue.
package admit

import (
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
)

// DefaultMaxWait is how long a request may wait if its class limits neither the
// first token nor the whole answer.
const DefaultMaxWait = 30 * time.Second

// Estimate is the prediction for a request.
type Estimate struct {
	// Elapsed is the time since the request arrived.
	Elapsed time.Duration
	// RemainingWait is how long the request must still wait.
	RemainingWait time.Duration
	Plan          domain.Plan
}

// TargetMiss returns by how much the estimate misses the target, and false if
// the estimate meets it. The margin scales the prediction up so that the
// percentage of requests that the class requires meets the target.
func TargetMiss(target spec.Target, m Margin, e Estimate) (time.Duration, bool) {
	delay := e.Elapsed + e.RemainingWait
	first := scaleDuration(e.Plan.FirstTokenTime, m.First)
	token := scaleDuration(e.Plan.TokenTime, m.Token)
	total := first + scaleDuration(e.Plan.TotalTime-e.Plan.FirstTokenTime, m.Token)
	excess := time.Duration(0)
	if limit := target.FirstEvent(); limit > 0 {
		excess = max(excess, delay+first-limit)
	}
	if limit := target.TotalTime(); limit > 0 {
		excess = max(excess, delay+total-limit)
	}
	if target.FirstEvent() == 0 && target.TotalTime() == 0 {
		excess = max(excess, delay-DefaultMaxWait)
	}
	if limit := target.Gap(); limit > 0 && token > limit {
		excess = max(excess, token-limit)
	}
	return excess, excess > 0
}

// LatestStart returns the latest time at which a request that arrived at
// arrivedAt can start and still meet the target.
func LatestStart(target spec.Target, m Margin, arrivedAt time.Duration, plan domain.Plan) time.Duration {
	latest := arrivedAt + DefaultMaxWait
	first := scaleDuration(plan.FirstTokenTime, m.First)
	if limit := target.FirstEvent(); limit > 0 {
		latest = min(latest, arrivedAt+limit-first)
	}
	if limit := target.TotalTime(); limit > 0 {
		latest = min(latest, arrivedAt+limit-first-scaleDuration(plan.TotalTime-plan.FirstTokenTime, m.Token))
	}
	return latest
}

func scaleDuration(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// RetryAfter returns how long a rejected caller should wait before it retries.
// This is the time by which the target was missed, with jitter from a random
// number in [0, 1), so that callers rejected together don't retry together.
func RetryAfter(excess time.Duration, random float64) time.Duration {
	return min(scaleDuration(max(excess, minRetryAfter), 1+random/2), maxRetryAfter)
}
