package edge

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"fulmarwick/internal/base/site"
)

// connLimiter bounds how long callers may take for the head of a request and leave a
// connection unused, as the configuration in force says. Without it a caller
// that stops in a head holds a connection for headerTime.
type connLimiter struct {
	limits func() site.Limits
}

// connKey is where the context of a request has its connection.
type connKey struct{}

// attach has the server of an end keep to the limits.
func (c *connLimiter) attach(e *endpoint) {
	next := e.server.Handler
	e.listener = &limitedListener{Listener: e.listener, limiter: c}
	e.server.ConnState = func(n net.Conn, s http.ConnState) {
		if conn, ok := n.(*limitedConn); ok {
			conn.onStateChange(s)
		}
	}
	e.server.ConnContext = func(ctx context.Context, n net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, n)
	}
	e.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(connKey{}).(*limitedConn); ok {
			conn.onHeadRead()
		}
		next.ServeHTTP(w, r)
	})
}

type limitedListener struct {
	net.Listener
	limiter *connLimiter
}

// Accept returns a connection that keeps to the limits.
func (l *limitedListener) Accept() (net.Conn, error) {
	n, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &limitedConn{Conn: n, limiter: l.limiter, awaitingHead: true}, nil
}

// limitedConn is a connection of a caller.
type limitedConn struct {
	net.Conn
	limiter *connLimiter

	mu sync.Mutex
	// awaitingHead is set while no byte of the next head has come.
	awaitingHead bool
	timer        *time.Timer
}

// Read notes the first byte of a head.
func (c *limitedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.awaitingHead {
			c.awaitingHead = false
			c.closeAfter(capTimeout(c.limiter.limits().HeaderTimeout, headerTimeout))
		}
	}
	return n, err
}

// onStateChange is told of the end of an answer and of the connection.
func (c *limitedConn) onStateChange(s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s {
	case http.StateIdle:
		c.awaitingHead = true
		c.closeAfter(max(minIdleTimeout, c.limiter.limits().IdleTimeout))
	case http.StateClosed, http.StateHijacked:
		c.cancelClose()
	}
}

// onHeadRead notes that a head has come whole.
func (c *limitedConn) onHeadRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitingHead = false
	c.cancelClose()
}

// closeAfter ends the connection after a time; c.mu is held.
func (c *limitedConn) closeAfter(after time.Duration) {
	c.cancelClose()
	c.timer = time.AfterFunc(after, func() { _ = c.Close() })
}

// cancelClose undoes close; c.mu is held.
func (c *limitedConn) cancelClose() {
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
}

// capTimeout is a configured time, most at the highest; most if there is none.
func capTimeout(d, most time.Duration) time.Duration {
	if d <= 0 {
		return most
	}
	return min(d, most)
}
