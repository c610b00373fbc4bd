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
	sim           *Simulation
	instance      *instance
	arrival       domain.RequestArrived
	target        spec.Target
	outputTokens  int
	poison        bool
	attempt       uint32
	stages        []*stage
	step          *step
	start         domain.Start
	tokens        int
	arrivedAt     time.Duration
	firstToken    time.Duration
	lastToken     time.Duration
	longestGap    time.Duration
	lateGaps      int
	awaitingStart bool
	stepDeadline  time.Duration
	timerSet      bool
	outcome       Outcome
	reason        domain.Reason
	endedAt       time.Duration
	cachedTokens  int
	prefillTokens int
	layerChunks   int
	// faultAt is when a fault last hit the request; healed the time to its next
	// token, and found the time to the notice of the loss.
	faultAt time.Duration
	// sibling is the other run of a hedged request.
	sibling   *run
	recovery  time.Duration
	detection time.Duration
}

func (r *run) applyStart(c domain.Start) {
	if r.outcome != OutcomeOpen {
		return
	}
	old := r.stages
	r.attempt = c.Attempt
	r.start = c
	r.awaitingStart = false
	if r.sim.Hedge > 0 && c.Attempt == 1 && r.sibling == nil {
		r.sim.clock.after(r.sim.Hedge-(r.sim.clock.now-r.arrivedAt), r.startHedge)
	}
	r.stages = make([]*stage, 0, len(c.Chain))
	for _, want := range c.Chain {
		r.stages = append(r.stages, r.reuseStage(&old, want))
	}
	for _, s := range old {
		r.releaseStage(s)
	}
	r.advance()
}

func (r *run) reuseStage(old *[]*stage, want spec.Stage) *stage {
	for i, s := range *old {
		if s.spec == want && s.processed > 0 && !r.wasLost(s) {
			*old = append((*old)[:i], (*old)[i+1:]...)
			return s
		}
	}
	e := r.sim.engine(want.Engine())
	return &stage{spec: want, engine: e, epoch: e.epoch}
}

// wasLost reports whether s was the stage that was lost.
func (r *run) wasLost(s *stage) bool { return r.step != nil && r.step.stage == s }

func (r *run) releaseStage(s *stage) {
	if s.opened && s.engine.epoch == s.epoch {
		s.engine.kvUsed -= r.arrival.PromptTokens + r.arrival.MaxTokens
	}
	s.opened = false
}

func (r *run) positions() int { return r.arrival.PromptTokens + r.tokens }

// advance submits the next step, or ends the request.
func (r *run) advance() {
	for _, s := range r.stages {
		if s.processed < r.positions() {
			r.submit(s)
			return
		}
	}
	r.tokenDone()
}

func (r *run) submit(s *stage) {
	e := s.engine
	hop := e.hopTime + r.transferTime(s)
	st := &step{run: r, attempt: r.attempt, stage: s, priority: r.start.Priority}
	st.done = func() { r.stepDone(st) }
	r.step = st
	wait := r.start.StepTimeout
	if s.processed == 0 {
		wait = r.start.PrefillTimeout
	}
	r.armStepTimer(wait)
	r.sim.clock.after(hop, func() {
		if r.step != st || st.canceled {
			return
		}
		r.deliver(st)
	})
}

// transferTime is the time that the inputs of a step take on the link.
func (r *run) transferTime(s *stage) time.Duration {
	if s.engine.info.Bandwidth <= 0 || s.spec.Layers().From() == 0 {
		return 0
	}
	bytes := float64((r.positions() - s.processed) * s.engine.info.Loaded[0].Width)
	return time.Duration(bytes / float64(s.engine.info.Bandwidth) * float64(time.Second))
}

// deliver puts a step on its engine, or tells at once that the connection was
// refused or is broken. An engine that hangs tells nothing.
func (r *run) deliver(st *step) {
	s := st.stage
	e := s.engine
	switch {
	case e.dead && e.hung:
		return
	case e.dead && !s.opened:
		r.loseStage(s, domain.CauseRefused)
		return
	case s.stateLost():
		r.loseStage(s, domain.CauseBroken)
		return
	case e.leaving && !s.opened:
		r.loseStage(s, domain.CauseLeaving)
		return
	}
	if !s.opened && e.kvUsed+r.arrival.PromptTokens+r.arrival.MaxTokens > e.info.KVCapacity {
		r.loseStage(s, domain.CauseLeaving)
		return
	}
	if !s.opened {
		s.opened = true
		e.lastStageAt = r.sim.clock.now
		e.kvUsed += r.arrival.PromptTokens + r.arrival.MaxTokens
	}
	todo := r.positions() - s.processed
	if s.processed == 0 {
		hit := min(e.cache.lookup(r.arrival.BlockHashes)*pick.BlockTokens, r.arrival.PromptTokens-1)
		r.cachedTokens += hit
		r.prefillTokens += r.arrival.PromptTokens
		todo -= hit
	}
	chunks := max(1, (todo+pick.ChunkPositions-1)/pick.ChunkPositions)
	r.layerChunks += chunks * s.spec.Layers().Len()
	st.chunkTime = time.Duration(s.spec.Layers().Len()) * e.info.LayerTime
	st.chunks = chunks
	e.submit(st)
}

func (r *run) stepDone(st *step) {
	if r.step != st || r.outcome != OutcomeOpen {
		return
	}
	s := st.stage
	if s.processed == 0 {
		s.engine.cache.put(r.arrival.BlockHashes)
	}
	s.processed = r.positions()
	r.step = nil
	r.advance()
}

// tokenDone is the end of a pass through all stages.
func (r *run) tokenDone() {
	now := r.sim.clock.now
	r.tokens++
	if r.tokens == 1 {
		r.firstToken = now - r.arrivedAt
		r.cancelSibling()
	} else {
		gap := now - r.lastToken
		r.longestGap = max(r.longestGap, gap)
		if limit := r.target.Gap(); limit > 0 && gap > limit {
			r.lateGaps++
		}
	}
	r.lastToken = now
	if r.faultAt > 0 && r.recovery == 0 {
		r.recovery = now - r.faultAt
	}
	if r.attempt > 1 && r.tokens == r.tokensAtStart()+1 {
		r.instance.post(domain.RequestProgress{Request: r.arrival.Request, Tokens: r.tokens})
	}
	if r.tokens >= r.outputTokens {
		r.finish(OutcomeDone)
		return
	}
	r.advance()
}

// tokensAtStart is the tokens at the last start.
func (r *run) tokensAtStart() int {
	return r.instance.logic.State().Requests().Get(r.arrival.Request).TokensAtStart()
}
