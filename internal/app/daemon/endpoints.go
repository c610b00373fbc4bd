package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"fulmarwick/internal/app/setup"
	"fulmarwick/internal/wire/admin"
	"fulmarwick/internal/wire/certs"
	"fulmarwick/internal/wire/guard"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	headerTimeout = 10 * time.Second
	// closeTimeout bounds the wait for the last request of an operator.
	closeTimeout = 2 * time.Second
)

// endpoint is an HTTP server and its listener.
type endpoint struct {
	name     string
	server   *http.Server
	listener net.Listener
}

// attach makes the endpoint apply limits.
func (e *endpoint) attach(g *guard.Guard) { e.listener = g.Attach(e.server, e.listener) }

// endpoints holds the endpoints of an instance. An endpoint without a server is
// not served.
type endpoints struct {
	callers   endpoint
	operators endpoint
	peers     endpoint
}

func (e *endpoints) all() []endpoint {
	var out []endpoint
	for _, one := range []endpoint{e.callers, e.operators, e.peers} {
		if one.server != nil {
			out = append(out, one)
		}
	}
	return out
}

func (e *endpoints) log(log *zap.Logger, instance string) {
	for _, one := range e.all() {
		log.Info("daemon: serving "+one.name, zap.String("instance", instance), zap.Stringer("address", one.listener.Addr()))
	}
}

// close shuts down the endpoints. Those of operators and peers answer until
// everything else has ended.
func (e *endpoints) close() {
	for _, one := range e.all() {
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		if err := one.server.Shutdown(ctx); err != nil {
			_ = one.server.Close()
		}
		cancel()
	}
}

func (d *Daemon) listen(ctx context.Context) (*endpoints, error) {
	s := d.Settings
	var e endpoints
	tlsConf, err := d.tlsConfig(s.TLS.Callers)
	if err != nil {
		return nil, err
	}
	server := d.parts.callers.HTTP(d.handler(), tlsConf)
	if e.callers, err = open(ctx, "callers", server, d.Listener, s.Listen.Callers); err != nil {
		return nil, err
	}
	e.callers.attach(d.callersGuard())
	if d.Operators != nil || s.Listen.Operators != "" {
		if e.operators, err = d.open(ctx, "operators", d.operators(), s.TLS.Operators, d.Operators, s.Listen.Operators); err != nil {
			return nil, err
		}
		e.operators.attach(guard.NewInternal(guard.OperatorsBytes(s.Limits.Memory)))
	}
	if d.parts.fleet != nil {
		if e.peers, err = d.open(ctx, "peers", d.parts.fleet.handler(), s.TLS.Peers, d.Peers, s.Listen.Peers); err != nil {
			return nil, err
		}
		peers := guard.NewInternal(0)
		peers.Upgrades = true
		e.peers.attach(peers)
		d.parts.fleet.hub.Self.URL = d.parts.fleet.scheme() + e.peers.listener.Addr().String()
		d.parts.fleet.logic.Local = d.parts.fleet.hub.Self
	}
	return &e, nil
}

// open creates an endpoint for operators or peers.
func (d *Daemon) open(ctx context.Context, name string, h http.Handler, pair setup.Pair, l net.Listener, address string) (endpoint, error) {
	tlsConf, err := d.tlsConfig(pair)
	if err != nil {
		return endpoint{}, err
	}
	server := &http.Server{Handler: h, TLSConfig: tlsConf, ReadHeaderTimeout: headerTimeout}
	// Failed handshakes are caused by clients and may be frequent, so they are
	// logged at debug level only.
	if log, err := zap.NewStdLogAt(d.Log.Named(name), zapcore.DebugLevel); err == nil {
		server.ErrorLog = log
	}
	return open(ctx, name, server, l, address)
}

// open listens at address, unless l is already a listener.
func open(ctx context.Context, name string, server *http.Server, l net.Listener, address string) (endpoint, error) {
	if l == nil {
		opened, err := new(net.ListenConfig).Listen(ctx, "tcp", address)
		if err != nil {
			return endpoint{}, errors.Wrapf(err, "daemon: listen for %s", name)
		}
		l = opened
	}
	return endpoint{name: name, server: server, listener: l}, nil
}

// callersGuard limits the connections and requests of callers. The timeouts of heads and idle connections are
// those of the server.
func (d *Daemon) callersGuard() *guard.Guard {
	limits := guard.Limits{WriteTimeout: d.Settings.Times.Write}
	return &guard.Guard{
		Account: d.parts.account, Refuse: http.HandlerFunc(d.parts.callers.RefuseNoRoom),
		Limits: func() guard.Limits { return limits },
	}
}

// tlsConfig returns the TLS configuration of an endpoint, or nil if the
// endpoint does not use TLS.
func (d *Daemon) tlsConfig(p setup.Pair) (*tls.Config, error) {
	if !p.Set() {
		return nil, nil
	}
	source, err := d.certSource(p)
	if err != nil {
		return nil, err
	}
	return source.Server(), nil
}

// certSource loads the certificates of an endpoint.
func (d *Daemon) certSource(p setup.Pair) (*certs.Source, error) {
	s := &certs.Source{Cert: p.Cert, Key: p.Key, CA: p.CA, Log: d.Log}
	return s, s.Open()
}

// handler returns the handler for callers. Health checks do not count as
// requests, because the load balancer continues to send them while an instance
// stops.
func (d *Daemon) handler() http.Handler {
	r := mux.NewRouter().UseEncodedPath()
	admin.Health(r, d.ready)
	r.PathPrefix("/").Handler(d.parts.drainer.Handler(d.parts.callers.Handler()))
	return r
}

func (d *Daemon) operators() http.Handler {
	s := &admin.Server{
		Viewer: d, Drainer: d.parts.drainer, Config: &configAdmin{d}, Meters: d.parts.metrics, Log: d.Log, Ready: d.ready,
	}
	return s.Handler()
}
