package edge

import (
	"context"
	"slices"
	"sync"
	"time"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/grid"
	"fulmarwick/internal/state/lease"

	"go.uber.org/zap"
)

const (
	// planEvery is the pause between two looks for engines without layers.
	planEvery = 200 * time.Millisecond
	// settle is how long the list must be unchanged, and fill how old this
	// process must be, before a model is placed that no engine holds: after a
	// start the list fills over three seconds, and a plan for a part of the
	// engines would have to be undone.
	settle = 1200 * time.Millisecond
	fill   = 3500 * time.Millisecond
	// moveAfter is how long a move must be due before an engine gives up layers
	// for others: longer than the list takes to show an engine that was replaced.
	// An engine that crashed is away for longer than a spare one takes to load its
	// layers; to wait for it takes its data centre out of service.
	moveAfter = 600 * time.Millisecond
)

// planner places layers on engines while it holds the duty's lease, and on empty ones
// as long as it can't know whether another instance holds it.
type planner struct {
	router  *router
	engines engines
	lease   *lease.Lease
	log     *zap.Logger
	start   time.Time
	counted func(how string)
	// planned counts the plans that were worked out.
	planned func()

	mu      sync.Mutex
	changed time.Time
	size    int
	orders  map[spec.UpstreamID]ordered
	// missing is since when moves of engines that hold layers are due.
	missing map[string]time.Time
	plans   map[string]plan
	// loading is the time from orders to the list that shows what they brought, the
	// last ones weigh most; zero while none is known.
	loading time.Duration
}

// plan is the orders that were due for engines as they were. They are worked out
// again only after a change: the search takes longer than the pause between two
// rounds allows at each of them.
type plan struct {
	model   *site.Model
	engines []grid.Engine
	orders  []grid.Order
}

// plan returns the orders for a service; p.mu is held.
func (p *planner) plan(name string, v view) []grid.Order {
	last, ok := p.plans[name]
	if !ok || v.model != last.model || !slices.Equal(v.engines, last.engines) {
		p.planned()
		last = plan{model: v.model, engines: v.engines, orders: grid.Plan(v.model, v.engines)}
		p.plans[name] = last
	}
	return last.orders
}

// listed notes that the list of upstreams changed.
func (p *planner) listed(list []site.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(list) != p.size {
		p.size = len(list)
		p.changed = time.Now()
	}
}

func (p *planner) run(ctx context.Context) {
	ticker := time.NewTicker(planEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if _, ok := p.lease.Last(); ok {
			p.round(ctx)
		}
	}
}

// round gives the orders that are due.
func (p *planner) round(ctx context.Context) {
	for service, orders := range p.due(time.Now()) {
		var group sync.WaitGroup
		for _, o := range orders {
			group.Go(func() { p.order(ctx, service, o) })
		}
		group.Wait()
	}
}

// due are the orders for each service.
func (p *planner) due(now time.Time) map[string][]grid.Order {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string][]grid.Order{}
	// Requests wait for the router's lock; they need not wait for the plan.
	for name, v := range p.views(now) {
		if !v.held && (now.Sub(p.changed) < settle || now.Sub(p.start) < fill) {
			continue
		}
		orders := p.patient(name, v.engines, p.plan(name, v), now)
		if v.held && p.isSlow(v.model, orders) {
			orders = grid.Turn(v.model, v.engines, orders)
		}
		if len(orders) > 0 {
			out[name] = orders
		}
	}
	return out
}

// view is what a plan for a service is made of.
type view struct {
	model   *site.Model
	engines []grid.Engine
	// held tells that any engine holds layers.
	held bool
}

// views are those of all services of models; p.mu is held.
func (p *planner) views(now time.Time) map[string]view {
	p.router.mu.Lock()
	defer p.router.mu.Unlock()
	out := map[string]view{}
	for name, g := range p.router.groups {
		if g.model == nil {
			continue
		}
		v := view{model: g.model.Model}
		v.engines, v.held = p.engineRows(g, now)
		out[name] = v
	}
	return out
}

// patient leaves out orders for engines that hold layers until they have been
// due for a while: an engine that crashed comes back after some seconds and
// gets its layers again, and one that this instance alone cannot reach is not
// missing. Without the lease none of them is moved: where the store is out of reach
// for all, nobody would learn what it holds then.
func (p *planner) patient(name string, engines []grid.Engine, orders []grid.Order, now time.Time) []grid.Order {
	holds := map[spec.UpstreamID]bool{}
	for _, e := range engines {
		holds[e.ID] = e.Held.Len() > 0
	}
	var out []grid.Order
	moves := false
	for _, o := range orders {
		moves = moves || holds[o.ID]
		if !holds[o.ID] {
			out = append(out, o)
		}
	}
	switch {
	case !moves:
		delete(p.missing, name)
	case p.missing[name].IsZero():
		p.missing[name] = now
	case now.Sub(p.missing[name]) >= moveAfter && p.lease.Held():
		return orders
	}
	return out
}

// engineRows are the engines of a group for the plan. One that was ordered
// lately counts as if it held what it was told.
func (p *planner) engineRows(g *group, now time.Time) (out []grid.Engine, held bool) {
	for _, up := range g.model.Engines() {
		card, ok := g.model.Model.Card(up.Card)
		if !ok || up.State != site.StateReady || g.model.Dead(up.ID) {
			continue
		}
		e := grid.Engine{ID: up.ID, Centre: up.Centre, Card: card, Held: up.Held.Layers}
		if o, ok := p.orders[up.ID]; ok && o.born == up.Born && now.Before(o.until) {
			e.Held, e.Loading = o.layers, up.Held.Layers != o.layers
			if !e.Loading && !o.listed {
				o.listed = true
				p.orders[up.ID] = o
				p.loaded(now.Sub(o.at))
			}
		}
		held = held || e.Held.Len() > 0
		out = append(out, e)
	}
	return out, held
}
