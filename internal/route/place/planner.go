package place

import (
	"slices"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
)

// Defaults of the exported fields.
const (
	defaultMinGain        = 0.05
	defaultReviewInterval = time.Second
	defaultSettleTime     = 10 * time.Second
	defaultPlanCooldown   = time.Minute

	// earlyCheckDelay is when an early look is taken at what a change cost, and hurry
	// how many times the rate a plan must give to be carried out then.
	earlyCheckDelay   = 2 * time.Second
	earlyPlanMinRatio = 1.5

	// A plan for stepUnits engines pauses once for stepPause after each step;
	// one for fewer does as many more steps in a run.
	unitsPerStep = 120
	stepPause    = 20 * time.Millisecond
)

// Planner keeps the placement near the best and emits domain.LoadLayers while this
// instance has the duty. Set the exported fields before the first Run.
type Planner struct {
	Goal Goal
	// LoadRate of the weight store in layers a second; zero is unknown: then a
	// tenth of the engines may load at once.
	LoadRate float64
	// DataCentre limits the plan to engines of one data centre; "" is all.
	DataCentre spec.DataCentre
	// Models are the versions wanted; nil keeps, for each model that engines
	// report, the version that can serve most.
	Models []Model
	// MinGain is the least relative gain for which engines are changed that lack
	// nothing; zero is 0.05.
	MinGain float64
	// ReviewInterval is the time between two reviews (zero is 1 s), Settle how long the
	// engines must have stood unchanged before a plan (10 s) unless layers
	// have no holder, and Rest the time between two plans for gain only (60 s).
	ReviewInterval time.Duration
	SettleTime     time.Duration
	PlanCooldown   time.Duration

	nextReview   time.Duration
	nextStep     time.Duration
	lastDigest   uint64
	changedAt    time.Duration
	plannedAt    time.Duration
	planDue      bool
	earlyChecked bool
	job          *job
	engineIDs    []spec.UpstreamID
	catalog      catalog
	rollout      rollout
	status       Status
	shares       []Share
}

// Status is what operators see of the placement.
type Status struct {
	// Rate and Bound are multiples of the demand; for one model, tokens a
	// second. Target is the rate when all moves are done.
	Rate, Bound, Target float64
	// MissingHolders is how many holders the layers lack; a layer without any counts
	// a thousand.
	MissingHolders int
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
func (p *Planner) Run(w *domain.RoutingState) {
	if !w.Duties().PlansPlacement {
		p.reset()
		return
	}
	if p.job != nil {
		p.continueJob(w)
		return
	}
	if w.Now() < p.nextReview {
		return
	}
	p.nextReview = w.Now() + defaultIfZero(p.ReviewInterval, defaultReviewInterval)
	p.review(w)
}

// continueJob does a few steps of the plan under way for a small site, one for a
// large one. Steps for many engines take some milliseconds and are spread out,
// unless layers have no holder.
func (p *Planner) continueJob(w *domain.RoutingState) {
	if w.Now() < p.nextStep {
		return
	}
	if p.job.currentMissing < noHolderPenalty {
		p.nextStep = w.Now() + time.Duration(len(p.engineIDs)/unitsPerStep)*stepPause
	}
	for range max(1, unitsPerStep/max(1, len(p.engineIDs))) {
		p.job.step()
		if p.job.done {
			p.applyResult(w)
			return
		}
	}
}

// reset forgets all plans: whoever has the duty now makes its own, from what
// engines report.
func (p *Planner) reset() {
	p.job, p.rollout, p.lastDigest, p.planDue = nil, rollout{}, 0, false
}

func defaultIfZero(d, other time.Duration) time.Duration {
	if d == 0 {
		return other
	}
	return d
}

func (p *Planner) review(w *domain.RoutingState) {
	engines := p.plannableEngines(w)
	p.catalog.update(w, p.Models)
	models := p.catalog.normalizedModels()
	p.rollout.removeCompleted(w.Now(), engines)
	p.rollout.cancelUnsafe(w, p.Goal, engines, models)
	prob := p.buildProblem(w.Now(), engines, models)
	now := p.expectedLayout(prob, engines)
	lack := prob.missingHolders(now)
	p.status.MissingHolders, p.status.Waiting = lack, len(p.rollout.queue)
	p.status.Loading, p.status.Stuck = p.rollout.loadingCount(), p.rollout.stuckCount(w.Now())
	p.detectChanges(w.Now(), prob, now)
	switch {
	case len(engines) == 0 || len(models) == 0:
	case p.shouldPlan(w.Now(), lack):
		p.startJob(prob, now, engines)
	default:
		p.rollout.dispatch(w, p.Goal, engines, models, p.LoadRate)
	}
}

// plannableEngines are those that can be planned with, in order of ID. A leaving
// engine gets nothing more and a dead one holds nothing.
func (p *Planner) plannableEngines(w *domain.RoutingState) []*domain.Engine {
	var out []*domain.Engine
	for _, e := range w.Engines().Rows() {
		if e.State() == domain.StateServing && (p.DataCentre == "" || e.DataCentre == p.DataCentre) {
			out = append(out, e)
		}
	}
	return out
}

func (p *Planner) buildProblem(now time.Duration, engines []*domain.Engine, models []Model) *problem {
	prob := newProblem(p.Goal, engines, models)
	for i, e := range engines {
		prob.units[i].fixed = p.rollout.isRefusing(now, e.ID)
	}
	return prob
}

// expectedLayout is what the engines hold when the orders under way are followed.
func (p *Planner) expectedLayout(prob *problem, engines []*domain.Engine) layout {
	out := prob.currentLayout(engines)
	for i, e := range engines {
		if o := p.rollout.pending[e.ID]; o != nil {
			out[i] = prob.toSpans(o.ranges)
		}
	}
	return out
}

// detectChanges notices when the engines, what they hold, or the demands changed.
func (p *Planner) detectChanges(now time.Duration, prob *problem, l layout) {
	if sum := prob.digest(l, p.catalog.quantizedDemands()); sum != p.lastDigest {
		p.lastDigest, p.changedAt, p.planDue, p.earlyChecked = sum, now, true, false
	}
}

// shouldPlan reports whether a plan is due: at once if layers have no holder, else
// when things settled, and for mere gain only when the last plan is done and
// some time ago. Without these waits an engine that comes and goes would have
// weights loaded back and forth. Before that, one early look tells whether so
// much was lost that waiting costs more.
func (p *Planner) shouldPlan(now time.Duration, lack int) bool {
	rested := p.plannedAt == 0 || now >= p.plannedAt+defaultIfZero(p.PlanCooldown, defaultPlanCooldown)
	switch {
	case !p.planDue:
		return false
	case lack >= noHolderPenalty:
		return true
	case p.isSettled(now):
		return lack > 0 || rested && p.rollout.isIdle()
	case p.earlyChecked || now < p.changedAt+earlyCheckDelay:
		return false
	}
	p.earlyChecked = true
	return true
}

func (p *Planner) isSettled(now time.Duration) bool {
	return now >= p.changedAt+defaultIfZero(p.SettleTime, defaultSettleTime)
}

func (p *Planner) startJob(prob *problem, l layout, engines []*domain.Engine) {
	p.planDue = false
	// What is left of an older plan was meant for engines that changed.
	p.rollout.queue = nil
	p.job = newJob(prob, l)
	p.engineIDs = p.engineIDs[:0]
	for _, e := range engines {
		p.engineIDs = append(p.engineIDs, e.ID)
	}
}

// applyResult takes the layout found if it is worth its loads.
func (p *Planner) applyResult(w *domain.RoutingState) {
	j := p.job
	p.job = nil
	p.status.Rate, p.status.Bound, p.status.Target = j.currentValue.rate, j.problem.rateBound(), j.currentValue.rate
	p.shares = j.problem.shares(j.currentValue)
	if !p.isSettled(w.Now()) && j.currentMissing < noHolderPenalty && j.targetValue.rate < earlyPlanMinRatio*j.currentValue.rate {
		p.planDue = true
		return
	}
	gain := p.MinGain
	if gain == 0 {
		gain = defaultMinGain
	}
	order := j.changeOrder
	if j.targetMissing >= j.currentMissing && j.targetValue.rate < j.currentValue.rate*(1+gain) {
		// Engines that hold nothing are given something all the same: that
		// takes nothing away, and idle hardware costs as much as busy.
		order = slices.DeleteFunc(order, func(u int) bool { return len(j.current[u]) > 0 })
	} else {
		p.status.Target = j.targetValue.rate
	}
	if len(order) == 0 {
		return
	}
	p.plannedAt = w.Now()
	for _, u := range order {
		p.rollout.queue = append(p.rollout.queue, move{
			engine: p.engineIDs[u], ranges: j.problem.toLoadedRanges(j.target[u]), layersToLoad: layersToLoad(j.current[u], j.target[u]),
		})
	}
	p.nextReview = w.Now()
}
