// Package daemon assembles the components of an instance and runs them.
//
// It imports every layer below. The commands serve and trial run it.
package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"

	"fulmarwick/internal/app/setup"
	"fulmarwick/internal/fleet/node"
	"fulmarwick/internal/wire/guard"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

// Daemon is one instance. Set the exported fields before Run.
type Daemon struct {
	Settings setup.Settings
	Log      *zap.Logger
	// Build is the program version that the status reports.
	Build string
	// Listener accepts connections of callers, Operators those of operators and
	// Peers those of other instances. If one is nil, Run opens a listener at
	// the address in the settings.
	Listener  net.Listener
	Operators net.Listener
	Peers     net.Listener

	once     sync.Once
	buildErr error
	parts    parts
}

// Stop begins a graceful stop. Run returns after the last request has ended.
func (d *Daemon) Stop() {
	if d.build() == nil {
		d.parts.drainer.Begin()
	}
}

// CloseListeners closes the listeners without waiting until the load balancer
// stops sending requests. Requests in progress continue.
func (d *Daemon) CloseListeners() {
	if d.build() == nil {
		d.parts.drainer.CloseListeners()
	}
}

// Run serves until Stop is called or ctx is done, then completes every request
// in progress.
func (d *Daemon) Run(ctx context.Context) error {
	if err := d.build(); err != nil {
		return err
	}
	p := &d.parts
	guard.LimitHeap(d.Settings.Limits.Memory)
	defer p.pool.Close()
	if err := p.spans.Open(ctx); err != nil {
		return err
	}
	p.callers.TracerProvider = p.spans.Provider()
	ends, err := d.listen(ctx)
	if err != nil {
		return err
	}
	ends.log(d.Log, d.Settings.Instance.Name)
	err = d.run(ctx, ends)
	if closeErr := p.spans.Close(); closeErr != nil {
		d.Log.Warn("daemon: sending the last spans failed", zap.Error(closeErr))
	}
	return err
}

// ready reports whether the load balancer should send callers to this instance.
// It is false until the configuration is at least as new as any version
// reported by others, and until the state of the other instances has been
// received.
func (d *Daemon) ready() bool {
	p := &d.parts
	if p.drainer.Stopping() || !p.follower.Ready() {
		return false
	}
	return p.fleet == nil || p.fleet.isReady()
}

// run runs the components until the last request has ended.
func (d *Daemon) run(ctx context.Context, ends *endpoints) error {
	p := &d.parts
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	context.AfterFunc(ctx, p.drainer.Begin)
	var g errgroup.Group
	for _, part := range d.runners() {
		g.Go(func() error { return part(inner) })
	}
	for _, e := range ends.all() {
		g.Go(func() error { return d.serve(e) })
	}
	g.Go(func() error {
		defer stop()
		defer ends.close()
		return d.finish(inner, ends)
	})
	return g.Wait()
}

// runners returns the background tasks that run beside the servers.
func (d *Daemon) runners() []func(context.Context) error {
	p := &d.parts
	out := []func(context.Context) error{p.loop.Run, p.watcher.Run, p.sender.Run, func(ctx context.Context) error {
		p.follower.Run(ctx)
		return nil
	}}
	if p.fleet == nil {
		p.duties.takeAll()
		return out
	}
	p.fleet.hub.Post(node.SetDuties{Duties: p.duties.specs()})
	return append(out, p.fleet.hub.Run, p.fleet.followWatches, p.fleet.announceVersions, p.fleet.announceStop)
}

// finish completes the graceful stop. It waits for, in this order: the last
// request of a caller, the last record, the last forwarded request of another
// instance, the release of the leases, and the leave message to the peers.
func (d *Daemon) finish(ctx context.Context, ends *endpoints) error {
	p := &d.parts
	if err := p.drainer.Run(ctx, ends.callers.server); err != nil {
		return errors.Wrap(err, "daemon: stop")
	}
	if err := p.ledger.Wait(ctx); err != nil {
		return errors.Wrap(err, "daemon: wait for records")
	}
	if p.fleet == nil {
		p.duties.stop()
		return nil
	}
	p.fleet.leave(ctx)
	return nil
}

// serve serves one endpoint. If an endpoint fails, the instance ends: an
// instance that looks alive but answers no requests would never be replaced.
func (d *Daemon) serve(e endpoint) error {
	serve := e.server.Serve
	if e.server.TLSConfig != nil {
		serve = func(l net.Listener) error { return e.server.ServeTLS(l, "", "") }
	}
	if err := serve(e.listener); !errors.Is(err, http.ErrServerClosed) {
		d.parts.drainer.CloseListeners()
		return errors.Wrapf(err, "daemon: serve %s", e.name)
	}
	return nil
}
