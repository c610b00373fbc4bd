package core

import (
	"math/bits"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/admit"
	"fulmarwick/internal/route/fair"
	"fulmarwick/internal/route/pick"
	"fulmarwick/internal/route/poison"
	"fulmarwick/internal/route/world"
)

const (
	// coverRetry is what callers are told when no set of engines covers their
	// model: about the time that a replacement takes to load.
	coverRetry = 5 * time.Second
	// readyRetry is the same while this instance knows no engine of it yet.
	readyRetry = 2 * time.Second
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
		l.admit(r)
	}
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
	w := &l.world
	class := r.Class()
	margin := l.margins.Of(class)
	latest := admit.Latest(class.Target(), margin, r.At(), choice.Plan)
	drain := l.drain(r.Arrived().Model)
	team := r.Arrived().Team
	ahead := q.fair.Ahead(w.Now(), q.fair.Start(team), latest)
	est := admit.Estimate{Elapsed: w.Now() - r.At(), Plan: choice.Plan}
	cost := l.cost(r)
	if ahead > 0 || !choice.Fits {
		est.Wait = seconds((ahead + cost/2) / drain)
	}
	if over, late := admit.Late(class.Target(), margin, est); late || q.fair.Len() >= fair.Most {
		reason := l.reason(r, q, est, latest, drain)
		l.refuse(r, reason, over, 1/choice.Plan.Token.Seconds())
		return
	}
	it := &fair.Item{Request: r, Cost: cost, Charge: l.charge(r, cost), Latest: latest}
	it.Tag = q.fair.Tag(team, it.Charge)
	if ahead == 0 && choice.Fits {
		q.fair.Began(it.Tag)
		l.start(r, choice)
		return
	}
	q.fair.Push(w.Now(), it)
}

// reason tells whether the request is late because of its own team's backlog:
// it would be in time if the team were within its share.
func (l *Logic) reason(r *world.Request, q *queue, est admit.Estimate, latest time.Duration, drain float64) world.Reason {
	team := r.Arrived().Team
	if q.fair.Lead(team) <= 0 {
		return world.ReasonOverload
	}
	alone := q.fair.Ahead(l.world.Now(), q.fair.Virtual(), latest)
	est.Wait = seconds(alone / drain)
	if _, late := admit.Late(r.Class().Target(), l.margins.Of(r.Class()), est); late {
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
	limit := target.First()
	if limit == 0 {
		limit = target.Whole()
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
