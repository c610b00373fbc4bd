package edge

import (
	"context"
	"time"

	"fulmarwick/internal/state/feed"
)

// planLeaseDelay is how long after its start an instance contends for no duty: before it
// hears others it is the first one for each, and all that start would contend.
const planLeaseDelay = 500 * time.Millisecond

// contendForPlanLease contends for the duty of planning while this instance is one of the
// first two for it, so that the others need not read the lease.
func (i *Instance) contendForPlanLease(ctx context.Context) {
	if !feed.Sleep(ctx, planLeaseDelay) {
		return
	}
	for {
		if i.mesh.logic.DutyRank(planLeaseName) < maxPlanContenders {
			// An error is counted with the call and seen in what is held.
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

// sweep drops what is no longer needed until ctx ends.
func (i *Instance) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			i.state.dropExpired(now)
			i.pool.CloseUnused(i.router.upstreamAddresses())
		}
	}
}

// upstreamAddresses are those of the upstreams.
func (r *router) upstreamAddresses() map[string]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]bool{}
	for _, g := range r.services {
		for _, u := range g.upstreams {
			out[u.Address] = true
		}
	}
	return out
}
