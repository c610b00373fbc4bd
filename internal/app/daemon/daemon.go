// Package daemon puts one instance together and runs it.
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

	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

// Daemon is one instance. Set the exported fields before Run.
type Daemon struct {
	Settings setup.File
	Log      *zap.Logger
	// Build is the version of the program, for the status.
	Build string
	// Listener serves callers, Operators operators and Peers other instances;
	// nil listens where the settings say.
	Listener  net.Listener
	Operators net.Listener
	Peers     net.Listener

	once     sync.Once
	buildErr error
	parts    parts
}

// Stop begins the graceful stop; Run returns once the last request ended.
func (d *Daemon) Stop() {
	if d.build() == nil {
		d.parts.drainer.Begin()
	}
}

// CloseListeners closes the listeners without waiting for the balancer to turn away.
// Requests in progress go on.
func (d *Daemon) CloseListeners() {
	if d.build() == nil {
		d.parts.drainer.CloseListeners()
	}
}

// Run serves until it is told to stop or ctx ends, then finishes every request
// in progress.
func (d *Daemon) Run(ctx context.Context) error {
	if err := d.build(); err != nil {
		return err
	}
	p := &d.parts
	defer p.pool.Close()
	if err := p.spans.Open(ctx); err != nil {
		return err
	}
	p.callers.Spans = p.spans.Provider()
	ends, err := d.listen(ctx)
	if err != nil {
		return err
	}
	ends.log(d.Log, d.Settings.Instance.Name)
	err = d.run(ctx, ends)
	if closed := p.spans.Close(); closed != nil {
		d.Log.Warn("daemon: last spans lost", zap.Error(closed))
	}
	return err
}

// ready reports whether the balancer should send callers here: not before the
// configuration is as new as any heard of, nor before what the other instances
// know is known here.
func (d *Daemon) ready() bool {
	p := &d.parts
	if p.drainer.Stopping() || !p.follower.Ready() {
		return false
	}
	return p.fleet == nil || p.fleet.isReady()
}

// run keeps the parts alive until the last request ended.
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

// runners are the parts that run beside the servers.
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

// finish waits for the end of the graceful stop: the last request of a caller,
// the last record, the last request of another instance, the release of the
// leases, and the farewell to the others, in this order.
func (d *Daemon) finish(ctx context.Context, ends *endpoints) error {
	p := &d.parts
	if err := p.drainer.Run(ctx, ends.callers.server); err != nil {
		return errors.Wrap(err, "daemon: stop")
	}
	if err := p.ledger.Wait(ctx); err != nil {
		return errors.Wrap(err, "daemon: records")
	}
	if p.fleet == nil {
		p.duties.stop()
		return nil
	}
	p.fleet.leave(ctx)
	return nil
}

// serve serves one endpoint. One that fails ends the instance, since an
// instance that looks alive but answers nobody would never be replaced.
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
