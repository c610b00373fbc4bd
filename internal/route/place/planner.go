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

	// earlyCheckDelay is how long after a change an early check determines how
	// much rate was lost.
	earlyCheckDelay = 2 * time.Second
	// earlyPlanMinRatio is how many times the current rate a plan must reach to
	// be carried out after an early check.
	earlyPlanMinRatio = 1.5

	// unitsPerStep is the number of engines for which a run of the planner does
	// one step. A plan for more engines pauses after each step, a plan for fewer
	// does proportionally more steps in one run.
	unitsPerStep = 120
	// stepPause is the pause after a step for each unitsPerStep engines.
	stepPause = 20 * time.Millisecond
)

// Planner keeps the placement close to the best and emits domain.LoadLayers
// while this instance has the placement duty. Set the exported fields before
// the first Run.
type Planner struct {
	Goal Goal
	// LoadRate is the rate of the weight store in layers a second. Zero means
	// unknown; then only the limit of a tenth of the engines loading at once
	// applies.
	LoadRate float64
	// DataCentre limits the plan to the engines of one data centre. An empty
	// value means all engines.
	DataCentre spec.DataCentre
	// Models are the wanted versions. If it is nil, the planner keeps the
	// version with the most capacity of each model that engines report.
	Models []Model
	// MinGain is the least relative gain in rate for which engines that hold
	// layers are changed, unless the plan reduces the number of missing
	// holders. Zero means 0.05.
	MinGain float64
	// ReviewInterval is the time between two reviews. Zero means 1 s.
	ReviewInterval time.Duration
	// SettleTime is how long the engines must be unchanged before a plan,
	// unless layers have no holder. Zero means 10 s.
	SettleTime time.Duration
	// PlanCooldown is the time between two plans that only gain rate. Zero
	// means 60 s.
	PlanCooldown time.Duration

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

// Status describes the placement for operators.
type Status struct {
	// Rate and Bound are multiples of the demand; for a single model, tokens a
	// second. Target is the expected rate after all moves are done.
	Rate, Bound, Target float64
	// MissingHolders is how many holders the layers lack in total. A layer
	// without any holder adds another thousand.
	MissingHolders int
	// Waiting is the number of engines whose order is not sent yet, Loading
	// that of engines with a pending order, Stuck that of engines that did not
	// carry out their orders.
	Waiting, Loading, Stuck int
}

// Status returns the status as of the last review.
func (p *Planner) Status() Status { return p.status }

// Shares returns how much of each segment of layers each engine runs at the
// best rate of the current placement, as of the last plan. Routing may use the
// shares as weights. The caller must not modify them.
func (p *Planner) Shares() []Share { return p.shares }

// Run reviews the placement at intervals. Each call does a bounded part of a
// plan, so that planning for many engines delays no request.
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

// continueJob runs the next steps of the current plan: several for a small
// site, one for a large one. Steps for many engines take some milliseconds
// each, so there are pauses between them unless layers have no holder.
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

// reset discards all plans. The instance that has the duty now plans from what
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
	missing := prob.missingHolders(now)
	p.status.MissingHolders, p.status.Waiting = missing, len(p.rollout.queue)
	p.status.Loading, p.status.Stuck = p.rollout.loadingCount(), p.rollout.stuckCount(w.Now())
	p.detectChanges(w.Now(), prob, now)
	switch {
	case len(engines) == 0 || len(models) == 0:
	case p.shouldPlan(w.Now(), missing):
		p.startJob(prob, now, engines)
	default:
		p.rollout.dispatch(w, p.Goal, engines, models, p.LoadRate)
	}
}

// plannableEngines returns the engines that can get layers, ordered by ID. An
// engine that is leaving gets no more layers, and a dead one holds none.
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

// expectedLayout returns what the engines hold once the pending orders are
// carried out.
func (p *Planner) expectedLayout(prob *problem, engines []*domain.Engine) layout {
	out := prob.currentLayout(engines)
	for i, e := range engines {
		if o := p.rollout.pending[e.ID]; o != nil {
			out[i] = prob.toSpans(o.ranges)
		}
	}
	return out
}

// detectChanges marks a plan as due when the engines, their layers or the
// demands changed.
func (p *Planner) detectChanges(now time.Duration, prob *problem, l layout) {
	if digest := prob.digest(l, p.catalog.quantizedDemands()); digest != p.lastDigest {
		p.lastDigest, p.changedAt, p.planDue, p.earlyChecked = digest, now, true, false
	}
}

// shouldPlan reports whether to plan now. It plans at once if layers have no
// holder, and otherwise after the settle time. A plan that only gains rate must
// also wait until the last plan is carried out and its cooldown is over.
// Without these waits, an engine that repeatedly leaves and returns would cause
// weights to be loaded back and forth.
//
// Before the settle time ends, one early check determines whether so much rate
// was lost that waiting costs more.
func (p *Planner) shouldPlan(now time.Duration, missing int) bool {
	cooledDown := p.plannedAt == 0 || now >= p.plannedAt+defaultIfZero(p.PlanCooldown, defaultPlanCooldown)
	switch {
	case !p.planDue:
		return false
	case missing >= noHolderPenalty:
		return true
	case p.isSettled(now):
		return missing > 0 || cooledDown && p.rollout.isIdle()
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
	// The remaining moves of an older plan no longer match the engines.
	p.rollout.queue = nil
	p.job = newJob(prob, l)
	p.engineIDs = p.engineIDs[:0]
	for _, e := range engines {
		p.engineIDs = append(p.engineIDs, e.ID)
	}
}

// applyResult queues the moves to the new layout if its gain justifies the
// loads.
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
		// Engines that hold nothing still get layers. This removes no
		// holder, and idle hardware costs as much as busy hardware.
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
