package edge

import (
	"context"
	"slices"
	"sync"
	"time"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/layout"
	"fulmarwick/internal/route/path"
	"fulmarwick/internal/state/lease"

	"go.uber.org/zap"
)

const (
	// planInterval is the interval between two rounds of planning.
	planInterval = 200 * time.Millisecond
	// listSettleTime is how long the length of the list must be unchanged before a
	// model is placed of which no engine holds layers. After a start the list fills
	// over three seconds, and a plan for a part of the engines would have to be
	// undone.
	listSettleTime = 1200 * time.Millisecond
	// minProcessAge is how long this process must have run before it places such a
	// model, for the same reason.
	minProcessAge = 3500 * time.Millisecond
	// moveDelay is how long a move must be due before an engine drops its layers to
	// load others. It is longer than the list takes to show the replacement of an
	// engine, but shorter than the absence of a crashed engine: a spare engine loads
	// the missing layers sooner, and waiting for the crashed one would take its data
	// centre out of service.
	moveDelay = 600 * time.Millisecond
)

// planner assigns layers to engines. It sends orders to engines that hold layers only
// while it holds the planning lease. It sends orders to empty engines also while it
// can't know whether another instance holds the lease.
type planner struct {
	router  *router
	engines engineClient
	lease   *lease.Lease
	log     *zap.Logger
	start   time.Time
	// countOrder counts load orders by outcome.
	countOrder func(outcome string)
	// countPlan counts the plans that were computed.
	countPlan func()

	mu sync.Mutex
	// listChangedAt is when listSize last changed.
	listChangedAt time.Time
	listSize      int
	// lastOrders holds the last load order to each engine.
	lastOrders map[spec.UpstreamID]sentOrder
	// movesDueSince is, by service, the time since which engines that hold layers are
	// due to load others.
	movesDueSince map[string]time.Time
	// plans holds the last plan for each service.
	plans map[string]cachedPlan
	// averageLoadTime is a moving average of the time from an order until the list shows
	// its layers as loaded; zero before the first sample.
	averageLoadTime time.Duration
}

// cachedPlan holds the orders computed for a model and a state of the engines. They are
// computed again only after a change: the interval between two rounds is too short for
// the search to run in each of them.
type cachedPlan struct {
	model   *site.Model
	engines []layout.Engine
	orders  []layout.Order
}

// planFor returns the orders for a service, from the cache if nothing changed; p.mu is
// held.
func (p *planner) planFor(name string, v planInput) []layout.Order {
	last, ok := p.plans[name]
	if !ok || v.model != last.model || !slices.Equal(v.engines, last.engines) {
		p.countPlan()
		last = cachedPlan{model: v.model, engines: v.engines, orders: layout.Plan(v.model, v.engines)}
		p.plans[name] = last
	}
	return last.orders
}

// noteListSize records when the length of the list of upstreams changes.
func (p *planner) noteListSize(list []site.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(list) != p.listSize {
		p.listSize = len(list)
		p.listChangedAt = time.Now()
	}
}

// run plans at each interval until ctx ends.
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

// issueDueOrders sends the orders that are due, those of a service at the same time.
func (p *planner) issueDueOrders(ctx context.Context) {
	for service, orders := range p.dueOrders(time.Now()) {
		var group sync.WaitGroup
		for _, o := range orders {
			group.Go(func() { p.issueOrder(ctx, service, o) })
		}
		group.Wait()
	}
}

// dueOrders returns the orders that are due, by service.
func (p *planner) dueOrders(now time.Time) map[string][]layout.Order {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string][]layout.Order{}
	// The router's lock is held only while the inputs are read, so that requests don't
	// wait for the plan.
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

// planInput is the input of the plan for a service.
type planInput struct {
	model   *site.Model
	engines []layout.Engine
	// anyLoaded is set if at least one engine holds layers.
	anyLoaded bool
}

// planInputs returns the inputs for all services that run a model; p.mu is held.
func (p *planner) planInputs(now time.Time) map[string]planInput {
	p.router.mu.Lock()
	defer p.router.mu.Unlock()
	out := map[string]planInput{}
	for name, svc := range p.router.services {
		if svc.model == nil {
			continue
		}
		v := planInput{model: svc.model.Model}
		v.engines, v.anyLoaded = p.layoutEngines(svc, now)
		out[name] = v
	}
	return out
}

// delayMoves drops the orders for engines that hold layers until they have been due for
// moveDelay: a crashed engine is back after some seconds and gets its layers again, and
// an engine that only this instance can't reach is not missing. Without the lease no such
// engine is moved: if the store is unreachable for all instances, none of them would
// learn which layers the engine holds afterwards.
func (p *planner) delayMoves(name string, engines []layout.Engine, orders []layout.Order, now time.Time) []layout.Order {
	hasLayers := map[spec.UpstreamID]bool{}
	for _, e := range engines {
		hasLayers[e.ID] = e.Held.Len() > 0
	}
	var out []layout.Order
	movesDue := false
	for _, o := range orders {
		movesDue = movesDue || hasLayers[o.ID]
		if !hasLayers[o.ID] {
			out = append(out, o)
		}
	}
	switch {
	case !movesDue:
		delete(p.movesDueSince, name)
	case p.movesDueSince[name].IsZero():
		p.movesDueSince[name] = now
	case now.Sub(p.movesDueSince[name]) >= moveDelay && p.lease.Held():
		return orders
	}
	return out
}

// layoutEngines returns the usable engines of a service as input for a plan. An engine
// with a recent order counts as if it held the ordered layers. A silent one keeps its
// layers: it may have paused, and others would drop theirs to replace them.
func (p *planner) layoutEngines(svc *serviceState, now time.Time) (out []layout.Engine, anyLoaded bool) {
	for _, up := range svc.model.Engines() {
		card, ok := svc.model.Model.Card(up.Card)
		if !ok || up.State != site.StateReady || svc.model.Health(up.ID) == path.HealthDead {
			continue
		}
		e := layout.Engine{ID: up.ID, Centre: up.Centre, Card: card, Held: up.Held.Layers.Within(svc.model.Model.Layers)}
		if o, ok := p.lastOrders[up.ID]; ok && o.incarnation == up.Born && now.Before(o.retryAt) {
			e.Held, e.Loading = o.layers.Within(svc.model.Model.Layers), up.Held.Layers != o.layers
			if !e.Loading && !o.seenInList {
				o.seenInList = true
				p.lastOrders[up.ID] = o
				p.recordLoadTime(now.Sub(o.sentAt))
			}
		}
		anyLoaded = anyLoaded || e.Held.Len() > 0
		out = append(out, e)
	}
	return out, anyLoaded
}
