package bench

import (
	"time"

	"fulmarwick/internal/route/domain"
)

// armStepTimer loses the stage of the running step unless it ends in time.
func (r *run) armStepTimer(wait time.Duration) {
	if wait <= 0 {
		return
	}
	r.stepDeadline = r.sim.clock.now + wait
	if !r.timerSet {
		r.timerSet = true
		r.sim.clock.after(wait, r.stepTimerFired)
	}
}

func (r *run) stepTimerFired() {
	r.timerSet = false
	if r.outcome != OutcomeOpen || r.awaitingStart || r.step == nil {
		return
	}
	if left := r.stepDeadline - r.sim.clock.now; left > 0 {
		r.timerSet = true
		r.sim.clock.after(left, r.stepTimerFired)
		return
	}
	r.sim.timeouts++
	r.loseStage(r.step.stage, domain.CauseTimeout)
}

// loseStage gives up a stage and asks for a decision.
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

func (r *run) finish(o Outcome) {
	r.outcome = o
	r.endedAt = r.sim.clock.now
	for _, s := range r.stages {
		r.releaseStage(s)
	}
	r.sim.removeRequest(r)
	if o != OutcomeDone {
		return
	}
	r.instance.post(domain.RequestFinished{
		Request: r.arrival.Request, Tokens: r.tokens, FirstToken: r.firstToken, LongestGap: r.longestGap,
		TotalTime: r.endedAt - r.arrivedAt, OK: true,
	})
}

// metTarget reports whether the answer met its target: the first token, the whole
// answer, and each gap but the part that the percentage leaves.
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
