package core

import (
	"math/bits"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/admit"
	"fulmarwick/internal/route/domain"
	"fulmarwick/internal/route/fair"
	"fulmarwick/internal/route/pick"
	"fulmarwick/internal/route/poison"
	"fulmarwick/internal/route/retry"
)

const (
	// uncoveredRetryAfter is what callers are told when no set of engines covers their
	// model: about the time that a replacement takes to load.
	uncoveredRetryAfter = 5 * time.Second
	// notReadyRetryAfter is the same while this instance knows no engine of it yet.
	notReadyRetryAfter = 2 * time.Second
	// admitAllTimeout is the fixed timeout of the naive side.
	admitAllTimeout = 30 * time.Second
	// noUtilizationLimit lets every engine have room.
	noUtilizationLimit = 1e9
	// withinShareExtra is how much over the limit a team may go that is within its
	// share, so that it does not wait behind a burst that filled the engines.
	withinShareExtra = 0.10
	// newInstanceExtra is the same for an instance that has less than its part of
	// the work: one that joined finds everything full, and would otherwise
	// refuse all its callers.
	newInstanceExtra = 0.15
)

// decideNew decides on a request that has not run.
func (l *Logic) decideNew(r *domain.Request) {
	w := &l.state
	if _, ok := w.Class(r.Arrival().Class); !ok {
		w.Refuse(r, domain.ReasonUnknownClass, 0)
		return
	}
	switch l.suspects.Evaluate(w.Now(), r) {
	case poison.VerdictCulprit:
		w.Refuse(r, domain.ReasonPoison, 0)
	case poison.VerdictWait, poison.VerdictIsolate:
		l.decideResumed(r)
	default:
		l.checkTeamLimit(r)
	}
}

// checkTeamLimit admits the request unless its team is above its limit.
func (l *Logic) checkTeamLimit(r *domain.Request) {
	w := &l.state
	if t, ok := w.Team(r.Arrival().Team); ok {
		if over := l.teamRates.LimitDelay(w.Now(), t.ID(), t.Limit()); over > 0 {
			w.Refuse(r, domain.ReasonTeamLimit, admit.RetryAfter(over, l.rand.Float64()))
			return
		}
	}
	l.admit(r)
}

func (l *Logic) admit(r *domain.Request) {
	q := l.queueFor(r.Arrival().Model)
	choice, ok := l.chooseChain(r, q)
	switch {
	case !ok:
		l.forwardOrRefuse(r, domain.ReasonNoEngine, uncoveredRetryAfter, 0)
	case l.AdmitAll:
		l.startRun(r, choice)
	default:
		l.startOrQueue(r, q, choice)
	}
}

func (l *Logic) chooseChain(r *domain.Request, q *modelQueue) (pick.Choice, bool) {
	ask := pick.Query{MaxUtilization: l.utilizationLimit(r, q), RemainingTokens: l.margins.ExpectedTokens(r)}
	return l.Chooser.Choose(&l.state, r, ask)
}

// utilizationLimit is how full an engine may be for this request.
func (l *Logic) utilizationLimit(r *domain.Request, q *modelQueue) float64 {
	limit := l.UtilizationLimit
	if limit == 0 {
		limit = l.utilization.Limit(r.Arrival().Model)
	}
	if q.fair.AheadOfShare(r.Arrival().Team) <= 0 {
		limit += withinShareExtra
	}
	if l.state.TokenRate(r.Arrival().Model) < l.capacityShare(r.Arrival().Model)/2 {
		limit += newInstanceExtra
	}
	return limit
}

// capacityShare is this instance's part of the model's capacity, in tokens a second.
func (l *Logic) capacityShare(model spec.ModelName) float64 {
	sum := 0.0
	for _, m := range l.state.Engines().Index().Versions(model) {
		sum += m.Capacity()
	}
	return sum / float64(1+len(l.state.Peers()))
}

// drainRate is how many tokens a second this instance's queue of the model works
// off: what its own requests make, since each that ends lets one in.
func (l *Logic) drainRate(model spec.ModelName) float64 {
	return max(1, l.state.TokenRate(model), l.capacityShare(model)/2)
}

// startOrQueue starts the request, lets it wait, or refuses it at once.
func (l *Logic) startOrQueue(r *domain.Request, q *modelQueue, choice pick.Choice) {
	drain := l.drainRate(r.Arrival().Model)
	team := r.Arrival().Team
	cost := l.tokenCost(r)
	charge := l.teamCharge(r, cost)
	v := l.assess(r, q, choice, drain, cost)
	if v.tokensAhead == 0 && choice.Fits && !v.isLate {
		q.fair.ChargeTeam(team, charge)
		l.startRun(r, choice)
		return
	}
	if v.isLate && choice.Fits {
		// Only slow engines have room now; faster ones may have it in time.
		if fast, ok := l.Chooser.Choose(&l.state, r, pick.Query{MaxUtilization: noUtilizationLimit, RemainingTokens: l.margins.ExpectedTokens(r)}); ok {
			choice = pick.Choice{Plan: fast.Plan}
			v = l.assess(r, q, choice, drain, cost)
		}
	}
	if v.isLate || q.fair.Len() >= fair.MaxQueued {
		reason := l.refusalReason(r, q, v, drain)
		l.forwardOrRefuse(r, reason, v.lateBy, 1/choice.Plan.TokenTime.Seconds())
		return
	}
	q.fair.Push(&fair.Item{
		Request: r, Cost: cost, Charge: charge, LatestStart: v.latestStart, TokenRate: 1 / choice.Plan.TokenTime.Seconds(),
	})
}

// assessment is how a request stands with a plan.
type assessment struct {
	estimate    admit.Estimate
	latestStart time.Duration
	tokensAhead float64
	lateBy      time.Duration
	isLate      bool
}

func (l *Logic) assess(r *domain.Request, q *modelQueue, choice pick.Choice, drain, cost float64) assessment {
	class := r.Class()
	margin := l.margins.ForClass(class)
	v := assessment{latestStart: admit.LatestStart(class.Target(), margin, r.ArrivedAt(), choice.Plan)}
	v.tokensAhead = q.fair.CostAhead(r.Arrival().Team, v.latestStart)
	v.estimate = admit.Estimate{Elapsed: l.state.Now() - r.ArrivedAt(), Plan: choice.Plan}
	if v.tokensAhead > 0 || !choice.Fits {
		v.estimate.RemainingWait = toDuration((v.tokensAhead + cost/2) / drain)
	}
	v.lateBy, v.isLate = admit.TargetMiss(class.Target(), margin, v.estimate)
	return v
}

// refusalReason tells whether the request is late because of its own team's backlog:
// it would be in time if the team were within its share.
func (l *Logic) refusalReason(r *domain.Request, q *modelQueue, v assessment, drain float64) domain.Reason {
	if q.fair.AheadOfShare(r.Arrival().Team) <= 0 {
		return domain.ReasonOverload
	}
	v.estimate.RemainingWait = toDuration(q.fair.CostAheadOfNewTeam(v.latestStart) / drain)
	if _, late := admit.TargetMiss(r.Class().Target(), l.margins.ForClass(r.Class()), v.estimate); late {
		return domain.ReasonOverload
	}
	return domain.ReasonTeamLimit
}

// tokenCost is what the request takes, in tokens through the whole model.
func (l *Logic) tokenCost(r *domain.Request) float64 {
	return float64(r.Arrival().PromptTokens)/pick.ChunkPositions + float64(l.margins.ExpectedTokens(r))
}

// teamCharge is what the request costs its team: more for a small share, and more
// for a team that uses much elsewhere.
func (l *Logic) teamCharge(r *domain.Request, cost float64) float64 {
	w := &l.state
	share := 1.0
	if t, ok := w.Team(r.Arrival().Team); ok && t.Share() > 0 {
		share = t.Share()
	}
	return cost / share * l.teamRates.ChargeFactor(w.Now(), r.Arrival().Team)
}

// forwardOrRefuse sends the request to another data centre that has room for rate
// tokens a second, if there is one, and else ends it.
func (l *Logic) forwardOrRefuse(r *domain.Request, reason domain.Reason, over time.Duration, rate float64) {
	w := &l.state
	if c := l.chooseRemoteCentre(r, rate); c != nil && reason != domain.ReasonTeamLimit {
		c.Reserve(rate)
		w.Forward(r, c.Instance())
		return
	}
	if reason == domain.ReasonNoEngine && len(w.Engines().Rows()) == 0 {
		over = notReadyRetryAfter
	}
	w.Refuse(r, reason, admit.RetryAfter(over, l.rand.Float64()))
}

// startRun runs the request on a chain and tells the systems.
func (l *Logic) startRun(r *domain.Request, choice pick.Choice) {
	w := &l.state
	now := w.Now()
	if r.Attempt() == 0 {
		l.retryBudget.RecordRequest(r.Arrival().Class)
		l.teamRates.RecordUse(now, r.Arrival().Team, l.tokenCost(r))
	}
	for _, e := range choice.Plan.NewEngines {
		l.prefixCache.RecordPrompt(now, e, r.Arrival().BlockHashes)
	}
	times := l.timeouts.Timeouts(r, choice.Plan)
	if l.AdmitAll {
		times = retry.Timeouts{Step: admitAllTimeout, Prefill: admitAllTimeout}
	}
	w.Start(r, choice.Plan, enginePriority(r), times.Step, times.Prefill)
}

const (
	newRequestPriorityOffset = 32
	noTargetPriority         = 31
)

// enginePriority orders work inside engines: a tighter target runs first, and what
// resumes before what starts, since its caller has waited already.
func enginePriority(r *domain.Request) int {
	target := r.Class().Target()
	limit := target.FirstEvent()
	if limit == 0 {
		limit = target.TotalTime()
	}
	p := noTargetPriority
	if limit > 0 {
		p = min(noTargetPriority, bits.Len64(uint64(limit.Milliseconds())))
	}
	if r.Attempt() > 0 {
		return p
	}
	return p + newRequestPriorityOffset
}

func toDuration(s float64) time.Duration {
	return time.Duration(min(s, 3600) * float64(time.Second))
}
