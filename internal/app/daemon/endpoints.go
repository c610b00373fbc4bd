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

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	headerTimeout = 10 * time.Second
	// closeTimeout bounds the wait for an operator's last question.
	closeTimeout = 2 * time.Second
)

// endpoint is one endpoint: a server and where it listens.
type endpoint struct {
	name     string
	server   *http.Server
	listener net.Listener
}

// endpoints are the endpoints of an instance. Those without a server are not
// served.
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

// close ends the endpoints of operators and peers, which answer until all else
// has ended.
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
	secure, err := d.tlsConfig(s.TLS.Callers)
	if err != nil {
		return nil, err
	}
	server := d.parts.callers.HTTP(d.handler(), secure)
	if e.callers, err = open(ctx, "callers", server, d.Listener, s.Listen.Callers); err != nil {
		return nil, err
	}
	if d.Operators != nil || s.Listen.Operators != "" {
		if e.operators, err = d.open(ctx, "operators", d.operators(), s.TLS.Operators, d.Operators, s.Listen.Operators); err != nil {
			return nil, err
		}
	}
	if d.parts.fleet != nil {
		if e.peers, err = d.open(ctx, "peers", d.parts.fleet.handler(), s.TLS.Peers, d.Peers, s.Listen.Peers); err != nil {
			return nil, err
		}
		d.parts.fleet.hub.Self.URL = d.parts.fleet.scheme() + e.peers.listener.Addr().String()
		d.parts.fleet.logic.Local = d.parts.fleet.hub.Self
	}
	return &e, nil
}

// open makes an endpoint for others than callers.
func (d *Daemon) open(ctx context.Context, name string, h http.Handler, pair setup.Pair, l net.Listener, address string) (endpoint, error) {
	secure, err := d.tlsConfig(pair)
	if err != nil {
		return endpoint{}, err
	}
	server := &http.Server{Handler: h, TLSConfig: secure, ReadHeaderTimeout: headerTimeout}
	// Failed handshakes are what others did, and may be many.
	if log, err := zap.NewStdLogAt(d.Log.Named(name), zapcore.DebugLevel); err == nil {
		server.ErrorLog = log
	}
	return open(ctx, name, server, l, address)
}

// open listens at address unless there is a listener.
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

// tlsConfig returns the TLS settings of an endpoint, or nil without.
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

// certSource opens the certificates of an endpoint.
func (d *Daemon) certSource(p setup.Pair) (*certs.Source, error) {
	s := &certs.Source{Cert: p.Cert, Key: p.Key, CA: p.CA, Log: d.Log}
	return s, s.Open()
}

// handler serves callers. Health checks do not count as requests: the balancer
// goes on asking an instance that stops.
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
