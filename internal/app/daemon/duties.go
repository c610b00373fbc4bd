package daemon

import (
	"context"
	"strings"
	"sync"
	"time"

	"fulmarwick/internal/base/frame"
	"fulmarwick/internal/base/news"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/node"
	"fulmarwick/internal/route/domain"
	"fulmarwick/internal/state/lease"
	"fulmarwick/internal/state/ledger"
	"fulmarwick/internal/state/order"
	"fulmarwick/internal/state/store"

	"go.uber.org/zap"
)

const (
	dutyPlace = "place/"
	dutyTrim  = "trim"
	// dutyInterval is the time between two looks of a duty at its lease and work.
	dutyInterval = 500 * time.Millisecond
	// trimEvery and trimRows bound what trimming costs the table.
	trimEvery = 10 * time.Second
	trimRows  = 200
)

// duties runs the duties that fall to this instance, each under its lease.
type duties struct {
	*Daemon
	orders *order.Reconciler
	lease  *lease.Lease

	mu      sync.Mutex
	stopped bool
	running map[string]context.CancelFunc
	group   sync.WaitGroup
	pending []domain.LoadLayers
}

func (d *Daemon) newDuties() *duties {
	centre := d.localSpan()
	out := &duties{Daemon: d, running: map[string]context.CancelFunc{}}
	out.lease = d.newLease(dutyPlace + centre)
	out.orders = &order.Reconciler{
		Table: d.parts.table, Sender: d.parts.controls, Lease: out.lease, Duty: centre, ChecksFence: d.fenced,
		Meters: d.parts.metrics,
	}
	return out
}

func (d *Daemon) newLease(name string) *lease.Lease {
	return &lease.Lease{Table: d.parts.table, Duty: name, Owner: d.parts.owner, Jitter: jitter, Meters: d.parts.metrics}
}

// specs are the duties there are, for the fleet logic to spread.
func (u *duties) specs() []node.DutySpec {
	return []node.DutySpec{
		{Name: dutyPlace + u.localSpan(), Scope: news.ScopeCentre},
		{Name: dutyTrim, Scope: news.ScopeFleet},
	}
}

// takeAll takes every duty: an instance that stands alone holds them all.
func (u *duties) takeAll() {
	for _, s := range u.specs() {
		u.set(s.Name, true)
	}
}

// set begins or ends a duty here. It does not wait.
func (u *duties) set(name string, mine bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	cancel := u.running[name]
	switch {
	case !mine && cancel != nil:
		cancel()
		delete(u.running, name)
	case mine && cancel == nil && !u.stopped:
		ctx, cancel := context.WithCancel(context.Background())
		u.running[name] = cancel
		u.group.Add(1)
		go func() {
			defer u.group.Done()
			u.run(ctx, name)
		}()
	}
}

// stop ends all duties and waits until their leases are released.
func (u *duties) stop() {
	u.mu.Lock()
	u.stopped = true
	for name, cancel := range u.running {
		cancel()
		delete(u.running, name)
	}
	u.mu.Unlock()
	u.group.Wait()
}

func (u *duties) run(ctx context.Context, name string) {
	if strings.HasPrefix(name, dutyPlace) {
		u.runPlacement(ctx)
		return
	}
	u.runTrim(ctx)
}

// runPlacement plans the placement of the data centre while the lease is held.
func (u *duties) runPlacement(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { u.lease.Run(ctx) })
	adopted := uint64(0)
	u.every(ctx, dutyInterval, func() {
		held := u.lease.Held()
		if !held {
			adopted = 0
		}
		u.parts.loop.Post(domain.Duties{PlansPlacement: held && adopted != 0})
		if held {
			adopted = u.orderRound(ctx, adopted)
		}
	})
	u.parts.loop.Post(domain.Duties{})
}

// orderRound takes over what former holders wished, then sends what is due.
func (u *duties) orderRound(ctx context.Context, adopted uint64) uint64 {
	if fence := u.lease.Fence(); fence != adopted {
		if err := u.orders.Adopt(ctx); err != nil {
			u.Log.Warn("duties: desired state not taken over", zap.Error(err))
			return 0
		}
		u.Log.Info("duties: placing engines", zap.Uint64("fence", fence))
		adopted = fence
	}
	for _, p := range u.takePending() {
		if err := u.orders.SetDesired(ctx, p.Engine, holdFrames(p.Ranges), ""); err != nil {
			u.Log.Warn("duties: wish not written", zap.String("engine", string(p.Engine)), zap.Error(err))
		}
	}
	if _, err := u.orders.Reconcile(ctx); err != nil {
		u.Log.Warn("duties: orders not sent", zap.Error(err))
	}
	return adopted
}

// queuePlan queues a wish of the planner.
func (u *duties) queuePlan(p domain.LoadLayers) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.pending = append(u.pending, p)
}

func (u *duties) takePending() []domain.LoadLayers {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := u.pending
	u.pending = nil
	return out
}

// runTrim removes old records while the lease is held.
func (u *duties) runTrim(ctx context.Context) {
	l := u.newLease(dutyTrim)
	trimmer := &ledger.Trimmer{Table: u.parts.budget.Limit(store.RankOther, u.parts.breaker)}
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { l.Run(ctx) })
	u.every(ctx, trimEvery, func() {
		if !l.Held() {
			return
		}
		if _, err := trimmer.Trim(ctx, trimRows); err != nil {
			u.Log.Warn("duties: old records not trimmed", zap.Error(err))
		}
	})
}

func (u *duties) every(ctx context.Context, d time.Duration, work func()) {
	ticker := time.NewTicker(d)
	defer ticker.Stop()
	for {
		work()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// fenced says whether an engine refuses old fencing numbers, by its kind.
func (d *Daemon) fenced(id spec.UpstreamID) bool {
	return d.Settings.Fenced[d.parts.interceptor.kind(id)]
}

func holdFrames(holds []domain.LoadedRange) []frame.Hold {
	out := make([]frame.Hold, 0, len(holds))
	for _, h := range holds {
		out = append(out, frame.Hold{
			Model: string(h.Model), Version: h.Version, Depth: h.Depth,
			From: h.Layers.From(), To: h.Layers.To(), Width: h.Width,
		})
	}
	return out
}
