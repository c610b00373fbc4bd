package edge

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"fulmarwick/internal/app/setup"
	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/crash"
	"fulmarwick/internal/route/ewma"
	"fulmarwick/internal/route/length"
	"fulmarwick/internal/route/limit"
	"fulmarwick/internal/route/notice"
	"fulmarwick/internal/route/path"
	"fulmarwick/internal/route/queue"
	"fulmarwick/internal/route/resend"
	"fulmarwick/internal/route/share"
	"fulmarwick/internal/route/shed"
	"fulmarwick/internal/wire/relay"
)

// serviceState holds the upstreams of a service and the routing state of its
// requests.
type serviceState struct {
	name      string
	upstreams []site.Upstream
	// unlisted holds the engines of the model's table that are not in upstreams.
	unlisted []spec.UpstreamID
	plain    ewma.Balancer
	model    *path.Table
	// answerLengths estimates the lengths of answers from the hints of callers
	// and the lengths observed.
	answerLengths length.Estimator
	retryBudget   resend.Budget
	// peerRetries holds the retry usage that each other instance reported.
	peerRetries resend.Reports
	// attempted counts, by engine, the runs that began at it of requests that have not ended.
	attempted map[spec.UpstreamID]int
	// runs holds the active runs of model requests.
	runs  map[*relay.Run]*runState
	teams share.Fleet
	// sharesTeams means that teams share capacity by the requests of all instances.
	sharesTeams bool
	// gate refuses less urgent requests while more urgent ones are late.
	gate shed.Gate
	// queue holds the requests that wait for capacity.
	queue queue.Queue
	// waiters maps the tickets in queue to their requests.
	waiters map[*queue.Ticket]*waiter
	// firstLatency is a moving average of the first-event latency.
	firstLatency time.Duration
	// checks holds the upstreams that are being checked since they may have ended, and when that
	// was last asked for.
	checks map[spec.UpstreamID]time.Duration
}

// router holds the routing state of all services. It selects upstreams and paths
// for the relays.
type router struct {
	centre spec.DataCentre
	// instanceCount returns the number of instances.
	instanceCount func() int
	// retryBudgetSharers returns how many instances may share the retry budget.
	retryBudgetSharers func() int
	start              time.Time
	// onSuspect is called for each engine that may be dead.
	onSuspect func(site.Upstream)
	// onNotice is called for each notice; newlyLeaving is set for the first one with which
	// an upstream says that it leaves.
	onNotice func(id spec.UpstreamID, n site.Notice, newlyLeaving bool)
	// onRateLimit is called for each change of the rate limit of an upstream; zero means that
	// it names none any more.
	onRateLimit func(id spec.UpstreamID, perSecond float64)
	// onCrash is called for each crash of an upstream under a request, with what counts
	// against the request now.
	onCrash func(c crash.Event, count crashCount)
	// onSuspectRun is called when a run of a request ends under which upstreams have ended.
	onSuspectRun func(run suspectRun)
	// onStanding is called for each change of the standing of a suspect.
	onStanding func(c crash.Change)
	// takeTrials asks for a trial of a request with these quarantined suspects and reports
	// whether it is granted.
	takeTrials func(ctx context.Context, suspects []crash.Key) bool
	// onAttemptReleased is called for each engine that does not count as an attempt of a request any more,
	// with the evidence that it has exited.
	onAttemptReleased func(c *relay.Call, id spec.UpstreamID, evidence string)
	// linksLost reports whether this instance has lost its links to all upstreams. It may wait
	// for a check.
	linksLost func(context.Context) bool
	// connect shows whether an upstream accepts a connection. It keeps none: hundreds of instances
	// may check an upstream at once.
	connect func(site.Upstream) error
	// stopped is closed when the instance stops.
	stopped chan struct{}
	// isDead probes a suspect engine again and reports whether it is dead.
	isDead func(context.Context, site.Upstream) bool

	// sharesTeams means that teams share the capacity of model services by the requests of all
	// instances.
	sharesTeams bool
	// expectsLoad reports whether engines are chosen also by what other instances are expected to
	// have sent.
	expectsLoad func() bool

	mu          sync.Mutex
	retryBounds setup.Retry
	services    map[string]*serviceState
	crashBook   crash.Tracker
	openRuns    crash.OpenRuns
	// settling means that a call of settle is due.
	settling bool
	notices  notice.Book
	limits   limit.Limiter
	// unreportedCrashes holds crashes seen by this instance, each with the request
	// that the upstream ran, that were not yet sent to the other instances.
	unreportedCrashes []crash.Event
}

func (r *router) now() time.Duration { return time.Since(r.start) }

// service returns the state of a service and creates it if needed; r.mu is held.
func (r *router) service(name string) *serviceState {
	svc := r.services[name]
	if svc == nil {
		svc = &serviceState{name: name, attempted: map[spec.UpstreamID]int{}, runs: map[*relay.Run]*runState{}, waiters: map[*queue.Ticket]*waiter{}, checks: map[spec.UpstreamID]time.Duration{}, sharesTeams: r.sharesTeams, firstLatency: initialFirstLatency}
		svc.plain.DataCentre, svc.plain.InBackoff, svc.plain.IsLimited = r.centre, r.notices.InBackoff, r.isLimited
		svc.setRetryBounds(r.retryBounds)
		r.services[name] = svc
	}
	return svc
}

// setRetryBounds sets the limits of the service's retry budget.
func (svc *serviceState) setRetryBounds(b setup.Retry) {
	if svc.retryBudget.Window != b.Window {
		svc.retryBudget = resend.Budget{}
	}
	svc.retryBudget.Ratio, svc.retryBudget.Allowance, svc.retryBudget.Window, svc.retryBudget.RampUp = b.Ratio, b.Allowance, b.Window, b.Window
}

// setRetryBounds sets the limits of the retry budgets of all services.
func (r *router) setRetryBounds(b setup.Retry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retryBounds = b
	for _, svc := range r.services {
		svc.setRetryBounds(b)
	}
}

// setConfig applies the services of a configuration.
func (r *router) setConfig(c *site.Config) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range c.Services {
		svc := r.service(s.Name)
		if s.Model == nil {
			continue
		}
		svc.gate.SetRanks(c.ShedRanks(s.Name))
		if svc.model == nil {
			svc.model = &path.Table{Centre: r.centre, Random: rand.Float64, InBackoff: r.notices.InBackoff, IsLimited: r.isLimited, PeerCount: func() int { return r.retryBudgetSharers() - 1 }}
		}
		if s.Model.Equal(svc.model.Model) {
			// Most changes don't affect the model. A new model makes the planner place
			// all layers again, which takes CPU time from all streams of the instance
			// that plans.
			continue
		}
		svc.model.Model = s.Model
		svc.syncModel()
	}
}

// setList replaces the upstreams of all services.
func (r *router) setList(list []site.Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	byService := map[string][]site.Upstream{}
	for _, u := range list {
		byService[u.Service] = append(byService[u.Service], u)
	}
	for name := range byService {
		r.service(name)
	}
	starts := newListedStarts(list)
	for name, svc := range r.services {
		r.endReplaced(svc, starts)
		svc.upstreams = byService[name]
		if svc.model != nil {
			svc.syncModel()
			continue
		}
		svc.plain.SetUpstreams(svc.upstreams)
	}
}

// syncModel passes the listed engines to the model's table. Engines that are no longer listed
// stay in it as leaving ones while runs use them, or requests that ran on them go on elsewhere, so
// that their death is noticed; router.mu is held.
func (svc *serviceState) syncModel() {
	listed := map[spec.UpstreamID]bool{}
	for _, up := range svc.upstreams {
		listed[up.ID] = true
	}
	engines := slices.Clone(svc.upstreams)
	svc.unlisted = nil
	for _, up := range svc.model.Engines() {
		if listed[up.ID] || !svc.isKept(up.ID) {
			continue
		}
		up.State = site.StateDraining
		engines = append(engines, up)
		svc.unlisted = append(svc.unlisted, up.ID)
	}
	svc.model.Sync(engines)
}

// isUsed reports whether a run uses an engine; router.mu is held.
func (svc *serviceState) isUsed(id spec.UpstreamID) bool {
	for _, t := range svc.runs {
		if t.chain.Uses(id) || t.formerChain.Uses(id) {
			return true
		}
	}
	return false
}

// isKept reports whether the table keeps an engine that is not listed; router.mu is held.
func (svc *serviceState) isKept(id spec.UpstreamID) bool {
	return svc.attempted[id] > 0 || svc.isUsed(id)
}

// dropUnusedEngines removes the engines that are neither listed nor kept any more.
func (r *router) dropUnusedEngines() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, svc := range r.services {
		if slices.ContainsFunc(svc.unlisted, func(id spec.UpstreamID) bool { return !svc.isKept(id) }) {
			svc.syncModel()
		}
	}
}

// RecordRequest counts a first attempt in the retry budget of a service.
func (r *router) RecordRequest(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.service(service).retryBudget.RecordRequest(r.now())
}

// AllowRetry reports whether the retry budget permits sending a request again, and
// if so, takes the retry from it.
func (r *router) AllowRetry(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	svc := r.service(service)
	return svc.retryBudget.AllowRetry(r.now(), r.retryBudgetSharers(), svc.peerRetries.Sum(r.now(), svc.retryBudget.Window))
}
