// Package inmem is a network inside the process: a listener whose connections
// are pipes, so that servers and clients run in the virtual time of
// testing/synctest.
//
// It imports the standard library only. Tests use it.
package inmem

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// Listener accepts the connections that Dial makes.
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

// Close refuses connections from now on.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr is a name without meaning.
func (l *Listener) Addr() net.Addr { return &net.IPAddr{IP: net.IPv4(127, 0, 0, 1)} }

// Dial connects to the listener; network and address are not looked at.
func (l *Listener) Dial(ctx context.Context, _, _ string) (net.Conn, error) {
	ours, theirs := net.Pipe()
	select {
	case l.conns <- theirs:
		return ours, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Client returns a client that connects to the listener.
func (l *Listener) Client() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: l.Dial}}
}
