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
	// resumedUtilizationLimit is how full an engine may be for a request that runs
	// already: its work only moves, and refusing it would waste what is done.
	resumedUtilizationLimit = 2.0
	// maxUncoveredWait is how long a request that runs already waits for engines
	// that cover its model to come back.
	maxUncoveredWait = 10 * time.Second
	// maxSuspectWait is how long a suspect may wait for an engine of its own.
	maxSuspectWait = 60 * time.Second
	// assignedEngineWait is how long a suspect waits for an engine of this instance's
	// part before it takes any without a suspect of this instance.
	assignedEngineWait = 1500 * time.Millisecond
)

// heldRequest is a request that waits for an engine that may run it, ahead of the
// queues.
type heldRequest struct {
	request   *domain.Request
	heldSince time.Duration
}

// decideResumed decides on a request that ran before, here or at another instance,
// or that is a suspect.
func (l *Logic) decideResumed(r *domain.Request) {
	w := &l.state
	if r.Attempt() > 0 && !l.retryBudget.AllowRetry(r) {
		w.Refuse(r, domain.ReasonRetriesExhausted, l.retryAfter(r))
		return
	}
	h := &heldRequest{request: r, heldSince: w.Now()}
	if !l.tryStart(h) {
		l.held = append(l.held, h)
	}
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

// tryStart settles the request, or reports false if it must wait.
func (l *Logic) tryStart(h *heldRequest) bool {
	w := &l.state
	r := h.request
	ask := pick.Query{MaxUtilization: resumedUtilizationLimit, RemainingTokens: l.remainingTokens(r)}
	waited := w.Now() - h.heldSince
	verdict := l.suspects.Evaluate(w.Now(), r)
	switch verdict {
	case poison.VerdictCulprit:
		w.Refuse(r, domain.ReasonPoison, 0)
		return true
	case poison.VerdictWait:
		return l.refuseAfterWait(r, waited, maxSuspectWait)
	case poison.VerdictIsolate:
		ask.AllowsSuspect = l.suspectFilter(r, waited < assignedEngineWait+poison.RestartDelay(r))
	}
	choice, ok := l.Chooser.Choose(w, r, ask)
	if !ok && verdict == poison.VerdictIsolate {
		return l.refuseAfterWait(r, waited, maxSuspectWait)
	}
	if !ok {
		return l.handleUncovered(r, waited)
	}
	l.startRun(r, choice)
	if verdict == poison.VerdictIsolate {
		l.suspects.StartProbation(w.Now(), r, choice.Plan.NewEngines)
	}
	return true
}

// handleUncovered settles a request whose model no engines cover here, or reports
// false if it waits for them to come back.
func (l *Logic) handleUncovered(r *domain.Request, waited time.Duration) bool {
	// A request that its caller resumes here has nothing running here. Without
	// this a data centre without engines of the model, whose answers all come
	// from others, could resume none of them.
	if c := l.chooseRemoteCentre(r, 0); c != nil {
		l.state.Forward(r, c.Instance())
		return true
	}
	most := maxUncoveredWait
	if r.Arrival().Hops > 0 {
		// One that was forwarded here can go elsewhere sooner than engines
		// return.
		most = 0
	}
	return l.refuseAfterWait(r, waited, most)
}

func (l *Logic) refuseAfterWait(r *domain.Request, waited, most time.Duration) bool {
	if waited < most {
		return false
	}
	l.state.Refuse(r, domain.ReasonNoEngine, uncoveredRetryAfter)
	return true
}

func (l *Logic) remainingTokens(r *domain.Request) int {
	return max(1, l.margins.ExpectedTokens(r)-r.Tokens())
}

// suspectFilter says where a suspect may run: where no other suspect of this instance
// is on probation, and on this instance's part of the engines, so that two
// instances do not try suspects on the same engine at once.
func (l *Logic) suspectFilter(r *domain.Request, part bool) func(spec.UpstreamID) bool {
	if !part {
		return func(engine spec.UpstreamID) bool { return l.suspects.HasNoOtherSuspect(engine, r) }
	}
	mine := l.assignedEngines(r.Arrival().Model)
	return func(engine spec.UpstreamID) bool { return mine[engine] && l.suspects.HasNoOtherSuspect(engine, r) }
}

// assignedEngines deals the engines of each range of a model out among the instances
// known, in the order of their names, engines that are down included: so all
// instances deal alike while an engine's death spreads.
func (l *Logic) assignedEngines(model spec.ModelName) map[spec.UpstreamID]bool {
	ids := append([]spec.InstanceID{l.ID}, l.state.Peers()...)
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	own := sort.Search(len(ids), func(i int) bool { return ids[i] >= l.ID })
	dealt := map[spec.Layers]int{}
	out := map[spec.UpstreamID]bool{}
	for _, e := range l.state.Engines().Rows() {
		for _, h := range e.Loaded {
			if h.Model != model {
				continue
			}
			if dealt[h.Layers]%len(ids) == own {
				out[e.ID] = true
			}
			dealt[h.Layers]++
		}
	}
	return out
}
