package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"

	"fulmarwick/internal/app/meters"
	"fulmarwick/internal/app/setup"
	"fulmarwick/internal/app/spans"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/core"
	"fulmarwick/internal/route/world"
	"fulmarwick/internal/state/config"
	"fulmarwick/internal/state/ledger"
	"fulmarwick/internal/state/store"
	"fulmarwick/internal/wire/admin"
	"fulmarwick/internal/wire/certs"
	"fulmarwick/internal/wire/chain"
	"fulmarwick/internal/wire/engine"
	"fulmarwick/internal/wire/entry"
	"fulmarwick/internal/wire/loop"
	"fulmarwick/internal/wire/plain"
	"fulmarwick/internal/wire/watch"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/gorilla/mux"
)

// parts is one instance put together.
type parts struct {
	*Daemon
	meters  *metrics.Set
	spans   *spans.Sender
	board   *meters.Board
	book    *config.Book
	logic   *core.Logic
	loop    *loop.Loop
	engines *engine.Pool
	sender  *plain.Sender
	table   *store.Client
	watcher *watch.Watcher
	callers *http.Server
	servers []served
}

// served is a server and where it listens.
type served struct {
	name     string
	server   *http.Server
	listener net.Listener
}

func (p *parts) build(ctx context.Context) error {
	p.meters = metrics.NewSet()
	p.board = &meters.Board{Meters: p.meters}
	if err := p.buildSpans(ctx); err != nil {
		return err
	}
	p.buildState()
	p.buildRoute()
	if err := p.buildCallers(ctx); err != nil {
		return err
	}
	if err := p.buildOperators(ctx); err != nil {
		return err
	}
	p.configure()
	return nil
}

func (p *parts) buildSpans(ctx context.Context) error {
	s := p.Settings
	p.spans = &spans.Sender{
		URL: s.Trace.URL, Part: s.Trace.Part,
		Instance: s.Instance.Name, DataCentre: s.Instance.DataCentre,
	}
	if err := p.spans.Open(ctx); err != nil {
		return errors.Wrap(err, "daemon: spans")
	}
	return nil
}

func (p *parts) buildState() {
	p.table = &store.Client{Base: p.Settings.Platform.Table, HTTP: &http.Client{}}
	p.sender = &plain.Sender{HTTP: plain.NewHTTP()}
	p.book = &config.Book{}
}

func (p *parts) buildRoute() {
	name := p.Settings.Instance.Name
	p.logic = &core.Logic{ID: spec.InstanceID(name), Seed: xxhash.Sum64String(name)}
	p.loop = &loop.Loop{Logic: p.logic, Queue: p.Settings.Limits.Queue, Meters: p.meters}
	p.engines = &engine.Pool{}
	p.watcher = &watch.Watcher{
		List: p.table, Loop: p.loop, Engines: p.engines, Services: p.sender,
		HTTP: &http.Client{}, Log: p.Log, Every: p.Settings.Platform.Watch,
	}
}

func (p *parts) buildCallers(ctx context.Context) error {
	s := &entry.Server{
		Models:   &chain.Runner{Engines: p.engines, Router: p.loop},
		Calls:    &ledger.Ledger{Table: p.table, Sender: p.sender},
		Book:     p.book,
		Limits:   entryLimits(p.Settings),
		Log:      p.Log,
		Meters:   p.meters,
		Spans:    p.spans.Provider(),
		Observer: p.board,
	}
	secure, err := p.secure(p.Settings.TLS.Callers)
	if err != nil {
		return err
	}
	r := mux.NewRouter()
	admin.Health(r, p.ready)
	r.PathPrefix("/v1/").Handler(p.halt.Handler(s.Handler()))
	p.callers = s.HTTP(r, secure)
	return p.add(ctx, "callers", p.callers, p.Callers, p.Settings.Listen.Callers)
}

func entryLimits(s setup.File) entry.Limits {
	return entry.Limits{
		Body: s.Limits.Body, Header: s.Limits.Header, Tokens: s.Limits.Tokens,
		Streams: s.Limits.Streams, Team: s.Limits.Team, Connection: s.Limits.Connection,
		Buffer: s.Limits.Buffer, HeaderTime: s.Times.Header, BodyTime: s.Times.Body,
		WriteTime: s.Times.Write, IdleTime: s.Times.Idle, Comment: s.Times.Comment,
	}
}

func (p *parts) buildOperators(ctx context.Context) error {
	if p.Operators == nil && p.Settings.Listen.Operators == "" {
		return nil
	}
	s := &admin.Server{
		Viewer: &viewer{p}, Drainer: &p.halt, Meters: p.meters, Log: p.Log, Ready: p.ready,
	}
	secure, err := p.secure(p.Settings.TLS.Operators)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: s.Handler(), TLSConfig: secure, ReadHeaderTimeout: p.Settings.Times.Header}
	return p.add(ctx, "operators", server, p.Operators, p.Settings.Listen.Operators)
}

// secure opens the certificates of an endpoint; nil without any.
func (p *parts) secure(pair setup.Pair) (*tls.Config, error) {
	if !pair.Set() {
		return nil, nil
	}
	source := &certs.Source{Cert: pair.Cert, Key: pair.Key, CA: pair.CA, Log: p.Log}
	if err := source.Open(); err != nil {
		return nil, errors.Wrap(err, "daemon: certificates")
	}
	return source.Server(), nil
}

// add has server serve on l, or on address if l is nil.
func (p *parts) add(ctx context.Context, name string, server *http.Server, l net.Listener, address string) error {
	if l == nil {
		opened, err := new(net.ListenConfig).Listen(ctx, "tcp", address)
		if err != nil {
			return errors.Wrapf(err, "daemon: listen for %s", name)
		}
		l = opened
	}
	if server.TLSConfig != nil {
		l = tls.NewListener(l, server.TLSConfig)
	}
	p.servers = append(p.servers, served{name: name, server: server, listener: l})
	return nil
}

func (p *parts) runners() []func(context.Context) error {
	return []func(context.Context) error{p.loop.Run, p.watcher.Run}
}

// ready reports whether callers should be sent here.
func (p *parts) ready() bool {
	return !p.halt.Stopping() && p.book.Now() != nil
}

func (p *parts) configure() {
	if p.Config != nil {
		p.adopt(p.Config)
	}
}

// adopt puts a configuration in force unless a later one is.
func (p *parts) adopt(s *config.Snapshot) {
	if !p.book.Take(s) {
		return
	}
	p.board.Keep(s.Classes())
	p.loop.Post(world.ConfigSet{Version: s.Version(), Classes: s.Classes(), Teams: s.Teams()})
}

func (p *parts) close() {
	p.engines.Close()
	_ = p.spans.Close()
}
