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
	// uncoveredRetryAfter is the retry time sent to callers when no set of
	// engines covers their model: about the time that a replacement engine
	// takes to load.
	uncoveredRetryAfter = 5 * time.Second
	// notReadyRetryAfter is the retry time while this instance knows no
	// engines at all yet.
	notReadyRetryAfter = 2 * time.Second
	// admitAllTimeout is the fixed step timeout with AdmitAll.
	admitAllTimeout = 30 * time.Second
	// noUtilizationLimit makes every engine count as having free capacity.
	noUtilizationLimit = 1e9
	// withinShareExtra is added to the utilization limit for a team within
	// its share, so that its requests do not wait behind a burst of others
	// that filled the engines.
	withinShareExtra = 0.10
	// newInstanceExtra is added to the utilization limit on an instance that
	// runs less than half its share of the work. An instance that has just
	// joined finds all engines full and would otherwise refuse all its
	// callers.
	newInstanceExtra = 0.15
)

// decideNew decides on a request that has not run yet.
func (l *Logic) decideNew(r *domain.Request) {
	state := &l.state
	if _, ok := state.Class(r.Arrival().Class); !ok {
		state.Refuse(r, domain.ReasonUnknownClass, 0)
		return
	}
	switch l.suspects.Evaluate(state.Now(), r) {
	case poison.VerdictCulprit:
		state.Refuse(r, domain.ReasonPoison, 0)
	case poison.VerdictWait, poison.VerdictIsolate:
		l.decideResumed(r)
	default:
		l.checkTeamLimit(r)
	}
}

// checkTeamLimit admits the request unless its team is above its limit.
func (l *Logic) checkTeamLimit(r *domain.Request) {
	state := &l.state
	if t, ok := state.Team(r.Arrival().Team); ok {
		if delay := l.teamRates.LimitDelay(state.Now(), t.ID(), t.Limit()); delay > 0 {
			state.Refuse(r, domain.ReasonTeamLimit, admit.RetryAfter(delay, l.rand.Float64()))
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

// chooseChain chooses the chain of a request that has not run yet. Silent
// engines are a last resort: they are likely to go on sooner than the caller
// would come back.
func (l *Logic) chooseChain(r *domain.Request, q *modelQueue) (pick.Choice, bool) {
	query := pick.Query{MaxUtilization: l.utilizationLimit(r, q), RemainingTokens: l.margins.ExpectedTokens(r)}
	choice, ok := l.Chooser.Choose(&l.state, r, query)
	if ok || l.chooseRemoteCentre(r, 0) != nil {
		return choice, ok
	}
	query.AllowsSilent = true
	return l.Chooser.Choose(&l.state, r, query)
}

// utilizationLimit returns the utilization up to which engines may take this
// request.
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

// capacityShare returns this instance's share of the model's capacity, in
// tokens per second.
func (l *Logic) capacityShare(model spec.ModelName) float64 {
	sum := 0.0
	for _, m := range l.state.Engines().Index().Versions(model) {
		sum += m.Capacity()
	}
	return sum / float64(1+len(l.state.Peers()))
}

// drainRate estimates at how many tokens per second this instance's queue of
// the model drains. This is the token rate of its running requests, because
// each one that ends lets another start.
func (l *Logic) drainRate(model spec.ModelName) float64 {
	return max(1, l.state.TokenRate(model), l.capacityShare(model)/2)
}

// startOrQueue starts the request, queues it, or forwards or refuses it at
// once.
func (l *Logic) startOrQueue(r *domain.Request, q *modelQueue, choice pick.Choice) {
	drain := l.drainRate(r.Arrival().Model)
	team := r.Arrival().Team
	cost := l.tokenCost(r)
	charge := l.teamCharge(r, cost)
	a := l.assess(r, q, choice, drain, cost)
	if a.tokensAhead == 0 && choice.Fits && !a.isLate {
		q.fair.ChargeTeam(team, charge)
		l.startRun(r, choice)
		return
	}
	if a.isLate && choice.Fits {
		// Only slow engines have free capacity now. Faster ones may have some
		// in time.
		if faster, ok := l.Chooser.Choose(&l.state, r, pick.Query{MaxUtilization: noUtilizationLimit, RemainingTokens: l.margins.ExpectedTokens(r)}); ok {
			choice = pick.Choice{Plan: faster.Plan}
			a = l.assess(r, q, choice, drain, cost)
		}
	}
	if a.isLate || q.fair.Len() >= fair.MaxQueued {
		reason := l.refusalReason(r, q, a, drain)
		l.forwardOrRefuse(r, reason, a.lateBy, 1/choice.Plan.TokenTime.Seconds())
		return
	}
	q.fair.Push(&fair.Item{
		Request: r, Cost: cost, Charge: charge, LatestStart: a.latestStart, TokenRate: 1 / choice.Plan.TokenTime.Seconds(),
	})
}

// assessment says whether a request can meet its target with a plan.
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
	a := assessment{latestStart: admit.LatestStart(class.Target(), margin, r.ArrivedAt(), choice.Plan)}
	a.tokensAhead = q.fair.CostAhead(r.Arrival().Team, a.latestStart)
	a.estimate = admit.Estimate{Elapsed: l.state.Now() - r.ArrivedAt(), Plan: choice.Plan}
	if a.tokensAhead > 0 || !choice.Fits {
		a.estimate.RemainingWait = toDuration((a.tokensAhead + cost/2) / drain)
	}
	a.lateBy, a.isLate = admit.TargetMiss(class.Target(), margin, a.estimate)
	return a
}

// refusalReason returns ReasonTeamLimit if the request is late only because
// of its own team's backlog, that is, if it would be in time with the team
// within its share. Otherwise it returns ReasonOverload.
func (l *Logic) refusalReason(r *domain.Request, q *modelQueue, a assessment, drain float64) domain.Reason {
	if q.fair.AheadOfShare(r.Arrival().Team) <= 0 {
		return domain.ReasonOverload
	}
	a.estimate.RemainingWait = toDuration(q.fair.CostAheadOfNewTeam(a.latestStart) / drain)
	if _, late := admit.TargetMiss(r.Class().Target(), l.margins.ForClass(r.Class()), a.estimate); late {
		return domain.ReasonOverload
	}
	return domain.ReasonTeamLimit
}

// tokenCost returns the expected cost of the request, in tokens through the
// whole model.
func (l *Logic) tokenCost(r *domain.Request) float64 {
	return float64(r.Arrival().PromptTokens)/pick.ChunkPositions + float64(l.margins.ExpectedTokens(r))
}

// teamCharge returns the cost that is charged to the team. It is higher for a
// team with a small share and for a team with high usage at other instances.
func (l *Logic) teamCharge(r *domain.Request, cost float64) float64 {
	state := &l.state
	share := 1.0
	if t, ok := state.Team(r.Arrival().Team); ok && t.Share() > 0 {
		share = t.Share()
	}
	return cost / share * l.teamRates.ChargeFactor(state.Now(), r.Arrival().Team)
}

// forwardOrRefuse forwards the request to another data centre with a free
// rate for it, in tokens per second, or else refuses it. The retry time is
// based on delay.
func (l *Logic) forwardOrRefuse(r *domain.Request, reason domain.Reason, delay time.Duration, rate float64) {
	state := &l.state
	if remote := l.chooseRemoteCentre(r, rate); remote != nil && reason != domain.ReasonTeamLimit {
		remote.Reserve(rate)
		state.Forward(r, remote.Instance())
		return
	}
	if reason == domain.ReasonNoEngine && len(state.Engines().Rows()) == 0 {
		delay = notReadyRetryAfter
	}
	state.Refuse(r, reason, admit.RetryAfter(delay, l.rand.Float64()))
}

// startRun starts the request on the chosen chain and updates the budgets,
// team rates and prefix cache.
func (l *Logic) startRun(r *domain.Request, choice pick.Choice) {
	state := &l.state
	now := state.Now()
	if r.Attempt() == 0 {
		l.retryBudget.RecordRequest(r.Arrival().Class)
		l.teamRates.RecordUse(now, r.Arrival().Team, l.tokenCost(r))
	}
	for _, e := range choice.Plan.NewEngines {
		l.prefixCache.RecordPrompt(now, e, r.Arrival().BlockHashes)
	}
	timeouts := l.timeouts.Timeouts(r, choice.Plan)
	if l.AdmitAll {
		timeouts = retry.Timeouts{Step: admitAllTimeout, Prefill: admitAllTimeout}
	}
	state.Start(r, choice.Plan, enginePriority(r), timeouts.Step, timeouts.Prefill)
}

const (
	newRequestPriorityOffset = 32
	noTargetPriority         = 31
)

// enginePriority returns the priority of the request inside engines; a lower
// number runs first. Tighter targets come first, and resumed requests come
// before new ones because their callers have already waited.
func enginePriority(r *domain.Request) int {
	target := r.Class().Target()
	limit := target.FirstEvent()
	if limit == 0 {
		limit = target.TotalTime()
	}
	priority := noTargetPriority
	if limit > 0 {
		priority = min(noTargetPriority, bits.Len64(uint64(limit.Milliseconds())))
	}
	if r.Attempt() > 0 {
		return priority
	}
	return priority + newRequestPriorityOffset
}

func toDuration(seconds float64) time.Duration {
	return time.Duration(min(seconds, 3600) * float64(time.Second))
}
