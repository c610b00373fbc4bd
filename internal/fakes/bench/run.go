package bench

import (
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
	"fulmarwick/internal/route/pick"
)

// Outcome describes how a request ended.
type Outcome int

// The outcomes.
const (
	OutcomeOpen Outcome = iota
	OutcomeDone
	OutcomeRefused
	OutcomeLost
	OutcomeForwarded
	// OutcomeHedged is the outcome of the slower of two runs of one request.
	OutcomeHedged
)

// run executes a request as the wire packages do: in the order of the chain,
// each stage processes the positions that it has not processed yet.
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
	// faultAt is when a fault first affected the request, recovery the time
	// from then to its next token, and detection the time until the lost stage
	// was noticed.
	faultAt time.Duration
	// sibling is the other run of a hedged request.
	sibling   *run
	recovery  time.Duration
	detection time.Duration
}

// applyStart starts an attempt on a new chain. Stages that the chain keeps from
// the previous attempt continue, the others are released.
func (r *run) applyStart(start domain.Start) {
	if r.outcome != OutcomeOpen {
		return
	}
	old := r.stages
	r.attempt = start.Attempt
	r.start = start
	r.awaitingStart = false
	if r.sim.Hedge > 0 && start.Attempt == 1 && r.sibling == nil {
		r.sim.clock.after(r.sim.Hedge-(r.sim.clock.now-r.arrivedAt), r.startHedge)
	}
	r.stages = make([]*stage, 0, len(start.Chain))
	for _, want := range start.Chain {
		r.stages = append(r.stages, r.reuseStage(&old, want))
	}
	for _, s := range old {
		r.releaseStage(s)
	}
	r.advance()
}

// applyWait sends the step that was not done in time again.
func (r *run) applyWait(wait domain.Wait) {
	if r.outcome != OutcomeOpen {
		return
	}
	r.awaitingStart = false
	r.start.StepTimeout, r.start.PrefillTimeout = wait.StepTimeout, wait.PrefillTimeout
	r.submit(r.step.stage)
}

// reuseStage removes the wanted stage from old and returns it if its state is
// usable. Otherwise it returns a new stage.
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

// wasLost reports whether s is the stage whose step did not finish.
func (r *run) wasLost(s *stage) bool { return r.step != nil && r.step.stage == s }

// releaseStage frees the KV memory of a stage unless its engine lost the state.
func (r *run) releaseStage(s *stage) {
	if s.opened && s.engine.epoch == s.epoch {
		s.engine.kvUsed -= r.arrival.PromptTokens + r.arrival.MaxTokens
	}
	s.opened = false
}

// positions is the number of prompt and output positions so far.
func (r *run) positions() int { return r.arrival.PromptTokens + r.tokens }

// advance submits a step for the first stage that has positions left to
// process. Without one the pass is complete and a token is counted.
func (r *run) advance() {
	for _, s := range r.stages {
		if s.processed < r.positions() {
			r.submit(s)
			return
		}
	}
	r.tokenDone()
}

// submit sends a step to a stage and starts the timer for it.
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

// transferTime returns how long the inputs of a step take on the link.
func (r *run) transferTime(s *stage) time.Duration {
	if s.engine.info.Bandwidth <= 0 || s.spec.Layers().From() == 0 {
		return 0
	}
	bytes := float64((r.positions() - s.processed) * s.engine.info.Loaded[0].Width)
	return time.Duration(bytes / float64(s.engine.info.Bandwidth) * float64(time.Second))
}

// deliver queues a step on its engine, or reports at once that the connection
// was refused or is broken. An engine that hangs reports nothing.
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
	remaining := r.positions() - s.processed
	if s.processed == 0 {
		cached := min(e.cache.lookup(r.arrival.BlockHashes)*pick.BlockTokens, r.arrival.PromptTokens-1)
		r.cachedTokens += cached
		r.prefillTokens += r.arrival.PromptTokens
		remaining -= cached
	}
	chunks := max(1, (remaining+pick.ChunkPositions-1)/pick.ChunkPositions)
	r.layerChunks += chunks * s.spec.Layers().Len()
	st.chunkTime = time.Duration(s.spec.Layers().Len()) * e.info.LayerTime
	st.chunks = chunks
	e.submit(st)
}

// stepDone marks the positions of a step as processed and continues.
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

// tokenDone counts the token that a pass through all stages generated and
// records its latency. It ends the request after the last token.
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

// tokensAtStart returns how many tokens existed when the current attempt
// started.
func (r *run) tokensAtStart() int {
	return r.instance.logic.State().Requests().Get(r.arrival.Request).TokensAtStart()
}
