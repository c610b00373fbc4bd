package bench

import (
	"time"

	"fulmarwick/internal/route/domain"
)

// watch loses the stage of the running step unless it ends in time.
func (r *run) watch(wait time.Duration) {
	if wait <= 0 {
		return
	}
	r.dog = r.site.clock.now + wait
	if !r.barking {
		r.barking = true
		r.site.clock.after(wait, r.bark)
	}
}

func (r *run) bark() {
	r.barking = false
	if r.outcome != OutcomeOpen || r.waiting || r.step == nil {
		return
	}
	if left := r.dog - r.site.clock.now; left > 0 {
		r.barking = true
		r.site.clock.after(left, r.bark)
		return
	}
	r.site.timeouts++
	r.lose(r.step.stage, domain.CauseTimeout)
}

// lose gives up a stage and asks for a decision.
func (r *run) lose(s *stage, cause domain.Cause) {
	if r.waiting || r.outcome != OutcomeOpen {
		return
	}
	r.waiting = true
	if r.step != nil {
		r.step.canceled = true
	}
	if r.hurt > 0 && r.found == 0 {
		r.found = r.site.clock.now - r.hurt
	}
	r.on.post(domain.StageLost{Request: r.ask.Request, Attempt: r.attempt, Engine: s.is.Engine(), Cause: cause, Tokens: r.tokens})
}

func (r *run) end(o Outcome) {
	r.outcome = o
	r.ended = r.site.clock.now
	for _, s := range r.stages {
		r.leave(s)
	}
	r.site.ended(r)
	if o != OutcomeDone {
		return
	}
	r.on.post(domain.RequestFinished{
		Request: r.ask.Request, Tokens: r.tokens, FirstToken: r.first, LongestGap: r.longest,
		TotalTime: r.ended - r.came, OK: true,
	})
}

// held reports whether the answer met its target: the first token, the whole
// answer, and each gap but the part that the percentage leaves.
func (r *run) held() bool {
	t := r.target
	if r.outcome != OutcomeDone {
		return false
	}
	if t.FirstEvent() > 0 && r.first > t.FirstEvent() {
		return false
	}
	if t.TotalTime() > 0 && r.ended-r.came > t.TotalTime() {
		return false
	}
	return float64(r.over) <= (1-t.Percent()/100)*float64(r.tokens)
}
