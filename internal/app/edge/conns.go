package edge

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"fulmarwick/internal/base/site"
)

// conns bounds how long callers may take for the head of a request and leave a
// connection unused, as the configuration in force says. Without it a caller
// that stops in a head holds a connection for headerTime.
type conns struct {
	limits func() site.Limits
}

// connKey is where the context of a request has its connection.
type connKey struct{}

// bind has the server of an end keep to the limits.
func (c *conns) bind(e *end) {
	next := e.server.Handler
	e.at = &listener{Listener: e.at, conns: c}
	e.server.ConnState = func(n net.Conn, s http.ConnState) {
		if conn, ok := n.(*conn); ok {
			conn.state(s)
		}
	}
	e.server.ConnContext = func(ctx context.Context, n net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, n)
	}
	e.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(connKey{}).(*conn); ok {
			conn.headed()
		}
		next.ServeHTTP(w, r)
	})
}

type listener struct {
	net.Listener
	conns *conns
}

// Accept returns a connection that keeps to the limits.
func (l *listener) Accept() (net.Conn, error) {
	n, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: n, conns: l.conns, waits: true}, nil
}

// conn is a connection of a caller.
type conn struct {
	net.Conn
	conns *conns

	mu sync.Mutex
	// waits is set while no byte of the next head has come.
	waits bool
	timer *time.Timer
}

// Read notes the first byte of a head.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.waits {
			c.waits = false
			c.close(within(c.conns.limits().Wait, headerTime))
		}
	}
	return n, err
}

// state is told of the end of an answer and of the connection.
func (c *conn) state(s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s {
	case http.StateIdle:
		c.waits = true
		c.close(max(idleTime, c.conns.limits().Idle))
	case http.StateClosed, http.StateHijacked:
		c.keep()
	}
}

// headed notes that a head has come whole.
func (c *conn) headed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waits = false
	c.keep()
}

// close ends the connection after a time; c.mu is held.
func (c *conn) close(after time.Duration) {
	c.keep()
	c.timer = time.AfterFunc(after, func() { _ = c.Close() })
}

// keep undoes close; c.mu is held.
func (c *conn) keep() {
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
}

// within is a configured time, most at the highest; most if there is none.
func within(d, most time.Duration) time.Duration {
	if d <= 0 {
		return most
	}
	return min(d, most)
}
