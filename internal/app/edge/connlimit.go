package edge

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"fulmarwick/internal/base/site"
)

// connLimiter applies the timeouts of the configuration in force to the connections of
// callers: for reading the header of a request, and for idle connections. Without it a
// caller that stops in the middle of a header holds a connection for headerTimeout.
type connLimiter struct {
	limits func() site.Limits
}

// connKey is the context key of a request's connection.
type connKey struct{}

// attach makes the listener and the server of an endpoint apply the timeouts.
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

// limitedListener wraps accepted connections in limitedConn.
type limitedListener struct {
	net.Listener
	limiter *connLimiter
}

// Accept waits for the next connection and returns it with timeouts applied.
func (l *limitedListener) Accept() (net.Conn, error) {
	n, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &limitedConn{Conn: n, limiter: l.limiter, awaitingHead: true}, nil
}

// limitedConn is a connection of a caller that is closed when a timeout expires.
type limitedConn struct {
	net.Conn
	limiter *connLimiter

	mu sync.Mutex
	// awaitingHead is set while no byte of the next request header was received.
	awaitingHead bool
	// timer closes the connection; nil while no timeout applies.
	timer *time.Timer
}

// Read reads from the connection. The first byte of a request header starts the header
// timeout.
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

// onStateChange starts the idle timeout after an answer, and cancels it when the connection
// ends.
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

// onHeadRead cancels the timeout once a request header was read whole.
func (c *limitedConn) onHeadRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitingHead = false
	c.cancelClose()
}

// closeAfter closes the connection after a time, instead of any earlier timeout; c.mu is
// held.
func (c *limitedConn) closeAfter(after time.Duration) {
	c.cancelClose()
	c.timer = time.AfterFunc(after, func() { _ = c.Close() })
}

// cancelClose cancels closeAfter; c.mu is held.
func (c *limitedConn) cancelClose() {
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
}

// capTimeout returns a configured timeout, limited to maxTimeout, or maxTimeout if none is
// configured.
func capTimeout(d, maxTimeout time.Duration) time.Duration {
	if d <= 0 {
		return maxTimeout
	}
	return min(d, maxTimeout)
}
