package guard

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// connBytes is what a connection takes without a request: the stacks of its goroutines, the buffers of
	// net/http and bytes that were received and not read.
	connBytes = 32 << 10
	// lineBytes is what a header line takes besides its text.
	lineBytes = 256
	// minLineBytes is the size of the shortest header line: a name, a colon and the end of the line.
	minLineBytes = 3
	// readBufferBytes limits the bytes of a connection that were received and not read.
	readBufferBytes = 16 << 10
	// bufferBytes is the size of the buffers of net/http: so much of a body or of the next request may be
	// read together with a head.
	bufferBytes = 4 << 10
	// pieceBytes is how much of an answer a caller must take within the write timeout.
	pieceBytes = 64 << 10
	// lingerTime is how long a connection stays open after a refusal while the caller still sends: closed
	// with unread bytes, it would be reset and the refusal lost.
	lingerTime = 500 * time.Millisecond
)

// headTooLarge is the answer to a head over the limit.
const headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: 22\r\nConnection: close\r\n\r\nheaders are too large\n"

// listener wraps accepted connections.
type listener struct {
	net.Listener
	guard *Guard
}

// Accept returns the next connection that there is room for. Others are closed at once.
func (l *listener) Accept() (net.Conn, error) {
	for {
		n, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if tcp, ok := n.(*net.TCPConn); ok && !l.guard.Upgrades {
			// Without it the system keeps its default.
			_ = tcp.SetReadBuffer(readBufferBytes)
		}
		c := &conn{Conn: n, guard: l.guard}
		if l.guard.Account != nil {
			if c.claim = l.guard.Account.OpenConn(connBytes, func() { _ = n.Close() }); c.claim == nil {
				_ = n.Close()
				continue
			}
		}
		c.claim.StartWait(WaitHead)
		return c, nil
	}
}

// conn is a connection of a caller.
type conn struct {
	net.Conn
	guard *Guard
	claim *Claim
	// upgraded means that the connection does not belong to the server any more.
	upgraded atomic.Bool

	mu sync.Mutex
	// reading is set while a head is read, from its first byte on, and running while its request is served.
	reading, running bool
	// http2 means that requests share the connection.
	http2 bool
	// headBytes is how much of the head was read. tailCost is what the last bytes that were read take if
	// they belong to the next head.
	headBytes int
	tailCost  int64
	// timer closes the connection; nil while no timeout applies.
	timer *time.Timer
}

// headCost returns what a part of a head takes in memory.
func headCost(part []byte) int64 {
	lines := min(bytes.Count(part, []byte{'\n'}), len(part)/minLineBytes)
	return int64(len(part) + lines*lineBytes)
}

// Read reads from the connection.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 || c.upgraded.Load() {
		return n, err
	}
	limits := c.guard.Limits()
	if tooLarge := c.received(p[:n], limits); tooLarge {
		c.refuseHead()
		return 0, io.EOF
	}
	return n, err
}

// received counts bytes that were read. It reports whether they belong to a head that is too large.
func (c *conn) received(part []byte, limits Limits) (tooLarge bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tailCost = headCost(part[max(0, len(part)-bufferBytes):])
	if c.running || c.http2 {
		return false
	}
	if !c.reading {
		c.reading, c.headBytes = true, 0
		c.closeAfter(limits.HeadTimeout)
		c.claim.StartWait(WaitHead)
	}
	c.headBytes += len(part)
	c.claim.Received(len(part))
	if limits.HeadBytes > 0 && c.headBytes > limits.HeadBytes+2*bufferBytes {
		return true
	}
	if !c.claim.Grow(headCost(part)) {
		// The request is not read, so that its caller may send it again.
		_ = c.Close()
	}
	return false
}

// refuseHead refuses a request with a head that is too large.
func (c *conn) refuseHead() {
	deadline := time.Now().Add(lingerTime)
	_ = c.SetDeadline(deadline)
	if _, err := io.WriteString(c.Conn, headTooLarge); err != nil {
		return
	}
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, c.Conn)
}

// CloseWrite closes the connection for writing. net/http does so before it closes a connection on which it
// has not read all.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return http.ErrNotSupported
}

// Write writes to the connection. The caller must take each piece within the write timeout.
func (c *conn) Write(p []byte) (n int, err error) {
	if c.upgraded.Load() {
		return c.Conn.Write(p)
	}
	timeout := c.guard.Limits().WriteTimeout
	for {
		if timeout > 0 {
			_ = c.SetWriteDeadline(time.Now().Add(timeout))
		}
		c.claim.StartWrite()
		m, err := c.Conn.Write(p[n:min(len(p), n+pieceBytes)])
		c.claim.EndWrite()
		n += m
		if err != nil || n == len(p) {
			return n, err
		}
	}
}

// startRequest ends the wait for a head.
func (c *conn) startRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading, c.running = false, true
	c.cancelClose()
	c.claim.StartWait(WaitNone)
	c.claim.Hold(connBytes)
}

// setState follows the states that net/http tells.
func (c *conn) setState(s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s {
	case http.StateActive:
		if c.http2 {
			c.cancelClose()
			c.claim.StartWait(WaitNone)
		}
	case http.StateIdle:
		// HTTP/1 connections are idle only after a request.
		c.http2 = c.http2 || !c.running
		c.reading, c.running = false, false
		c.claim.Hold(connBytes + c.tailCost)
		c.claim.StartWait(WaitIdle)
		c.closeAfter(c.guard.Limits().IdleTimeout)
	case http.StateClosed, http.StateHijacked:
		c.upgraded.Store(s == http.StateHijacked)
		c.cancelClose()
		c.claim.Close()
	}
}

// closeAfter closes the connection after a time, instead of any earlier timeout; zero means never. c.mu is
// held.
func (c *conn) closeAfter(after time.Duration) {
	c.cancelClose()
	if after > 0 {
		c.timer = time.AfterFunc(after, func() { _ = c.Close() })
	}
}

// cancelClose cancels closeAfter; c.mu is held.
func (c *conn) cancelClose() {
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
}
