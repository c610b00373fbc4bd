package bench

import (
	"time"

	"fulmarwick/internal/route/domain"
)

// armStepTimer sets the deadline of the running step. If the step does not end
// in time, its stage is lost with CauseTimeout.
func (r *run) armStepTimer(timeout time.Duration) {
	if timeout <= 0 {
		return
	}
	r.stepDeadline = r.sim.clock.now + timeout
	if !r.timerSet {
		r.timerSet = true
		r.sim.clock.after(timeout, r.stepTimerFired)
	}
}

// stepTimerFired reports a timeout, or waits again if the deadline has moved.
func (r *run) stepTimerFired() {
	r.timerSet = false
	if r.outcome != OutcomeOpen || r.awaitingStart || r.step == nil {
		return
	}
	if remaining := r.stepDeadline - r.sim.clock.now; remaining > 0 {
		r.timerSet = true
		r.sim.clock.after(remaining, r.stepTimerFired)
		return
	}
	r.sim.timeouts++
	r.loseStage(r.step.stage, domain.CauseTimeout)
}

// loseStage cancels the running step and reports the loss of a stage to the
// routing logic, which then starts another attempt or refuses the request.
func (r *run) loseStage(s *stage, cause domain.Cause) {
	if r.awaitingStart || r.outcome != OutcomeOpen {
		return
	}
	r.awaitingStart = true
	if r.step != nil {
		r.step.canceled = true
	}
	if r.faultAt > 0 && r.detection == 0 {
		r.detection = r.sim.clock.now - r.faultAt
	}
	r.instance.post(domain.StageLost{Request: r.arrival.Request, Attempt: r.attempt, Engine: s.spec.Engine(), Cause: cause, Tokens: r.tokens})
}

// finish ends the request, releases its stages and reports a completed request
// to the routing logic.
func (r *run) finish(outcome Outcome) {
	r.outcome = outcome
	r.endedAt = r.sim.clock.now
	for _, s := range r.stages {
		r.releaseStage(s)
	}
	r.sim.removeRequest(r)
	if outcome != OutcomeDone {
		return
	}
	r.instance.post(domain.RequestFinished{
		Request: r.arrival.Request, Tokens: r.tokens, FirstToken: r.firstToken, LongestGap: r.longestGap,
		TotalTime: r.endedAt - r.arrivedAt, OK: true,
	})
}

// metTarget reports whether the answer met its target: the time to the first
// token, the total time, and the required percentage of gaps between tokens.
func (r *run) metTarget() bool {
	t := r.target
	if r.outcome != OutcomeDone {
		return false
	}
	if t.FirstEvent() > 0 && r.firstToken > t.FirstEvent() {
		return false
	}
	if t.TotalTime() > 0 && r.endedAt-r.arrivedAt > t.TotalTime() {
		return false
	}
	return float64(r.lateGaps) <= (1-t.Percent()/100)*float64(r.tokens)
}
