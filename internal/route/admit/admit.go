// Package admit says whether a request can meet the target of its class, and
// if not, when its caller should try again.
//
// It imports base and route/domain. Package core asks
// it at arrival and again before each start from the queue.
package admit

import (
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
)

// DefaultMaxWait is how long a request whose class has no limit on the first token
// or the whole answer may wait.
const DefaultMaxWait = 30 * time.Second

// Estimate is what is predicted for a request.
type Estimate struct {
	// Elapsed is the time since it came, Wait how long it must wait still.
	Elapsed       time.Duration
	RemainingWait time.Duration
	Plan          domain.Plan
}

// TargetMiss returns by how much the estimate misses the target, and false if it
// holds. The margin widens what was predicted so that the class's percentage
// of requests holds it.
func TargetMiss(target spec.Target, m Margin, e Estimate) (time.Duration, bool) {
	before := e.Elapsed + e.RemainingWait
	first := scaleDuration(e.Plan.FirstTokenTime, m.First)
	token := scaleDuration(e.Plan.TokenTime, m.Token)
	whole := first + scaleDuration(e.Plan.TotalTime-e.Plan.FirstTokenTime, m.Token)
	over := time.Duration(0)
	if limit := target.FirstEvent(); limit > 0 {
		over = max(over, before+first-limit)
	}
	if limit := target.TotalTime(); limit > 0 {
		over = max(over, before+whole-limit)
	}
	if target.FirstEvent() == 0 && target.TotalTime() == 0 {
		over = max(over, before-DefaultMaxWait)
	}
	if limit := target.Gap(); limit > 0 && token > limit {
		over = max(over, token-limit)
	}
	return over, over > 0
}

// LatestStart is when a request that came at must start for the target to hold.
func LatestStart(target spec.Target, m Margin, at time.Duration, plan domain.Plan) time.Duration {
	last := at + DefaultMaxWait
	first := scaleDuration(plan.FirstTokenTime, m.First)
	if limit := target.FirstEvent(); limit > 0 {
		last = min(last, at+limit-first)
	}
	if limit := target.TotalTime(); limit > 0 {
		last = min(last, at+limit-first-scaleDuration(plan.TotalTime-plan.FirstTokenTime, m.Token))
	}
	return last
}

func scaleDuration(d time.Duration, by float64) time.Duration {
	return time.Duration(float64(d) * by)
}

const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// RetryAfter is what a refused caller is told to wait: the time by which the target
// was missed, spread by a draw in [0, 1) so that callers refused together do
// not come back together.
func RetryAfter(over time.Duration, draw float64) time.Duration {
	return min(scaleDuration(max(over, minRetryAfter), 1+draw/2), maxRetryAfter)
}
