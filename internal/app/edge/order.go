package edge

import (
	"context"
	"time"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/grid"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

const (
	// orderTime bounds the answer to an order.
	orderTime = 500 * time.Millisecond
	// orderAgain is when an order that an engine accepted is given again if
	// its entry still shows nothing.
	orderAgain = 15 * time.Second
	// orderLost is the same for an order without an answer. It may still be
	// carried out; the count of orders that both expect lets only one win.
	orderLost = 700 * time.Millisecond
	// slowLoad is from which time between an order and the list that shows it on loads
	// take turns: of quicker ones too few would run while the list is waited for.
	slowLoad = 3 * time.Second
	// smoothLoad is how many loads the usual time of one is averaged over.
	smoothLoad = 4
)

// ordered is an order given to an engine.
type ordered struct {
	born   int64
	layers spec.Layers
	at     time.Time
	until  time.Time
	// listed tells that the list showed what it holds.
	listed bool
}

// isSlow reports whether loads take long, by those that were seen or else by what is
// published; p.mu is held.
func (p *planner) isSlow(m *site.Model, orders []grid.Order) bool {
	if p.loading > 0 || len(orders) == 0 {
		return p.loading >= slowLoad
	}
	return m.Load*time.Duration(orders[0].Layers.Len())/time.Duration(m.Layers) >= slowLoad
}

// loaded notes how long an order took; p.mu is held.
func (p *planner) loaded(took time.Duration) {
	if p.loading == 0 {
		p.loading = took
	}
	p.loading += (took - p.loading) / smoothLoad
}

// order gives one order.
func (p *planner) order(ctx context.Context, service string, o grid.Order) {
	p.router.mu.Lock()
	up, ok := p.router.group(service).model.Upstream(o.ID)
	p.router.mu.Unlock()
	if !ok {
		return
	}
	// An engine takes only one of two orders that expect the same of it.
	fence, ok := p.lease.Last()
	if !ok {
		return
	}
	ctx, stop := context.WithTimeout(ctx, orderTime)
	defer stop()
	expect, err := p.give(ctx, up, o, fence)
	now := time.Now()
	until, how := now.Add(orderAgain), "accepted"
	if err != nil {
		until, how = now.Add(orderLost), "failed"
	}
	p.counted(how)
	p.mu.Lock()
	given := ordered{born: up.Born, layers: o.Layers, at: now, until: until}
	if last, ok := p.orders[o.ID]; ok && last.born == up.Born && errors.Is(err, errBusy) {
		given.layers, given.at = last.layers, last.at
	}
	p.orders[o.ID] = given
	p.mu.Unlock()
	p.log.Info("edge: order", zap.String("engine", string(o.ID)), zap.String("address", up.Address), zap.Stringer("layers", o.Layers),
		zap.Uint64("fence", fence), zap.Int("expect", expect), zap.String("end", how), zap.Error(err))
}

// Errors of orders.
var (
	// errHolds means that an engine does not hold what the list says.
	errHolds = errors.New("edge: engine holds other layers")
	// errBusy means that an engine carries out an earlier order.
	errBusy = errors.New("edge: engine is busy with an earlier order")
)

// give reads how many orders an engine has accepted and gives one that only
// this state of the engine takes: an order carried out late, or one of another
// planner, then changes nothing.
func (p *planner) give(ctx context.Context, up site.Upstream, o grid.Order, fence uint64) (expect int, err error) {
	report, err := p.engines.Report(ctx, up.Address)
	switch {
	case err != nil:
		return 0, err
	case report.Busy:
		return report.Orders, errBusy
	case report.Held.Layers != up.Held.Layers:
		return report.Orders, errHolds
	}
	return report.Orders, p.engines.Order(ctx, up.Address, site.Order{Engine: up.ID, Layers: o.Layers, Fence: fence, Expect: report.Orders})
}
