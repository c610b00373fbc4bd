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
	// dutyInterval is the time between two rounds in which a duty checks its
	// lease and does its work.
	dutyInterval = 500 * time.Millisecond
	// trimEvery and trimRows bound the load that trimming puts on the table.
	trimEvery = 10 * time.Second
	trimRows  = 200
)

// duties runs the duties assigned to this instance, each under its own lease.
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

// specs returns all duties, which the fleet logic assigns to instances.
func (d *duties) specs() []node.DutySpec {
	return []node.DutySpec{
		{Name: dutyPlace + d.localSpan(), Scope: news.ScopeCentre},
		{Name: dutyTrim, Scope: news.ScopeFleet},
	}
}

// takeAll starts every duty, for an instance without peers.
func (d *duties) takeAll() {
	for _, s := range d.specs() {
		d.set(s.Name, true)
	}
}

// set starts or stops a duty on this instance. It does not wait.
func (d *duties) set(name string, assigned bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	cancel := d.running[name]
	switch {
	case !assigned && cancel != nil:
		cancel()
		delete(d.running, name)
	case assigned && cancel == nil && !d.stopped:
		ctx, cancel := context.WithCancel(context.Background())
		d.running[name] = cancel
		d.group.Add(1)
		go func() {
			defer d.group.Done()
			d.run(ctx, name)
		}()
	}
}

// stop stops all duties and waits until their leases are released.
func (d *duties) stop() {
	d.mu.Lock()
	d.stopped = true
	for name, cancel := range d.running {
		cancel()
		delete(d.running, name)
	}
	d.mu.Unlock()
	d.group.Wait()
}

func (d *duties) run(ctx context.Context, name string) {
	if strings.HasPrefix(name, dutyPlace) {
		d.runPlacement(ctx)
		return
	}
	d.runTrim(ctx)
}

// runPlacement plans the placement of the data centre while it holds the lease.
func (d *duties) runPlacement(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { d.lease.Run(ctx) })
	adopted := uint64(0)
	d.every(ctx, dutyInterval, func() {
		held := d.lease.Held()
		if !held {
			adopted = 0
		}
		d.parts.loop.Post(domain.Duties{PlansPlacement: held && adopted != 0})
		if held {
			adopted = d.orderRound(ctx, adopted)
		}
	})
	d.parts.loop.Post(domain.Duties{})
}

// orderRound adopts the desired state of earlier lease holders, then sends the
// load orders that are due. It returns the fencing token under which the state
// was adopted, or 0 if adoption failed.
func (d *duties) orderRound(ctx context.Context, adopted uint64) uint64 {
	if fence := d.lease.Fence(); fence != adopted {
		if err := d.orders.Adopt(ctx); err != nil {
			d.Log.Warn("duties: adopt desired state failed", zap.Error(err))
			return 0
		}
		d.Log.Info("duties: placing engines", zap.Uint64("fence", fence))
		adopted = fence
	}
	for _, p := range d.takePending() {
		if err := d.orders.SetDesired(ctx, p.Engine, holdFrames(p.Ranges), ""); err != nil {
			d.Log.Warn("duties: write desired state failed", zap.String("engine", string(p.Engine)), zap.Error(err))
		}
	}
	if _, err := d.orders.Reconcile(ctx); err != nil {
		d.Log.Warn("duties: send load orders failed", zap.Error(err))
	}
	return adopted
}

// queuePlan queues a placement that the planner requested.
func (d *duties) queuePlan(p domain.LoadLayers) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pending = append(d.pending, p)
}

func (d *duties) takePending() []domain.LoadLayers {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := d.pending
	d.pending = nil
	return out
}

// runTrim removes old records while it holds the lease.
func (d *duties) runTrim(ctx context.Context) {
	l := d.newLease(dutyTrim)
	trimmer := &ledger.Trimmer{Table: d.parts.budget.Limit(store.RankOther, d.parts.breaker)}
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { l.Run(ctx) })
	d.every(ctx, trimEvery, func() {
		if !l.Held() {
			return
		}
		if _, err := trimmer.Trim(ctx, trimRows); err != nil {
			d.Log.Warn("duties: trim old records failed", zap.Error(err))
		}
	})
}

func (d *duties) every(ctx context.Context, interval time.Duration, work func()) {
	ticker := time.NewTicker(interval)
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

// fenced reports whether an engine rejects outdated fencing tokens. The
// settings list this by engine kind.
func (d *Daemon) fenced(id spec.UpstreamID) bool {
	return d.Settings.Fenced[d.parts.interceptor.kind(id)]
}

func holdFrames(holds []domain.LoadedRange) []frame.LoadedLayers {
	out := make([]frame.LoadedLayers, 0, len(holds))
	for _, h := range holds {
		out = append(out, frame.LoadedLayers{
			Model: string(h.Model), Version: h.Version, Depth: h.Depth,
			From: h.Layers.From(), To: h.Layers.To(), Width: h.Width,
		})
	}
	return out
}
