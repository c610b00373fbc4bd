package edge

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"fulmarwick/internal/app/setup"
	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/again"
	"fulmarwick/internal/route/crash"
	"fulmarwick/internal/route/guess"
	"fulmarwick/internal/route/least"
	"fulmarwick/internal/route/path"
	"fulmarwick/internal/route/queue"
	"fulmarwick/internal/route/share"
	"fulmarwick/internal/wire/relay"
)

// group is a service and what is known of its upstreams.
type group struct {
	name  string
	list  []site.Upstream
	plain least.Table
	model *path.Table
	// guesses is how long answers get against what callers guess.
	guesses guess.Book
	budget  again.Budget
	// flights are the runs of model requests.
	flights map[*relay.Flight]*tally
	teams   share.Teams
	// queue is the requests that wait for room, with their waiters; first is the
	// usual time to the first event.
	queue   queue.Queue
	waiters map[*queue.Ticket]*waiter
	first   time.Duration
	// lost are plain requests whose answers were lost lately.
	lost []loss
}

// router is the tables of all services. It gives the relays their upstreams.
type router struct {
	centre spec.DataCentre
	// instances is how many instances there are, sharing how many may share the bound
	// on repeats.
	instances func() int
	sharing   func() int
	start     time.Time
	// doubted is told of engines that may be dead, isDead asks one that seemed dead
	// once more.
	doubted func(site.Upstream)
	isDead  func(context.Context, site.Upstream) bool

	mu     sync.Mutex
	bounds setup.Retry
	groups map[string]*group
	// told is how often requests of other instances were sent.
	told map[spec.InstanceID]toldRepeats
	book crash.Book
	// deaths are upstreams that died here with the requests that they ran, for
	// the other instances.
	deaths []crash.Death
}

func (r *router) now() time.Duration { return time.Since(r.start) }

func (r *router) group(name string) *group {
	g := r.groups[name]
	if g == nil {
		g = &group{name: name, flights: map[*relay.Flight]*tally{}, waiters: map[*queue.Ticket]*waiter{}, first: firstTime}
		g.plain.Centre = r.centre
		g.bound(r.bounds)
		r.groups[name] = g
	}
	return g
}

// bound sets how often requests of the service may be sent again.
func (g *group) bound(b setup.Retry) {
	if g.budget.Window != b.Window {
		g.budget = again.Budget{}
	}
	g.budget.Ratio, g.budget.Allowance, g.budget.Window, g.budget.Young = b.Ratio, b.Allowance, b.Window, b.Window
}

func (r *router) setBounds(b setup.Retry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bounds = b
	for _, g := range r.groups {
		g.bound(b)
	}
}

// setConfig takes the services in force.
func (r *router) setConfig(c *site.Config) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range c.Services {
		g := r.group(s.Name)
		if s.Model == nil {
			continue
		}
		if g.model == nil {
			g.model = &path.Table{Centre: r.centre, Random: rand.Float64, Others: func() int { return r.sharing() - 1 }}
		}
		if s.Model.Equal(g.model.Model) {
			// Most changes touch no model. A new one has all layers planned anew, which
			// takes the processor from all streams of the instance that places them.
			continue
		}
		g.model.Model = s.Model
		g.model.Sync(g.list)
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
		r.group(name)
	}
	for name, g := range r.groups {
		g.list = by[name]
		if g.model != nil {
			g.model.Sync(g.list)
			continue
		}
		g.plain.Sync(g.list)
	}
}

// First counts a request.
func (r *router) First(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.group(service).budget.First(r.now())
}

// Again reports whether a request may be sent once more.
func (r *router) Again(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.group(service).budget.Allow(r.now(), r.sharing(), r.others(service))
}
