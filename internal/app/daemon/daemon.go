// Package daemon puts one instance together and runs it.
//
// It imports every layer below. The commands serve and trial run it.
package daemon

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"

	"fulmarwick/internal/app/halt"
	"fulmarwick/internal/app/meters"
	"fulmarwick/internal/app/setup"
	"fulmarwick/internal/app/spans"
	"fulmarwick/internal/route/core"
	"fulmarwick/internal/route/world"
	"fulmarwick/internal/state/config"
	"fulmarwick/internal/state/ledger"
	"fulmarwick/internal/state/store"
	"fulmarwick/internal/wire/admin"
	"fulmarwick/internal/wire/chain"
	"fulmarwick/internal/wire/engine"
	"fulmarwick/internal/wire/entry"
	"fulmarwick/internal/wire/loop"
	"fulmarwick/internal/wire/plain"
	"fulmarwick/internal/wire/watch"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

// followSpread is how far apart, of their mean, looks at the configuration are.
const followSpread = 0.4

// Daemon is one instance. Set the exported fields before Run.
type Daemon struct {
	Settings setup.File
	Log      *zap.Logger
	// Build is the version of the program, for the status.
	Build string
	// Listener serves callers and Operators operators; nil listens where the
	// settings say.
	Listener  net.Listener
	Operators net.Listener
	// Config is put in force at start; nil waits for that of the platform.
	Config *config.Snapshot

	once  sync.Once
	parts parts
}

// parts are what an instance consists of.
type parts struct {
	halt    *halt.Halt
	meters  *metrics.Set
	board   *meters.Board
	spans   *spans.Sender
	book    *config.Book
	logic   *core.Logic
	loop    *loop.Loop
	pool    *engine.Pool
	watcher *watch.Watcher
	callers *entry.Server
	follow  *config.Follower
	config  *operatorConfig
}

// Stop begins the graceful stop; Run returns once the last request ended.
func (d *Daemon) Stop() {
	d.build()
	d.parts.halt.Begin()
}

// Hurry closes the listeners without waiting for the balancer to turn away.
// Requests in progress go on.
func (d *Daemon) Hurry() {
	d.build()
	d.parts.halt.Hurry()
}

// build makes the parts, once.
func (d *Daemon) build() {
	d.once.Do(func() {
		set := metrics.NewSet()
		set.RegisterMetricsWriter(d.gauges)
		table := &store.Client{Base: d.Settings.Platform.Table, HTTP: &http.Client{}}
		sender := &plain.Sender{HTTP: plain.NewHTTP()}
		p := parts{
			halt:   &halt.Halt{Grace: d.Settings.Times.Grace, Log: d.Log},
			meters: set, board: &meters.Board{Meters: set}, book: &config.Book{},
			spans: &spans.Sender{
				URL: d.Settings.Trace.URL, Part: d.Settings.Trace.Part,
				Instance: d.Settings.Instance.Name, DataCentre: d.Settings.Instance.DataCentre,
			},
			logic: &core.Logic{}, pool: &engine.Pool{},
		}
		p.loop = &loop.Loop{Logic: p.logic, Queue: d.Settings.Limits.Queue, Meters: set}
		p.watcher = &watch.Watcher{
			List: table, Loop: p.loop, Engines: p.pool, Services: sender,
			HTTP: &http.Client{}, Log: d.Log, Every: d.Settings.Platform.Watch,
		}
		p.callers = &entry.Server{
			Models: &chain.Runner{Engines: p.pool, Router: p.loop},
			Calls:  &ledger.Ledger{Table: table, Sender: sender},
			Book:   p.book, Limits: limits(d.Settings), Log: d.Log, Meters: set, Observer: p.board,
		}
		p.follow = &config.Follower{
			Table: table, Book: p.book, OnChange: d.changed, OnError: d.unfollowed, Jitter: jitter,
		}
		p.config = &operatorConfig{
			instance: d.Settings.Instance.Name, book: p.book, applier: &config.Applier{Table: table}, hint: p.follow.Hint,
			others: func() []admin.Instance { return []admin.Instance{} },
		}
		d.parts = p
	})
}

// jitter spreads the looks of many instances at the head.
func jitter() float64 { return 1 - followSpread/2 + followSpread*rand.Float64() }

// changed hands a configuration that is in force to the routing logic.
func (d *Daemon) changed(s *config.Snapshot) {
	d.parts.loop.Post(world.ConfigSet{Version: s.Version(), Classes: s.Classes(), Teams: s.Teams()})
	d.Log.Info("daemon: configuration in force", zap.Uint64("version", s.Version()))
}

func (d *Daemon) unfollowed(err error) {
	d.Log.Warn("daemon: configuration not read, the last one stays in force", zap.Error(err))
}

func limits(s setup.File) entry.Limits {
	return entry.Limits{
		Body: s.Limits.Body, Header: s.Limits.Header, Tokens: s.Limits.Tokens,
		Streams: s.Limits.Streams, Team: s.Limits.Team, Connection: s.Limits.Connection, Buffer: s.Limits.Buffer,
		HeaderTime: s.Times.Header, BodyTime: s.Times.Body, WriteTime: s.Times.Write,
		IdleTime: s.Times.Idle, Comment: s.Times.Comment,
	}
}

// Run serves until it is told to stop or ctx ends, then finishes every request
// in progress.
func (d *Daemon) Run(ctx context.Context) error {
	d.build()
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
	d.configure()
	d.Log.Info("daemon: serving", zap.String("instance", d.Settings.Instance.Name), zap.Stringer("address", ends.callersAt))
	if ends.operators != nil {
		d.Log.Info("daemon: serving operators", zap.Stringer("address", ends.operatorsAt))
	}
	err = d.run(ctx, ends)
	if closed := p.spans.Close(); closed != nil {
		d.Log.Warn("daemon: last spans lost", zap.Error(closed))
	}
	return err
}

func (d *Daemon) configure() {
	if d.Config == nil || !d.parts.book.Take(d.Config) {
		return
	}
	d.changed(d.Config)
}

// ready reports whether the balancer should send callers here.
func (d *Daemon) ready() bool {
	known := d.parts.book.Now() != nil && (d.Config != nil || d.parts.follow.Ready())
	return known && !d.parts.halt.Stopping()
}

// run keeps the parts alive until the last request ended.
func (d *Daemon) run(ctx context.Context, ends *ends) error {
	p := &d.parts
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	context.AfterFunc(ctx, p.halt.Begin)
	var g errgroup.Group
	g.Go(func() error { return p.loop.Run(inner) })
	g.Go(func() error { return p.watcher.Run(inner) })
	g.Go(func() error {
		p.follow.Run(inner)
		return nil
	})
	g.Go(func() error { return d.serve(ends.callers, ends.callersAt) })
	if ends.operators != nil {
		g.Go(func() error { return d.serve(ends.operators, ends.operatorsAt) })
	}
	g.Go(func() error {
		defer stop()
		defer ends.closeOperators()
		return p.halt.Run(inner, ends.callers)
	})
	return g.Wait()
}

// serve serves one endpoint. One that fails ends the instance, since an
// instance that looks alive but answers nobody would never be replaced.
func (d *Daemon) serve(s *http.Server, l net.Listener) error {
	serve := s.Serve
	if s.TLSConfig != nil {
		serve = func(l net.Listener) error { return s.ServeTLS(l, "", "") }
	}
	if err := serve(l); !errors.Is(err, http.ErrServerClosed) {
		d.parts.halt.Hurry()
		return errors.Wrap(err, "daemon: serve")
	}
	return nil
}
