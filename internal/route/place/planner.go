package place

import (
	"slices"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/world"
)

// Defaults of the exported fields.
const (
	defaultGain   = 0.05
	defaultEvery  = time.Second
	defaultSettle = 10 * time.Second
	defaultRest   = time.Minute

	// lookAfter is when an early look is taken at what a change cost, and hurry
	// how many times the rate a plan must give to be carried out then.
	lookAfter = 2 * time.Second
	hurry     = 1.5

	// A plan for stepUnits engines pauses once for stepPause after each step;
	// one for fewer does as many more steps in a run.
	stepUnits = 120
	stepPause = 20 * time.Millisecond
)

// Planner keeps the placement near the best and emits world.Place while this
// instance has the duty. Set the exported fields before the first Run.
type Planner struct {
	Goal Goal
	// Rate of the weight store in layers a second; zero is unknown: then a
	// tenth of the engines may load at once.
	Rate float64
	// DataCentre limits the plan to engines of one data centre; "" is all.
	DataCentre spec.DataCentre
	// Models are the versions wanted; nil keeps, for each model that engines
	// report, the version that can serve most.
	Models []Model
	// Gain is the least relative gain for which engines are changed that lack
	// nothing; zero is 0.05.
	Gain float64
	// Every is the time between two reviews (zero is 1 s), Settle how long the
	// engines must have stood unchanged before a plan (10 s) unless layers
	// have no holder, and Rest the time between two plans for gain only (60 s).
	Every  time.Duration
	Settle time.Duration
	Rest   time.Duration

	next    time.Duration
	step    time.Duration
	seen    uint64
	since   time.Duration
	planned time.Duration
	due     bool
	looked  bool
	job     *job
	ids     []spec.UpstreamID
	catalog catalog
	moves   moves
	status  Status
	shares  []Share
}

// Status is what operators see of the placement.
type Status struct {
	// Rate and Bound are multiples of the demand; for one model, tokens a
	// second. Target is the rate when all moves are done.
	Rate, Bound, Target float64
	// Missing is how many holders the layers lack; a layer without any counts
	// a thousand.
	Missing int
	// Waiting and Loading are engines yet to be ordered and ordered; Stuck are
	// those whose orders were not followed.
	Waiting, Loading, Stuck int
}

// Status is as of the last review.
func (p *Planner) Status() Status { return p.status }

// Shares are what each engine runs of each stretch of layers at the best rate
// of the present placement, as of the last plan. Routing may use them as
// weights. The caller must not change them.
func (p *Planner) Shares() []Share { return p.shares }

// Run reviews the placement now and then. A tick does a bounded piece of a
// plan, so that planning for many engines holds up no request.
func (p *Planner) Run(w *world.World) {
	if !w.Duties().Place {
		p.drop()
		return
	}
	if p.job != nil {
		p.work(w)
		return
	}
	if w.Now() < p.next {
		return
	}
	p.next = w.Now() + orElse(p.Every, defaultEvery)
	p.review(w)
}

// work does a few steps of the plan under way for a small site, one for a
// large one. Steps for many engines take some milliseconds and are spread out,
// unless layers have no holder.
func (p *Planner) work(w *world.World) {
	if w.Now() < p.step {
		return
	}
	if p.job.lack < noHolder {
		p.step = w.Now() + time.Duration(len(p.ids)/stepUnits)*stepPause
	}
	for range max(1, stepUnits/max(1, len(p.ids))) {
		p.job.step()
		if p.job.done {
			p.adopt(w)
			return
		}
	}
}

// drop forgets all plans: whoever has the duty now makes its own, from what
// engines report.
func (p *Planner) drop() {
	p.job, p.moves, p.seen, p.due = nil, moves{}, 0, false
}

func orElse(d, other time.Duration) time.Duration {
	if d == 0 {
		return other
	}
	return d
}

func (p *Planner) review(w *world.World) {
	engines := p.engines(w)
	p.catalog.learn(w, p.Models)
	models := p.catalog.models()
	p.moves.settle(w.Now(), engines)
	p.moves.withdraw(w, p.Goal, engines, models)
	prob := p.problem(w.Now(), engines, models)
	now := p.layout(prob, engines)
	lack := prob.missing(now)
	p.status.Missing, p.status.Waiting = lack, len(p.moves.queue)
	p.status.Loading, p.status.Stuck = p.moves.loading(), p.moves.stuck(w.Now())
	p.watch(w.Now(), prob, now)
	switch {
	case len(engines) == 0 || len(models) == 0:
	case p.wanted(w.Now(), lack):
		p.start(prob, now, engines)
	default:
		p.moves.emit(w, p.Goal, engines, models, p.Rate)
	}
}

// engines are those that can be planned with, in order of ID. A leaving
// engine gets nothing more and a dead one holds nothing.
func (p *Planner) engines(w *world.World) []*world.Engine {
	var out []*world.Engine
	for _, e := range w.Engines().Rows() {
		if e.State() == world.StateServing && (p.DataCentre == "" || e.DataCentre == p.DataCentre) {
			out = append(out, e)
		}
	}
	return out
}

func (p *Planner) problem(now time.Duration, engines []*world.Engine, models []Model) *problem {
	prob := newProblem(p.Goal, engines, models)
	for i, e := range engines {
		prob.units[i].fixed = p.moves.refused(now, e.ID)
	}
	return prob
}

// layout is what the engines hold when the orders under way are followed.
func (p *Planner) layout(prob *problem, engines []*world.Engine) layout {
	out := prob.current(engines)
	for i, e := range engines {
		if o := p.moves.sent[e.ID]; o != nil {
			out[i] = prob.spans(o.holds)
		}
	}
	return out
}

// watch notices when the engines, what they hold, or the demands changed.
func (p *Planner) watch(now time.Duration, prob *problem, l layout) {
	if sum := prob.digest(l, p.catalog.coarse()); sum != p.seen {
		p.seen, p.since, p.due, p.looked = sum, now, true, false
	}
}

// wanted reports whether a plan is due: at once if layers have no holder, else
// when things settled, and for mere gain only when the last plan is done and
// some time ago. Without these waits an engine that comes and goes would have
// weights loaded back and forth. Before that, one early look tells whether so
// much was lost that waiting costs more.
func (p *Planner) wanted(now time.Duration, lack int) bool {
	rested := p.planned == 0 || now >= p.planned+orElse(p.Rest, defaultRest)
	switch {
	case !p.due:
		return false
	case lack >= noHolder:
		return true
	case p.settled(now):
		return lack > 0 || rested && p.moves.idle()
	case p.looked || now < p.since+lookAfter:
		return false
	}
	p.looked = true
	return true
}

func (p *Planner) settled(now time.Duration) bool {
	return now >= p.since+orElse(p.Settle, defaultSettle)
}

func (p *Planner) start(prob *problem, l layout, engines []*world.Engine) {
	p.due = false
	// What is left of an older plan was meant for engines that changed.
	p.moves.queue = nil
	p.job = newJob(prob, l)
	p.ids = p.ids[:0]
	for _, e := range engines {
		p.ids = append(p.ids, e.ID)
	}
}

// adopt takes the layout found if it is worth its loads.
func (p *Planner) adopt(w *world.World) {
	j := p.job
	p.job = nil
	p.status.Rate, p.status.Bound, p.status.Target = j.value.rate, j.p.bound(), j.value.rate
	p.shares = j.p.shares(j.value)
	if !p.settled(w.Now()) && j.lack < noHolder && j.best.rate < hurry*j.value.rate {
		p.due = true
		return
	}
	gain := p.Gain
	if gain == 0 {
		gain = defaultGain
	}
	order := j.order
	if j.left >= j.lack && j.best.rate < j.value.rate*(1+gain) {
		// Engines that hold nothing are given something all the same: that
		// takes nothing away, and idle hardware costs as much as busy.
		order = slices.DeleteFunc(order, func(u int) bool { return len(j.now[u]) > 0 })
	} else {
		p.status.Target = j.best.rate
	}
	if len(order) == 0 {
		return
	}
	p.planned = w.Now()
	for _, u := range order {
		p.moves.queue = append(p.moves.queue, move{
			engine: p.ids[u], holds: j.p.holds(j.target[u]), loads: loads(j.now[u], j.target[u]),
		})
	}
	p.next = w.Now()
}
