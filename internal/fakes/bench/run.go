package bench

import (
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
	"fulmarwick/internal/route/pick"
)

// Outcome says how a request ended.
type Outcome int

// The outcomes.
const (
	OutcomeOpen Outcome = iota
	OutcomeDone
	OutcomeRefused
	OutcomeLost
	OutcomeForwarded
	// OutcomeHedged is the slower of two runs of one request.
	OutcomeHedged
)

// run is a request as the wire would run it: stages that are behind are
// brought up to date in order.
type run struct {
	site    *Site
	on      *instance
	ask     domain.RequestArrived
	target  spec.Target
	out     int
	poison  bool
	attempt uint32
	stages  []*stage
	step    *step
	start   domain.Start
	tokens  int
	came    time.Duration
	first   time.Duration
	last    time.Duration
	longest time.Duration
	over    int
	waiting bool
	dog     time.Duration
	barking bool
	outcome Outcome
	reason  domain.Reason
	ended   time.Duration
	hit     int
	prefill int
	work    int
	// hurt is when a fault last hit the request; healed the time to its next
	// token, and found the time to the notice of the loss.
	hurt time.Duration
	// twin is the other run of a hedged request.
	twin   *run
	healed time.Duration
	found  time.Duration
}

func (r *run) take(c domain.Start) {
	if r.outcome != OutcomeOpen {
		return
	}
	old := r.stages
	r.attempt = c.Attempt
	r.start = c
	r.waiting = false
	if r.site.Hedge > 0 && c.Attempt == 1 && r.twin == nil {
		r.site.clock.after(r.site.Hedge-(r.site.clock.now-r.came), r.hedge)
	}
	r.stages = make([]*stage, 0, len(c.Chain))
	for _, want := range c.Chain {
		r.stages = append(r.stages, r.keep(&old, want))
	}
	for _, s := range old {
		r.leave(s)
	}
	r.advance()
}

func (r *run) keep(old *[]*stage, want spec.Stage) *stage {
	for i, s := range *old {
		if s.is == want && s.done > 0 && !r.behind(s) {
			*old = append((*old)[:i], (*old)[i+1:]...)
			return s
		}
	}
	e := r.site.engine(want.Engine())
	return &stage{is: want, engine: e, life: e.life}
}

// behind reports whether s was the stage that was lost.
func (r *run) behind(s *stage) bool { return r.step != nil && r.step.stage == s }

func (r *run) leave(s *stage) {
	if s.opened && s.engine.life == s.life {
		s.engine.kv -= r.ask.PromptTokens + r.ask.MaxTokens
	}
	s.opened = false
}

func (r *run) positions() int { return r.ask.PromptTokens + r.tokens }

// advance submits the next step, or ends the request.
func (r *run) advance() {
	for _, s := range r.stages {
		if s.done < r.positions() {
			r.submit(s)
			return
		}
	}
	r.token()
}

func (r *run) submit(s *stage) {
	e := s.engine
	hop := e.hop + r.carry(s)
	st := &step{run: r, attempt: r.attempt, stage: s, prio: r.start.Priority}
	st.done = func() { r.stepped(st) }
	r.step = st
	wait := r.start.StepTimeout
	if s.done == 0 {
		wait = r.start.PrefillTimeout
	}
	r.watch(wait)
	r.site.clock.after(hop, func() {
		if r.step != st || st.canceled {
			return
		}
		r.arrive(st)
	})
}

// carry is the time that the inputs of a step take on the link.
func (r *run) carry(s *stage) time.Duration {
	if s.engine.row.Bandwidth <= 0 || s.is.Layers().From() == 0 {
		return 0
	}
	bytes := float64((r.positions() - s.done) * s.engine.row.Loaded[0].Width)
	return time.Duration(bytes / float64(s.engine.row.Bandwidth) * float64(time.Second))
}

// arrive puts a step on its engine, or tells at once that the connection was
// refused or is broken. An engine that hangs tells nothing.
func (r *run) arrive(st *step) {
	s := st.stage
	e := s.engine
	switch {
	case e.dead && e.silent:
		return
	case e.dead && !s.opened:
		r.lose(s, domain.CauseRefused)
		return
	case s.lost():
		r.lose(s, domain.CauseBroken)
		return
	case e.leaving && !s.opened:
		r.lose(s, domain.CauseLeaving)
		return
	}
	if !s.opened && e.kv+r.ask.PromptTokens+r.ask.MaxTokens > e.row.KVCapacity {
		r.lose(s, domain.CauseLeaving)
		return
	}
	if !s.opened {
		s.opened = true
		e.opened = r.site.clock.now
		e.kv += r.ask.PromptTokens + r.ask.MaxTokens
	}
	todo := r.positions() - s.done
	if s.done == 0 {
		hit := min(e.cache.hits(r.ask.BlockHashes)*pick.BlockTokens, r.ask.PromptTokens-1)
		r.hit += hit
		r.prefill += r.ask.PromptTokens
		todo -= hit
	}
	chunks := max(1, (todo+pick.ChunkPositions-1)/pick.ChunkPositions)
	r.work += chunks * s.is.Layers().Len()
	st.took = time.Duration(s.is.Layers().Len()) * e.row.LayerTime
	st.chunks = chunks
	e.submit(st)
}

func (r *run) stepped(st *step) {
	if r.step != st || r.outcome != OutcomeOpen {
		return
	}
	s := st.stage
	if s.done == 0 {
		s.engine.cache.put(r.ask.BlockHashes)
	}
	s.done = r.positions()
	r.step = nil
	r.advance()
}

// token is the end of a pass through all stages.
func (r *run) token() {
	now := r.site.clock.now
	r.tokens++
	if r.tokens == 1 {
		r.first = now - r.came
		r.won()
	} else {
		gap := now - r.last
		r.longest = max(r.longest, gap)
		if limit := r.target.Gap(); limit > 0 && gap > limit {
			r.over++
		}
	}
	r.last = now
	if r.hurt > 0 && r.healed == 0 {
		r.healed = now - r.hurt
	}
	if r.attempt > 1 && r.tokens == r.progressed()+1 {
		r.on.post(domain.RequestProgress{Request: r.ask.Request, Tokens: r.tokens})
	}
	if r.tokens >= r.out {
		r.end(OutcomeDone)
		return
	}
	r.advance()
}

// progressed is the tokens at the last start.
func (r *run) progressed() int {
	return r.on.logic.State().Requests().Get(r.ask.Request).TokensAtStart()
}
