package edge

import (
	"context"
	"slices"
	"sync"
	"time"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/layout"
	"fulmarwick/internal/state/lease"

	"go.uber.org/zap"
)

const (
	// planInterval is the pause between two looks for engines without layers.
	planInterval = 200 * time.Millisecond
	// listSettleTime is how long the list must be unchanged, and fill how old this
	// process must be, before a model is placed that no engine holds: after a
	// start the list fills over three seconds, and a plan for a part of the
	// engines would have to be undone.
	listSettleTime = 1200 * time.Millisecond
	minProcessAge  = 3500 * time.Millisecond
	// moveDelay is how long a move must be due before an engine gives up layers
	// for others: longer than the list takes to show an engine that was replaced.
	// An engine that crashed is away for longer than a spare one takes to load its
	// layers; to wait for it takes its data centre out of service.
	moveDelay = 600 * time.Millisecond
)

// planner places layers on engines while it holds the duty's lease, and on empty ones
// as long as it can't know whether another instance holds it.
type planner struct {
	router     *router
	engines    engineClient
	lease      *lease.Lease
	log        *zap.Logger
	start      time.Time
	countOrder func(how string)
	// countPlan counts the plans that were worked out.
	countPlan func()

	mu            sync.Mutex
	listChangedAt time.Time
	listSize      int
	lastOrders    map[spec.UpstreamID]sentOrder
	// movesDueSince is since when moves of engines that hold layers are due.
	movesDueSince map[string]time.Time
	plans         map[string]cachedPlan
	// averageLoadTime is the time from orders to the list that shows what they brought, the
	// last ones weigh most; zero while none is known.
	averageLoadTime time.Duration
}

// cachedPlan is the orders that were due for engines as they were. They are worked out
// again only after a change: the search takes longer than the pause between two
// rounds allows at each of them.
type cachedPlan struct {
	model   *site.Model
	engines []layout.Engine
	orders  []layout.Order
}

// planFor returns the orders for a service; p.mu is held.
func (p *planner) planFor(name string, v planInput) []layout.Order {
	last, ok := p.plans[name]
	if !ok || v.model != last.model || !slices.Equal(v.engines, last.engines) {
		p.countPlan()
		last = cachedPlan{model: v.model, engines: v.engines, orders: layout.Plan(v.model, v.engines)}
		p.plans[name] = last
	}
	return last.orders
}

// noteListSize notes that the list of upstreams changed.
func (p *planner) noteListSize(list []site.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(list) != p.listSize {
		p.listSize = len(list)
		p.listChangedAt = time.Now()
	}
}

func (p *planner) run(ctx context.Context) {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if _, ok := p.lease.LastFence(); ok {
			p.issueDueOrders(ctx)
		}
	}
}

// issueDueOrders gives the orders that are due.
func (p *planner) issueDueOrders(ctx context.Context) {
	for service, orders := range p.dueOrders(time.Now()) {
		var group sync.WaitGroup
		for _, o := range orders {
			group.Go(func() { p.issueOrder(ctx, service, o) })
		}
		group.Wait()
	}
}

// dueOrders are the orders for each service.
func (p *planner) dueOrders(now time.Time) map[string][]layout.Order {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string][]layout.Order{}
	// Requests wait for the router's lock; they need not wait for the plan.
	for name, v := range p.planInputs(now) {
		if !v.anyLoaded && (now.Sub(p.listChangedAt) < listSettleTime || now.Sub(p.start) < minProcessAge) {
			continue
		}
		orders := p.delayMoves(name, v.engines, p.planFor(name, v), now)
		if v.anyLoaded && p.areLoadsSlow(v.model, orders) {
			orders = layout.LimitLoads(v.model, v.engines, orders)
		}
		if len(orders) > 0 {
			out[name] = orders
		}
	}
	return out
}

// planInput is what a plan for a service is made of.
type planInput struct {
	model   *site.Model
	engines []layout.Engine
	// anyLoaded tells that any engine holds layers.
	anyLoaded bool
}

// planInputs are those of all services of models; p.mu is held.
func (p *planner) planInputs(now time.Time) map[string]planInput {
	p.router.mu.Lock()
	defer p.router.mu.Unlock()
	out := map[string]planInput{}
	for name, g := range p.router.services {
		if g.model == nil {
			continue
		}
		v := planInput{model: g.model.Model}
		v.engines, v.anyLoaded = p.layoutEngines(g, now)
		out[name] = v
	}
	return out
}

// delayMoves leaves out orders for engines that hold layers until they have been
// due for a while: an engine that crashed comes back after some seconds and
// gets its layers again, and one that this instance alone cannot reach is not
// missing. Without the lease none of them is moved: where the store is out of reach
// for all, nobody would learn what it holds then.
func (p *planner) delayMoves(name string, engines []layout.Engine, orders []layout.Order, now time.Time) []layout.Order {
	holds := map[spec.UpstreamID]bool{}
	for _, e := range engines {
		holds[e.ID] = e.Held.Len() > 0
	}
	var out []layout.Order
	moves := false
	for _, o := range orders {
		moves = moves || holds[o.ID]
		if !holds[o.ID] {
			out = append(out, o)
		}
	}
	switch {
	case !moves:
		delete(p.movesDueSince, name)
	case p.movesDueSince[name].IsZero():
		p.movesDueSince[name] = now
	case now.Sub(p.movesDueSince[name]) >= moveDelay && p.lease.Held():
		return orders
	}
	return out
}

// layoutEngines are the engines of a group for the plan. One that was ordered
// lately counts as if it held what it was told.
func (p *planner) layoutEngines(g *serviceState, now time.Time) (out []layout.Engine, held bool) {
	for _, up := range g.model.Engines() {
		card, ok := g.model.Model.Card(up.Card)
		if !ok || up.State != site.StateReady || g.model.DeadOrUnlisted(up.ID) {
			continue
		}
		e := layout.Engine{ID: up.ID, Centre: up.Centre, Card: card, Held: up.Held.Layers}
		if o, ok := p.lastOrders[up.ID]; ok && o.incarnation == up.Born && now.Before(o.retryAt) {
			e.Held, e.Loading = o.layers, up.Held.Layers != o.layers
			if !e.Loading && !o.seenInList {
				o.seenInList = true
				p.lastOrders[up.ID] = o
				p.recordLoadTime(now.Sub(o.sentAt))
			}
		}
		held = held || e.Held.Len() > 0
		out = append(out, e)
	}
	return out, held
}
