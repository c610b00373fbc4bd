package edge

import (
	"context"
	"time"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/layout"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

const (
	// orderTimeout limits the time for reading an engine's report and sending it an
	// order.
	orderTimeout = 500 * time.Millisecond
	// acceptedOrderRetryDelay is the time after which an accepted order may be sent again
	// if the row of the engine still doesn't show its layers.
	acceptedOrderRetryDelay = 15 * time.Second
	// failedOrderRetryDelay is the same for an order that failed or got no answer. The
	// engine may still execute it; since both orders expect the same count of accepted
	// orders, the engine executes only one of them.
	failedOrderRetryDelay = 700 * time.Millisecond
	// slowLoadTime is the load time, measured from the order until the list shows the
	// layers, from which on the number of concurrent loads is limited. With faster loads
	// a limit would leave too few running while the planner waits for the list.
	slowLoadTime = 3 * time.Second
	// loadTimeSamples is the number of loads over which the load time is averaged.
	loadTimeSamples = 4
)

// sentOrder is the last order sent to an engine.
type sentOrder struct {
	// incarnation is the start time of the engine process that got the order.
	incarnation int64
	layers      spec.Layers
	sentAt      time.Time
	// retryAt is when the order no longer counts.
	retryAt time.Time
	// seenInList is set once the list showed the engine with these layers.
	seenInList bool
}

// areLoadsSlow reports whether loads take slowLoadTime or longer: by the measured average
// or, before there is one, by the load time published for the model. p.mu is held.
func (p *planner) areLoadsSlow(m *site.Model, orders []layout.Order) bool {
	if p.averageLoadTime > 0 || len(orders) == 0 {
		return p.averageLoadTime >= slowLoadTime
	}
	return m.LoadTime*time.Duration(orders[0].Layers.Len())/time.Duration(m.Layers) >= slowLoadTime
}

// recordLoadTime adds the duration of a load to the average; p.mu is held.
func (p *planner) recordLoadTime(took time.Duration) {
	if p.averageLoadTime == 0 {
		p.averageLoadTime = took
	}
	p.averageLoadTime += (took - p.averageLoadTime) / loadTimeSamples
}

// issueOrder sends one order and records its outcome.
func (p *planner) issueOrder(ctx context.Context, service string, o layout.Order) {
	p.router.mu.Lock()
	up, ok := p.router.service(service).model.Upstream(o.ID)
	p.router.mu.Unlock()
	if !ok || !p.router.mayCall(o.ID) {
		return
	}
	// The last token known is enough, even if the lease is no longer held: of two orders
	// that expect the same count of accepted orders, an engine accepts only one.
	fence, ok := p.lease.LastFence()
	if !ok {
		return
	}
	ctx, stop := context.WithTimeout(ctx, orderTimeout)
	defer stop()
	expect, err := p.sendOrder(ctx, up, o, fence)
	now := time.Now()
	retryAt, outcome := now.Add(acceptedOrderRetryDelay), "accepted"
	if err != nil {
		retryAt, outcome = now.Add(failedOrderRetryDelay), "failed"
	}
	p.countOrder(outcome)
	p.mu.Lock()
	sent := sentOrder{incarnation: up.Born, layers: o.Layers, sentAt: now, retryAt: retryAt}
	if last, ok := p.lastOrders[o.ID]; ok && last.incarnation == up.Born && errors.Is(err, errOrderInProgress) {
		sent.layers, sent.sentAt = last.layers, last.sentAt
	}
	p.lastOrders[o.ID] = sent
	p.mu.Unlock()
	p.log.Info("edge: load order", zap.String("engine", string(o.ID)), zap.String("address", up.Address), zap.Stringer("layers", o.Layers),
		zap.Uint64("fence", fence), zap.Int("expect", expect), zap.String("end", outcome), zap.Error(err))
}

// Errors of orders.
var (
	// errLayersDiffer means that an engine holds other layers than the list shows.
	errLayersDiffer = errors.New("edge: engine holds other layers than listed")
	// errOrderInProgress means that an engine still executes an earlier order.
	errOrderInProgress = errors.New("edge: engine still executes an earlier order")
)

// sendOrder reads how many orders an engine has accepted and sends an order that the
// engine accepts only in this state. An order that arrives late, or an order of another
// planner, then has no effect.
func (p *planner) sendOrder(ctx context.Context, up site.Upstream, o layout.Order, fence uint64) (expect int, err error) {
	report, err := p.engines.Report(ctx, up.Address)
	switch {
	case err != nil:
		return 0, err
	case report.Loading:
		return report.OrdersAccepted, errOrderInProgress
	case report.Held.Layers != up.Held.Layers:
		return report.OrdersAccepted, errLayersDiffer
	}
	return report.OrdersAccepted, p.engines.Order(ctx, up.Address, site.Order{Engine: up.ID, Layers: o.Layers, FencingToken: fence, ExpectedOrders: report.OrdersAccepted})
}
