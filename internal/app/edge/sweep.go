package edge

import (
	"context"
	"time"

	"fulmarwick/internal/state/feed"
)

// holdWait is how long after its start an instance contends for no duty: before it
// hears others it is the first one for each, and all that start would contend.
const holdWait = 500 * time.Millisecond

// hold contends for the duty of planning while this instance is one of the
// first two for it, so that the others need not read the lease.
func (i *Instance) hold(ctx context.Context) {
	if !feed.Sleep(ctx, holdWait) {
		return
	}
	for {
		if i.crowd.logic.Place(dutyPlan) < planners {
			// An error is counted with the call and seen in what is held.
			_ = i.lease.Step(ctx)
		} else {
			i.lease.Release(ctx)
		}
		if !feed.Sleep(ctx, leaseTime/3) {
			i.lease.Release(context.WithoutCancel(ctx))
			return
		}
	}
}

// sweep drops what is no longer needed until ctx ends.
func (i *Instance) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			i.belief.sweep(now)
			i.pool.Keep(i.router.addresses())
		}
	}
}

// addresses are those of the upstreams.
func (r *router) addresses() map[string]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]bool{}
	for _, g := range r.groups {
		for _, u := range g.list {
			out[u.Address] = true
		}
	}
	return out
}
