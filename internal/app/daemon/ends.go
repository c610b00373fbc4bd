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
	operatorHeaderTime = 10 * time.Second
	// operatorClose bounds the wait for an operator's last question.
	operatorClose = 2 * time.Second
)

// addressed is a listener that logs as its address.
type addressed struct {
	net.Listener
}

// String is the address, for logs.
func (a addressed) String() string { return a.Addr().String() }

// ends are the endpoints of an instance.
type ends struct {
	callers     *http.Server
	callersAt   addressed
	operators   *http.Server
	operatorsAt addressed
}

// closeOperators ends the operators' endpoint, which answers until all else
// has ended.
func (e *ends) closeOperators() {
	if e.operators == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), operatorClose)
	defer cancel()
	if err := e.operators.Shutdown(ctx); err != nil {
		_ = e.operators.Close()
	}
}

func (d *Daemon) listen(ctx context.Context) (*ends, error) {
	var e ends
	secure, err := d.secure(d.Settings.TLS.Callers)
	if err != nil {
		return nil, err
	}
	e.callers = d.parts.callers.HTTP(d.handler(), secure)
	if e.callersAt, err = open(ctx, d.Listener, d.Settings.Listen.Callers); err != nil {
		return nil, err
	}
	if d.Operators == nil && d.Settings.Listen.Operators == "" {
		return &e, nil
	}
	if secure, err = d.secure(d.Settings.TLS.Operators); err != nil {
		return nil, err
	}
	e.operators = &http.Server{Handler: d.operators(), TLSConfig: secure, ReadHeaderTimeout: operatorHeaderTime}
	// Failed handshakes are what others did, and may be many.
	if log, err := zap.NewStdLogAt(d.Log.Named("operators"), zapcore.DebugLevel); err == nil {
		e.operators.ErrorLog = log
	}
	if e.operatorsAt, err = open(ctx, d.Operators, d.Settings.Listen.Operators); err != nil {
		return nil, err
	}
	return &e, nil
}

// open returns l, or listens at address if there is none.
func open(ctx context.Context, l net.Listener, address string) (addressed, error) {
	if l != nil {
		return addressed{l}, nil
	}
	l, err := new(net.ListenConfig).Listen(ctx, "tcp", address)
	if err != nil {
		return addressed{}, errors.Wrap(err, "daemon: listen")
	}
	return addressed{l}, nil
}

// secure returns the TLS settings of an endpoint, or nil without.
func (d *Daemon) secure(p setup.Pair) (*tls.Config, error) {
	if !p.Set() {
		return nil, nil
	}
	source := &certs.Source{Cert: p.Cert, Key: p.Key, CA: p.CA, Log: d.Log}
	if err := source.Open(); err != nil {
		return nil, err
	}
	return source.Server(), nil
}

// handler serves callers. Health checks do not count as requests: the balancer
// goes on asking an instance that stops.
func (d *Daemon) handler() http.Handler {
	r := mux.NewRouter().UseEncodedPath()
	admin.Health(r, d.ready)
	r.PathPrefix("/").Handler(d.parts.halt.Handler(d.parts.callers.Handler()))
	return r
}

func (d *Daemon) operators() http.Handler {
	s := &admin.Server{
		Viewer: d, Drainer: d.parts.halt, Config: d.parts.config,
		Meters: d.parts.meters, Log: d.Log, Ready: d.ready,
	}
	return s.Handler()
}
