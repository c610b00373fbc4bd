// Package daemon puts one instance together and runs it.
//
// It imports every layer below. The commands serve and trial run it.
package daemon

import (
	"context"
	"net"
	"net/http"

	"fulmarwick/internal/app/halt"
	"fulmarwick/internal/app/setup"
	"fulmarwick/internal/state/config"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

// Daemon is one instance. Set the exported fields before Run.
type Daemon struct {
	Settings setup.File
	Log      *zap.Logger
	// Build is the version of the program.
	Build string
	// Callers, Peers and Operators are listeners to serve on; a nil one is
	// opened where the settings say.
	Callers   net.Listener
	Peers     net.Listener
	Operators net.Listener
	// Config is put in force at start, if not nil.
	Config *config.Snapshot

	halt halt.Halt
}

// Hurry begins the graceful stop without waiting for the balancer. Requests in
// progress go on.
func (d *Daemon) Hurry() { d.halt.Hurry() }

// Run serves until ctx ends or an operator drains the instance, then finishes
// every request in progress and returns.
func (d *Daemon) Run(ctx context.Context) error {
	d.halt.Grace = d.Settings.Times.Grace
	d.halt.Log = d.Log
	p := &parts{Daemon: d}
	if err := p.build(ctx); err != nil {
		return err
	}
	defer p.close()
	go func() {
		select {
		case <-ctx.Done():
			d.halt.Begin()
		case <-d.halt.Begun():
		}
	}()
	return p.run(context.WithoutCancel(ctx))
}

// run serves until the graceful stop is over. What serves requests lives until
// the last request ended, and only then is stopped.
func (p *parts) run(ctx context.Context) error {
	inner, stop := context.WithCancel(ctx)
	defer stop()
	var g errgroup.Group
	for _, part := range p.runners() {
		g.Go(func() error { return part(inner) })
	}
	for _, s := range p.servers {
		g.Go(func() error { return p.serve(s, stop) })
	}
	g.Go(func() error {
		defer stop()
		return p.stopped(ctx)
	})
	return g.Wait()
}

func (p *parts) serve(s served, stop func()) error {
	p.Log.Info("daemon: serving "+s.name, zap.Stringer("address", s.listener.Addr()))
	err := s.server.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	p.halt.Hurry()
	stop()
	return errors.Wrapf(err, "daemon: serve %s", s.name)
}

// stopped waits for the end of the graceful stop.
func (p *parts) stopped(ctx context.Context) error {
	if err := p.halt.Run(ctx, p.callers); err != nil {
		return errors.Wrap(err, "daemon: stop")
	}
	for _, s := range p.servers {
		_ = s.server.Close()
	}
	p.Log.Info("daemon: stopped")
	return nil
}
