// Package daemon puts one instance together and runs it.
//
// It imports every layer below. The commands serve and trial run it.
package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"fulmarwick/internal/app/setup"
	"fulmarwick/internal/route/core"
	"fulmarwick/internal/route/world"
	"fulmarwick/internal/state/config"
	"fulmarwick/internal/state/ledger"
	"fulmarwick/internal/state/store"
	"fulmarwick/internal/wire/chain"
	"fulmarwick/internal/wire/engine"
	"fulmarwick/internal/wire/entry"
	"fulmarwick/internal/wire/loop"
	"fulmarwick/internal/wire/plain"
	"fulmarwick/internal/wire/watch"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

const headerTimeout = 10 * time.Second

// Daemon is one instance. Set the exported fields before Run.
type Daemon struct {
	Settings setup.File
	Log      *zap.Logger
	// Listener serves callers; nil listens where the settings say.
	Listener net.Listener
	// Config is put in force at start.
	Config *config.Snapshot
}

// Run serves until ctx ends, then finishes every request in progress.
func (d *Daemon) Run(ctx context.Context) error {
	listener, err := d.listen(ctx)
	if err != nil {
		return err
	}
	table := &store.Client{Base: d.Settings.Platform.Table, HTTP: &http.Client{}}
	pool := &engine.Pool{}
	defer pool.Close()
	sender := &plain.Sender{HTTP: plain.NewHTTP()}
	lp := &loop.Loop{Logic: &core.Logic{}}
	book := &config.Book{}
	d.configure(book, lp)
	watcher := &watch.Watcher{
		List: table, Loop: lp, Engines: pool, Services: sender,
		HTTP: &http.Client{}, Log: d.Log, Every: d.Settings.Platform.Watch,
	}
	callers := &entry.Server{
		Models: &chain.Runner{Engines: pool, Router: lp},
		Calls:  &ledger.Ledger{Table: table, Sender: sender},
		Book:   book,
		Limits: entry.Limits{Body: d.Settings.Limits.Body, Tokens: d.Settings.Limits.Tokens},
		Log:    d.Log,
	}
	server := &http.Server{Handler: d.handler(callers), ReadHeaderTimeout: headerTimeout}
	return d.run(ctx, listener, server, lp, watcher)
}

func (d *Daemon) listen(ctx context.Context) (net.Listener, error) {
	if d.Listener != nil {
		return d.Listener, nil
	}
	l, err := new(net.ListenConfig).Listen(ctx, "tcp", d.Settings.Listen.Callers)
	if err != nil {
		return nil, errors.Wrap(err, "daemon: listen")
	}
	return l, nil
}

func (d *Daemon) configure(book *config.Book, lp *loop.Loop) {
	if d.Config == nil || !book.Take(d.Config) {
		return
	}
	lp.Post(world.ConfigSet{Version: d.Config.Version(), Classes: d.Config.Classes(), Teams: d.Config.Teams()})
}

func (d *Daemon) handler(callers *entry.Server) http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.PathPrefix("/v1/").Handler(callers.Handler())
	return r
}

// run keeps the loop and the watcher alive until the last request ended.
func (d *Daemon) run(ctx context.Context, l net.Listener, s *http.Server, lp *loop.Loop, w *watch.Watcher) error {
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var g errgroup.Group
	g.Go(func() error { return lp.Run(inner) })
	g.Go(func() error { return w.Run(inner) })
	g.Go(func() error {
		defer stop()
		<-ctx.Done()
		d.Log.Info("daemon: stopping, requests in progress go on")
		return s.Shutdown(context.WithoutCancel(ctx))
	})
	d.Log.Info("daemon: serving", zap.String("instance", d.Settings.Instance.Name), zap.Stringer("address", l.Addr()))
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		stop()
		return errors.Wrap(err, "daemon: serve")
	}
	return g.Wait()
}
