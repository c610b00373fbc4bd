package edge

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"fulmarwick/internal/app/setup"
	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/crash"
	"fulmarwick/internal/route/ewma"
	"fulmarwick/internal/route/length"
	"fulmarwick/internal/route/path"
	"fulmarwick/internal/route/queue"
	"fulmarwick/internal/route/resend"
	"fulmarwick/internal/route/share"
	"fulmarwick/internal/wire/relay"
)

// serviceState is a service and what is known of its upstreams.
type serviceState struct {
	name      string
	upstreams []site.Upstream
	plain     ewma.Balancer
	model     *path.Table
	// answerLengths is how long answers get against what callers guess.
	answerLengths length.Estimator
	retryBudget   resend.Budget
	// runs are the runs of model requests.
	runs  map[*relay.Run]*runState
	teams share.Teams
	// queue is the requests that wait for room, with their waiters; first is the
	// usual time to the first event.
	queue        queue.Queue
	waiters      map[*queue.Ticket]*waiter
	firstLatency time.Duration
	// lostAnswers are plain requests whose answers were lost lately.
	lostAnswers []lostAnswer
}

// router is the tables of all services. It gives the relays their upstreams.
type router struct {
	centre spec.DataCentre
	// instanceCount is how many instances there are, sharing how many may share the bound
	// on repeats.
	instanceCount      func() int
	retryBudgetSharers func() int
	start              time.Time
	// onSuspect is told of engines that may be dead, isDead asks one that seemed dead
	// once more.
	onSuspect func(site.Upstream)
	isDead    func(context.Context, site.Upstream) bool

	mu          sync.Mutex
	retryBounds setup.Retry
	services    map[string]*serviceState
	// peerRetries is how often requests of other instances were sent.
	peerRetries map[spec.InstanceID]peerRetryReport
	crashBook   crash.Tracker
	// unreportedCrashes are upstreams that died here with the requests that they ran, for
	// the other instances.
	unreportedCrashes []crash.Event
}

func (r *router) now() time.Duration { return time.Since(r.start) }

func (r *router) service(name string) *serviceState {
	g := r.services[name]
	if g == nil {
		g = &serviceState{name: name, runs: map[*relay.Run]*runState{}, waiters: map[*queue.Ticket]*waiter{}, firstLatency: initialFirstLatency}
		g.plain.DataCentre = r.centre
		g.setRetryBounds(r.retryBounds)
		r.services[name] = g
	}
	return g
}

// setRetryBounds sets how often requests of the service may be sent again.
func (g *serviceState) setRetryBounds(b setup.Retry) {
	if g.retryBudget.Window != b.Window {
		g.retryBudget = resend.Budget{}
	}
	g.retryBudget.Ratio, g.retryBudget.Allowance, g.retryBudget.Window, g.retryBudget.RampUp = b.Ratio, b.Allowance, b.Window, b.Window
}

func (r *router) setRetryBounds(b setup.Retry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retryBounds = b
	for _, g := range r.services {
		g.setRetryBounds(b)
	}
}

// setConfig takes the services in force.
func (r *router) setConfig(c *site.Config) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range c.Services {
		g := r.service(s.Name)
		if s.Model == nil {
			continue
		}
		if g.model == nil {
			g.model = &path.Table{Centre: r.centre, Random: rand.Float64, PeerCount: func() int { return r.retryBudgetSharers() - 1 }}
		}
		if s.Model.Equal(g.model.Model) {
			// Most changes touch no model. A new one has all layers planned anew, which
			// takes the processor from all streams of the instance that places them.
			continue
		}
		g.model.Model = s.Model
		g.model.Sync(g.upstreams)
	}
}

// setList takes the upstreams.
func (r *router) setList(list []site.Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	by := map[string][]site.Upstream{}
	for _, u := range list {
		by[u.Service] = append(by[u.Service], u)
	}
	for name := range by {
		r.service(name)
	}
	for name, g := range r.services {
		g.upstreams = by[name]
		if g.model != nil {
			g.model.Sync(g.upstreams)
			continue
		}
		g.plain.SetUpstreams(g.upstreams)
	}
}

// RecordRequest counts a request.
func (r *router) RecordRequest(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.service(service).retryBudget.RecordRequest(r.now())
}

// AllowRetry reports whether a request may be sent once more.
func (r *router) AllowRetry(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.service(service).retryBudget.AllowRetry(r.now(), r.retryBudgetSharers(), r.peerRetryCount(service))
}
