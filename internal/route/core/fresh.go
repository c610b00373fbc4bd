package core

import (
	"math/bits"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/admit"
	"fulmarwick/internal/route/fair"
	"fulmarwick/internal/route/pick"
	"fulmarwick/internal/route/poison"
	"fulmarwick/internal/route/retry"
	"fulmarwick/internal/route/world"
)

const (
	// coverRetry is what callers are told when no set of engines covers their
	// model: about the time that a replacement takes to load.
	coverRetry = 5 * time.Second
	// readyRetry is the same while this instance knows no engine of it yet.
	readyRetry = 2 * time.Second
	// openPatience is the fixed timeout of the naive side.
	openPatience = 30 * time.Second
	// anyLimit lets every engine have room.
	anyLimit = 1e9
	// smallExtra is how much over the limit a team may go that is within its
	// share, so that it does not wait behind a burst that filled the engines.
	smallExtra = 0.10
	// joinExtra is the same for an instance that has less than its part of
	// the work: one that joined finds everything full, and would otherwise
	// refuse all its callers.
	joinExtra = 0.15
)

// fresh decides on a request that has not run.
func (l *Logic) fresh(r *world.Request) {
	w := &l.world
	if _, ok := w.Class(r.Arrived().Class); !ok {
		w.Refuse(r, world.ReasonClass, 0)
		return
	}
	switch l.book.Judge(w.Now(), r) {
	case poison.VerdictGuilty:
		w.Refuse(r, world.ReasonPoison, 0)
	case poison.VerdictWait, poison.VerdictSolo:
		l.resume(r)
	default:
		l.limited(r)
	}
}

// limited admits the request unless its team is above its limit.
func (l *Logic) limited(r *world.Request) {
	w := &l.world
	if t, ok := w.Team(r.Arrived().Team); ok {
		if over := l.rates.Above(w.Now(), t.ID(), t.Limit()); over > 0 {
			w.Refuse(r, world.ReasonTeam, admit.After(over, l.rand.Float64()))
			return
		}
	}
	l.admit(r)
}

func (l *Logic) admit(r *world.Request) {
	q := l.queue(r.Arrived().Model)
	choice, ok := l.choose(r, q)
	switch {
	case !ok:
		l.refuse(r, world.ReasonNoEngine, coverRetry, 0)
	case l.Open:
		l.start(r, choice)
	default:
		l.weigh(r, q, choice)
	}
}

func (l *Logic) choose(r *world.Request, q *queue) (pick.Choice, bool) {
	ask := pick.Ask{Limit: l.limit(r, q), Out: l.margins.Length(r)}
	return l.Pick.Choose(&l.world, r, ask)
}

// limit is how full an engine may be for this request.
func (l *Logic) limit(r *world.Request, q *queue) float64 {
	limit := l.Limit
	if limit == 0 {
		limit = l.fill.Limit(r.Arrived().Model)
	}
	if q.fair.Lead(r.Arrived().Team) <= 0 {
		limit += smallExtra
	}
	if l.world.Pace(r.Arrived().Model) < l.part(r.Arrived().Model)/2 {
		limit += joinExtra
	}
	return limit
}

// part is this instance's part of the model's capacity, in tokens a second.
func (l *Logic) part(model spec.ModelName) float64 {
	sum := 0.0
	for _, m := range l.world.Engines().Index().Versions(model) {
		sum += m.Capacity()
	}
	return sum / float64(1+len(l.world.Peers()))
}

// drain is how many tokens a second this instance's queue of the model works
// off: what its own requests make, since each that ends lets one in.
func (l *Logic) drain(model spec.ModelName) float64 {
	return max(1, l.world.Pace(model), l.part(model)/2)
}

// weigh starts the request, lets it wait, or refuses it at once.
func (l *Logic) weigh(r *world.Request, q *queue, choice pick.Choice) {
	drain := l.drain(r.Arrived().Model)
	team := r.Arrived().Team
	cost := l.cost(r)
	charge := l.charge(r, cost)
	v := l.view(r, q, choice, drain, cost)
	if v.ahead == 0 && choice.Fits && !v.late {
		q.fair.Began(team, charge)
		l.start(r, choice)
		return
	}
	if v.late && choice.Fits {
		// Only slow engines have room now; faster ones may have it in time.
		if fast, ok := l.Pick.Choose(&l.world, r, pick.Ask{Limit: anyLimit, Out: l.margins.Length(r)}); ok {
			choice = pick.Choice{Plan: fast.Plan}
			v = l.view(r, q, choice, drain, cost)
		}
	}
	if v.late || q.fair.Len() >= fair.Most {
		reason := l.reason(r, q, v, drain)
		l.refuse(r, reason, v.over, 1/choice.Plan.Token.Seconds())
		return
	}
	q.fair.Push(&fair.Item{
		Request: r, Cost: cost, Charge: charge, Latest: v.latest, Rate: 1 / choice.Plan.Token.Seconds(),
	})
}

// view is how a request stands with a plan.
type view struct {
	est    admit.Estimate
	latest time.Duration
	ahead  float64
	over   time.Duration
	late   bool
}

func (l *Logic) view(r *world.Request, q *queue, choice pick.Choice, drain, cost float64) view {
	class := r.Class()
	margin := l.margins.Of(class)
	v := view{latest: admit.Latest(class.Target(), margin, r.At(), choice.Plan)}
	v.ahead = q.fair.Ahead(r.Arrived().Team, v.latest)
	v.est = admit.Estimate{Elapsed: l.world.Now() - r.At(), Plan: choice.Plan}
	if v.ahead > 0 || !choice.Fits {
		v.est.Wait = seconds((v.ahead + cost/2) / drain)
	}
	v.over, v.late = admit.Late(class.Target(), margin, v.est)
	return v
}

// reason tells whether the request is late because of its own team's backlog:
// it would be in time if the team were within its share.
func (l *Logic) reason(r *world.Request, q *queue, v view, drain float64) world.Reason {
	if q.fair.Lead(r.Arrived().Team) <= 0 {
		return world.ReasonOverload
	}
	v.est.Wait = seconds(q.fair.AheadOfNew(v.latest) / drain)
	if _, late := admit.Late(r.Class().Target(), l.margins.Of(r.Class()), v.est); late {
		return world.ReasonOverload
	}
	return world.ReasonTeam
}

// cost is what the request takes, in tokens through the whole model.
func (l *Logic) cost(r *world.Request) float64 {
	return float64(r.Arrived().Prompt)/pick.Chunk + float64(l.margins.Length(r))
}

// charge is what the request costs its team: more for a small share, and more
// for a team that uses much elsewhere.
func (l *Logic) charge(r *world.Request, cost float64) float64 {
	w := &l.world
	share := 1.0
	if t, ok := w.Team(r.Arrived().Team); ok && t.Share() > 0 {
		share = t.Share()
	}
	return cost / share * l.rates.Factor(w.Now(), r.Arrived().Team)
}

// refuse sends the request to another data centre that has room for rate
// tokens a second, if there is one, and else ends it.
func (l *Logic) refuse(r *world.Request, reason world.Reason, over time.Duration, rate float64) {
	w := &l.world
	if c := l.elsewhere(r, rate); c != nil && reason != world.ReasonTeam {
		c.Give(rate)
		w.Forward(r, c.Instance())
		return
	}
	if reason == world.ReasonNoEngine && len(w.Engines().Rows()) == 0 {
		over = readyRetry
	}
	w.Refuse(r, reason, admit.After(over, l.rand.Float64()))
}

// start runs the request on a chain and tells the systems.
func (l *Logic) start(r *world.Request, choice pick.Choice) {
	w := &l.world
	now := w.Now()
	if r.Attempt() == 0 {
		l.budget.Began(r.Arrived().Class)
		l.rates.Use(now, r.Arrived().Team, l.cost(r))
	}
	for _, e := range choice.Plan.Fresh {
		l.cache.Ran(now, e, r.Arrived().Blocks)
	}
	times := l.patience.Times(r, choice.Plan)
	if l.Open {
		times = retry.Times{Step: openPatience, Prefill: openPatience}
	}
	w.Start(r, choice.Plan, prio(r), times.Step, times.Prefill)
}

const (
	prioBase = 32
	prioNone = 31
)

// prio orders work inside engines: a tighter target runs first, and what
// resumes before what starts, since its caller has waited already.
func prio(r *world.Request) int {
	target := r.Class().Target()
	limit := target.FirstEvent()
	if limit == 0 {
		limit = target.TotalTime()
	}
	p := prioNone
	if limit > 0 {
		p = min(prioNone, bits.Len64(uint64(limit.Milliseconds())))
	}
	if r.Attempt() > 0 {
		return p
	}
	return p + prioBase
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, 3600) * float64(time.Second))
}
