// Package inmem is an in-memory network. Its connections are pipes, so that servers
// and clients can run in the virtual time of testing/synctest.
//
// It imports the standard library only. Tests use it.
package inmem

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// Listener accepts the connections that its Dial method makes.
type Listener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// Listen returns an open listener.
func Listen() *Listener {
	return &Listener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

// Accept returns the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close closes the listener. Later calls of Accept and Dial fail.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns a placeholder address.
func (l *Listener) Addr() net.Addr { return &net.IPAddr{IP: net.IPv4(127, 0, 0, 1)} }

// Dial connects to the listener. It ignores network and address.
func (l *Listener) Dial(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	return l.connect(ctx, client, server)
}

// connect passes the server's side of a pipe to Accept and returns the client's side.
func (l *Listener) connect(ctx context.Context, client, server net.Conn) (net.Conn, error) {
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Client returns an HTTP client whose connections all go to the listener.
func (l *Listener) Client() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: l.Dial}}
}
