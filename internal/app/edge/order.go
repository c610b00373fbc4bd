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
	// orderTimeout bounds the answer to an order.
	orderTimeout = 500 * time.Millisecond
	// acceptedOrderRetryDelay is when an order that an engine accepted is given again if
	// its entry still shows nothing.
	acceptedOrderRetryDelay = 15 * time.Second
	// failedOrderRetryDelay is the same for an order without an answer. It may still be
	// carried out; the count of orders that both expect lets only one win.
	failedOrderRetryDelay = 700 * time.Millisecond
	// slowLoadTime is from which time between an order and the list that shows it on loads
	// take turns: of quicker ones too few would run while the list is waited for.
	slowLoadTime = 3 * time.Second
	// loadTimeSamples is how many loads the usual time of one is averaged over.
	loadTimeSamples = 4
)

// sentOrder is an order given to an engine.
type sentOrder struct {
	incarnation int64
	layers      spec.Layers
	sentAt      time.Time
	retryAt     time.Time
	// seenInList tells that the list showed what it holds.
	seenInList bool
}

// areLoadsSlow reports whether loads take long, by those that were seen or else by what is
// published; p.mu is held.
func (p *planner) areLoadsSlow(m *site.Model, orders []layout.Order) bool {
	if p.averageLoadTime > 0 || len(orders) == 0 {
		return p.averageLoadTime >= slowLoadTime
	}
	return m.LoadTime*time.Duration(orders[0].Layers.Len())/time.Duration(m.Layers) >= slowLoadTime
}

// recordLoadTime notes how long an order took; p.mu is held.
func (p *planner) recordLoadTime(took time.Duration) {
	if p.averageLoadTime == 0 {
		p.averageLoadTime = took
	}
	p.averageLoadTime += (took - p.averageLoadTime) / loadTimeSamples
}

// issueOrder gives one order.
func (p *planner) issueOrder(ctx context.Context, service string, o layout.Order) {
	p.router.mu.Lock()
	up, ok := p.router.service(service).model.Upstream(o.ID)
	p.router.mu.Unlock()
	if !ok {
		return
	}
	// An engine takes only one of two orders that expect the same of it.
	fence, ok := p.lease.LastFence()
	if !ok {
		return
	}
	ctx, stop := context.WithTimeout(ctx, orderTimeout)
	defer stop()
	expect, err := p.sendOrder(ctx, up, o, fence)
	now := time.Now()
	until, how := now.Add(acceptedOrderRetryDelay), "accepted"
	if err != nil {
		until, how = now.Add(failedOrderRetryDelay), "failed"
	}
	p.countOrder(how)
	p.mu.Lock()
	given := sentOrder{incarnation: up.Born, layers: o.Layers, sentAt: now, retryAt: until}
	if last, ok := p.lastOrders[o.ID]; ok && last.incarnation == up.Born && errors.Is(err, errOrderInProgress) {
		given.layers, given.sentAt = last.layers, last.sentAt
	}
	p.lastOrders[o.ID] = given
	p.mu.Unlock()
	p.log.Info("edge: order", zap.String("engine", string(o.ID)), zap.String("address", up.Address), zap.Stringer("layers", o.Layers),
		zap.Uint64("fence", fence), zap.Int("expect", expect), zap.String("end", how), zap.Error(err))
}

// Errors of orders.
var (
	// errLayersDiffer means that an engine does not hold what the list says.
	errLayersDiffer = errors.New("edge: engine holds other layers")
	// errOrderInProgress means that an engine carries out an earlier order.
	errOrderInProgress = errors.New("edge: engine is busy with an earlier order")
)

// sendOrder reads how many orders an engine has accepted and gives one that only
// this state of the engine takes: an order carried out late, or one of another
// planner, then changes nothing.
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
