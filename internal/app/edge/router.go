package edge

import (
	"math/rand/v2"
	"sync"
	"time"

	"fulmarwick/internal/app/setup"
	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/again"
	"fulmarwick/internal/route/crash"
	"fulmarwick/internal/route/least"
	"fulmarwick/internal/route/path"
	"fulmarwick/internal/wire/relay"

	"go.uber.org/zap"
)

// group is a service and what is known of its upstreams.
type group struct {
	name   string
	list   []site.Upstream
	plain  least.Table
	model  *path.Table
	budget again.Budget
	// flights are the runs of model requests.
	flights map[*relay.Flight]*tally
	// lost are plain requests whose answers were lost lately.
	lost []loss
}

// tally is how a run is counted in the table of engines.
type tally struct {
	chain  spec.Chain
	unread bool
}

// router is the tables of all services. It gives the relays their upstreams.
type router struct {
	log    *zap.Logger
	centre spec.DataCentre
	// instances is how many instances share the bound on repeats.
	instances func() int
	start     time.Time
	// doubted is told of engines that may be dead.
	doubted func(site.Upstream)

	mu     sync.Mutex
	bounds setup.Retry
	groups map[string]*group
	book   crash.Book
	// deaths are upstreams that died here with the requests that they ran, for
	// the other instances.
	deaths []crash.Death
}

func (r *router) now() time.Duration { return time.Since(r.start) }

func (r *router) group(name string) *group {
	g := r.groups[name]
	if g == nil {
		g = &group{name: name, flights: map[*relay.Flight]*tally{}}
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
	g.budget.Ratio, g.budget.Allowance, g.budget.Window = b.Ratio, float64(b.Allowance), b.Window
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
			g.model = &path.Table{Centre: r.centre, Random: rand.Float64}
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

// Pick, Done, Rest, Load and Usual serve plain calls.

// Pick returns the upstream of a plain service for the next request.
func (r *router) Pick(service string, avoid []spec.UpstreamID) (site.Upstream, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.group(service).plain.Pick(r.now(), avoid)
}

// Done learns how a request ended.
func (r *router) Done(up site.Upstream, print uint64, took time.Duration, end least.End) {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.group(up.Service)
	g.plain.Done(r.now(), up.ID, took, end)
	if end == least.EndLost {
		g.lost = append(g.lost, loss{death: crash.Death{Print: print, Upstream: up.ID, Born: up.Born, Ran: took.Milliseconds()}, at: r.now()})
		g.lost = g.lost[max(0, len(g.lost)-maxLosses):]
	}
}

// Rest leaves an upstream alone that accepts no connection. Requests that it
// lost just before may have crashed it.
func (r *router) Rest(up site.Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.group(up.Service)
	g.plain.Rest(r.now(), up.ID)
	rest := g.lost[:0]
	for _, l := range g.lost {
		switch {
		case l.death.Upstream == up.ID && r.now()-l.at < lossTime:
			r.strike(l.death)
		case r.now()-l.at < lossTime:
			rest = append(rest, l)
		}
	}
	g.lost = rest
}

// loss is a plain request whose answer was lost.
type loss struct {
	death crash.Death
	at    time.Duration
}

const (
	// lossTime is how soon after an answer was lost its upstream must refuse
	// connections for the request to be suspected of its crash, and maxLosses
	// how many lost answers are remembered.
	lossTime  = time.Second
	maxLosses = 64
)

// strike counts a death against a request; r.mu is held.
func (r *router) strike(d crash.Death) {
	if r.book.Strike(r.now(), d) {
		r.deaths = append(r.deaths, d)
	}
}

// Guilty reports whether a request crashes upstreams.
func (r *router) Guilty(print uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.book.Guilty(r.now(), print)
}

// Innocent tells that a request was answered.
func (r *router) Innocent(print uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.book.Clear(print)
}

// freshCrashes are the deaths of upstreams since the last call.
func (r *router) freshCrashes() []crash.Death {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.deaths
	r.deaths = nil
	return out
}

// crashed takes deaths that another instance saw.
func (r *router) crashed(deaths []crash.Death) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range deaths {
		r.book.Strike(r.now(), d)
	}
}

// Load takes what an upstream says of its load.
func (r *router) Load(up site.Upstream, l site.Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.group(up.Service).plain.Load(r.now(), up.ID, l)
}

// Usual is the time in which an upstream answers as a rule.
func (r *router) Usual(up site.Upstream) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.group(up.Service).plain.Usual(up.ID)
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
	return r.group(service).budget.Allow(r.now(), r.instances())
}

// need is what a model request is taken to use.
func need(a site.Ask, m *site.Model) path.Need {
	n := path.Need{Prompt: a.Prompt, Answer: a.Most}
	if n.Prompt == 0 {
		n.Prompt = m.Prompt
	}
	if a.Hint > 0 && (a.Most == 0 || a.Hint < a.Most) {
		n.Answer = a.Hint
	}
	if n.Answer == 0 {
		n.Answer = m.Answer
	}
	return n
}

// Begin chooses a path for a model request and counts a run in.
func (r *router) Begin(c *relay.Call, begun bool, avoid []spec.UpstreamID) (*relay.Flight, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.group(c.Service.Name)
	if g.model == nil {
		return nil, path.ErrNone
	}
	n := need(c.Ask, g.model.Model)
	n.Haste = begun
	chain, err := g.model.Choose(r.now(), n, avoiding(avoid))
	if err != nil {
		return nil, err
	}
	f := relay.NewFlight(chain, g.model.Hops(chain))
	f.Service, f.Need, f.Until = g.name, n, c.Until
	f.Resume, f.Print = c.Route.Resume, c.Print()
	g.model.Begin(chain, n)
	g.flights[f] = &tally{chain: chain, unread: true}
	return f, nil
}

// avoiding tests for engines that a request met without luck, but only as
// first engine or not: any of them may be to blame.
func avoiding(avoid []spec.UpstreamID) func(spec.UpstreamID) bool {
	if len(avoid) == 0 {
		return nil
	}
	return func(id spec.UpstreamID) bool {
		for _, a := range avoid {
			if a == id {
				return true
			}
		}
		return false
	}
}

// Wrote tells that the first event of a run came.
func (r *router) Wrote(f *relay.Flight) {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.group(f.Service)
	if t := g.flights[f]; t != nil && t.unread {
		t.unread = false
		g.model.Wrote(t.chain, f.Need)
	}
}

// End tells that a run is over.
func (r *router) End(f *relay.Flight) {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.group(f.Service)
	if t := g.flights[f]; t != nil {
		delete(g.flights, f)
		g.model.End(t.chain, f.Need, t.unread)
	}
}

// rechain counts a run over to another path; r.mu is held.
func (g *group) rechain(f *relay.Flight, chain spec.Chain) {
	t := g.flights[f]
	if t == nil {
		return
	}
	g.model.End(t.chain, f.Need, t.unread)
	t.chain = chain
	g.model.Begin(chain, f.Need)
	if !t.unread {
		g.model.Wrote(chain, f.Need)
	}
	f.SetChain(chain, g.model.Hops(chain))
}

// Doubt tells of an engine that refused or broke a connection.
func (r *router) Doubt(service string, id spec.UpstreamID) {
	r.mu.Lock()
	up, ok := site.Upstream{}, false
	if g := r.group(service); g.model != nil {
		up, ok = g.model.Upstream(id)
	}
	r.mu.Unlock()
	if ok {
		r.doubted(up)
	}
}

// Refused tells that an engine refused a run: it is full, leaving, or not what
// it was. Until it is known why it gets nothing new.
func (r *router) Refused(f *relay.Flight, address string) spec.UpstreamID {
	r.mu.Lock()
	g := r.group(f.Service)
	id := g.refuser(f, address)
	up, ok := g.model.Upstream(id)
	g.model.Rest(id, r.now()+refusedRest)
	r.mu.Unlock()
	if ok {
		r.doubted(up)
	}
	return id
}

// refuser is the engine of a run that refused it; r.mu is held.
func (g *group) refuser(f *relay.Flight, address string) spec.UpstreamID {
	chain, hops := f.Chain()
	for i, hop := range hops {
		if hop.Address == address && i < len(chain) {
			return chain[i].Engine()
		}
	}
	return chain[0].Engine()
}

// refusedRest is how long an engine that refused a run gets no new one: what
// it holds and whether it leaves is known from the list by then, or the crowd
// on it has turned over.
const refusedRest = 300 * time.Millisecond

// Down reports whether an engine is dead or gone.
func (r *router) Down(service string, id spec.UpstreamID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.group(service)
	return g.model != nil && g.model.Dead(id)
}

// uses is what the requests of this instance take, by service.
func (r *router) uses() map[string]map[spec.UpstreamID]path.Use {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]map[spec.UpstreamID]path.Use{}
	for name, g := range r.groups {
		if g.model == nil {
			continue
		}
		if mine := g.model.Mine(); len(mine) > 0 {
			out[name] = mine
		}
	}
	return out
}

// used takes what the requests of another instance take; nil forgets it.
func (r *router) used(from spec.InstanceID, uses map[string]map[spec.UpstreamID]path.Use) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, g := range r.groups {
		if g.model != nil {
			g.model.Peer(from, uses[name])
		}
	}
}

// paces are the engines that said here that they are slow.
func (r *router) paces() map[spec.UpstreamID]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[spec.UpstreamID]float64{}
	for _, g := range r.groups {
		if g.model == nil {
			continue
		}
		for id, pace := range g.model.Slow(r.now()) {
			out[id] = pace
		}
	}
	return out
}

// paced takes what engines told another instance.
func (r *router) paced(from spec.InstanceID, paces map[spec.UpstreamID]float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, g := range r.groups {
		if g.model != nil {
			g.model.Paced(from, paces)
		}
	}
}
