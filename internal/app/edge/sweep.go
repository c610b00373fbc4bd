package edge

import (
	"context"
	"time"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/state/feed"

	"go.uber.org/zap"
)

// planLeaseDelay is how long after its start an instance does not contend for the planning
// lease. Before it receives messages of others it ranks itself first, so all starting
// instances would contend.
const planLeaseDelay = 500 * time.Millisecond

// contendForPlanLease contends for the planning lease while this instance is among the
// first maxPlanContenders by rank, so that the others need not read the lease. One that has
// lost its links to upstreams could give them no orders.
func (i *Instance) contendForPlanLease(ctx context.Context) {
	if !feed.Sleep(ctx, planLeaseDelay) {
		return
	}
	for {
		if i.mesh.logic.UpstreamDutyRank(planLeaseName) < maxPlanContenders {
			// An error is counted with the store call and shows in the state of the lease.
			_ = i.lease.RenewOrAcquire(ctx)
		} else {
			i.lease.Release(ctx)
		}
		if !feed.Sleep(ctx, leaseDuration/3) {
			i.lease.Release(context.WithoutCancel(ctx))
			return
		}
	}
}

// sweep removes expired upstreams and unused engines, and closes connections to unlisted
// addresses, at each interval until ctx ends.
func (i *Instance) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			i.state.dropExpired(now)
			i.router.dropUnusedEngines()
			i.pool.CloseUnused(i.router.upstreamAddresses())
			i.reportGates()
			i.reportReserves()
		}
	}
}

// reportGates updates the metrics of the gates, and logs each that begins to refuse less urgent
// requests or is open again.
func (i *Instance) reportGates() {
	for _, g := range i.router.gates() {
		i.meters.GetOrCreateGauge(`fulmarwick_gate_closed{service="`+g.service+`"}`, nil).Set(g.closed)
		if isClosed := g.closed > 0; isClosed != i.closedGates[g.service] {
			i.closedGates[g.service] = isClosed
			i.Log.Info("edge: gate for less urgent requests", zap.String("service", g.service), zap.Bool("closing", isClosed), zap.Int("refused", g.refused))
		}
	}
}

// gateState is how far the gate of a service is closed, and how many requests it has refused.
type gateState struct {
	service string
	closed  float64
	refused int
}

// gates returns the states of the gates of services whose requests differ in rank.
func (r *router) gates() (out []gateState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, svc := range r.services {
		if svc.gate.IsActive() {
			out = append(out, gateState{service: name, closed: svc.gate.Closed(r.now()), refused: svc.gate.Refused()})
		}
	}
	return out
}

// readyAddresses returns the addresses of the upstreams that are ready.
func (r *router) readyAddresses() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for _, svc := range r.services {
		for _, u := range svc.upstreams {
			if u.State == site.StateReady {
				out = append(out, u.Address)
			}
		}
	}
	return out
}

// upstreamAddresses returns the addresses of all listed upstreams.
func (r *router) upstreamAddresses() map[string]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]bool{}
	for _, svc := range r.services {
		for _, u := range svc.upstreams {
			out[u.Address] = true
		}
	}
	return out
}
