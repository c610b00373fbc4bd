package core

import (
	"sort"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
	"fulmarwick/internal/route/pick"
	"fulmarwick/internal/route/poison"
)

const (
	// resumedUtilizationLimit is the utilization up to which engines may take
	// a request that already ran. Its work only moves to another engine, and
	// refusing it would waste the work done so far.
	resumedUtilizationLimit = 2.0
	// maxUncoveredWait is how long a request that already ran waits for
	// engines to cover its model again.
	maxUncoveredWait = 10 * time.Second
	// maxSuspectWait is how long a suspect may wait for an engine without
	// another suspect.
	maxSuspectWait = 60 * time.Second
	// assignedEngineWait is how long a suspect waits for an engine that is
	// assigned to this instance. After that it may use any engine without
	// another suspect of this instance.
	assignedEngineWait = 1500 * time.Millisecond
)

// heldRequest is a request that waits, ahead of the queues, for an engine
// that may run it.
type heldRequest struct {
	request   *domain.Request
	heldSince time.Duration
}

// decideResumed decides on a request that already ran, here or at another
// instance, or that is a poison suspect.
func (l *Logic) decideResumed(r *domain.Request) {
	state := &l.state
	if r.Attempt() > 0 && !l.retryBudget.AllowRetry(r) {
		if l.mayStillAnswer(r) {
			timeouts := l.timeouts.Timeouts(r, r.Plan())
			state.Wait(r, timeouts.Step, timeouts.Prefill)
			return
		}
		state.Refuse(r, domain.ReasonRetriesExhausted, l.retryAfter(r))
		return
	}
	h := &heldRequest{request: r, heldSince: state.Now()}
	if !l.tryStart(h) {
		l.held = append(l.held, h)
	}
}

// mayStillAnswer reports whether a request that has no retry left should wait
// for the engine that did not answer it in time: the engine may be silent for a
// moment and go on. A request waits once without a token in between.
func (l *Logic) mayStillAnswer(r *domain.Request) bool {
	if r.LossCause() != domain.CauseTimeout || r.HasWaited() {
		return false
	}
	e := l.state.Engines().Get(r.LastFailed())
	return e != nil && e.State() != domain.StateDead
}

func (l *Logic) retryAfter(r *domain.Request) time.Duration {
	return max(time.Second, r.Plan().FirstTokenTime)
}

func (l *Logic) startHeld() {
	if len(l.held) == 0 {
		return
	}
	waiting := l.held
	l.held = nil
	for _, h := range waiting {
		if !h.request.Ended() && !l.tryStart(h) {
			l.held = append(l.held, h)
		}
	}
}

// tryStart starts, forwards or refuses the request. It returns false if the
// request must wait.
func (l *Logic) tryStart(h *heldRequest) bool {
	state := &l.state
	r := h.request
	query := pick.Query{MaxUtilization: resumedUtilizationLimit, RemainingTokens: l.remainingTokens(r)}
	waited := state.Now() - h.heldSince
	verdict := l.suspects.Evaluate(state.Now(), r)
	switch verdict {
	case poison.VerdictCulprit:
		state.Refuse(r, domain.ReasonPoison, 0)
		return true
	case poison.VerdictWait:
		return l.refuseAfterWait(r, waited, maxSuspectWait)
	case poison.VerdictIsolate:
		query.AllowsSuspect = l.suspectFilter(r, waited < assignedEngineWait+poison.RestartDelay(r))
	}
	choice, ok := l.Chooser.Choose(state, r, query)
	if !ok && verdict == poison.VerdictIsolate {
		return l.refuseAfterWait(r, waited, maxSuspectWait)
	}
	if !ok && l.chooseRemoteCentre(r, 0) == nil {
		query.AllowsSilent = true
		choice, ok = l.Chooser.Choose(state, r, query)
	}
	if !ok {
		return l.handleUncovered(r, waited)
	}
	l.startRun(r, choice)
	if verdict == poison.VerdictIsolate {
		l.suspects.StartProbation(state.Now(), r, choice.Plan.NewEngines)
	}
	return true
}

// handleUncovered forwards or refuses a request whose model no engines cover
// here. It returns false if the request waits for engines to come back.
func (l *Logic) handleUncovered(r *domain.Request, waited time.Duration) bool {
	// A request that its caller resumes at this instance has nothing running
	// here. Without forwarding, a data centre without engines for the model,
	// whose answers all come from other data centres, could resume none of
	// them.
	if remote := l.chooseRemoteCentre(r, 0); remote != nil {
		l.state.Forward(r, remote.Instance())
		return true
	}
	maxWait := maxUncoveredWait
	if r.Arrival().Hops > 0 {
		// A request that was forwarded here can be sent elsewhere sooner than
		// engines return.
		maxWait = 0
	}
	return l.refuseAfterWait(r, waited, maxWait)
}

func (l *Logic) refuseAfterWait(r *domain.Request, waited, maxWait time.Duration) bool {
	if waited < maxWait {
		return false
	}
	l.state.Refuse(r, domain.ReasonNoEngine, uncoveredRetryAfter)
	return true
}

func (l *Logic) remainingTokens(r *domain.Request) int {
	return max(1, l.margins.ExpectedTokens(r)-r.Tokens())
}

// suspectFilter returns a filter for the engines on which a suspect may run.
// They must have no other suspect of this instance on probation. If
// onlyAssigned is set they must also be assigned to this instance, so that
// two instances do not try suspects on the same engine at once.
func (l *Logic) suspectFilter(r *domain.Request, onlyAssigned bool) func(spec.UpstreamID) bool {
	if !onlyAssigned {
		return func(engine spec.UpstreamID) bool { return l.suspects.HasNoOtherSuspect(engine, r) }
	}
	assigned := l.assignedEngines(r.Arrival().Model)
	return func(engine spec.UpstreamID) bool { return assigned[engine] && l.suspects.HasNoOtherSuspect(engine, r) }
}

// assignedEngines returns the engines of a model that are assigned to this
// instance. The engines of each layer range are assigned round-robin to the
// known instances in order of their IDs. Dead engines are included, so that
// all instances compute the same assignment while the news of an engine
// failure spreads.
func (l *Logic) assignedEngines(model spec.ModelName) map[spec.UpstreamID]bool {
	ids := append([]spec.InstanceID{l.ID}, l.state.Peers()...)
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	position := sort.Search(len(ids), func(i int) bool { return ids[i] >= l.ID })
	counts := map[spec.Layers]int{}
	assigned := map[spec.UpstreamID]bool{}
	for _, e := range l.state.Engines().Rows() {
		for _, loaded := range e.Loaded {
			if loaded.Model != model {
				continue
			}
			if counts[loaded.Layers]%len(ids) == position {
				assigned[e.ID] = true
			}
			counts[loaded.Layers]++
		}
	}
	return assigned
}
