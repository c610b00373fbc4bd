package peer

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/node"
	"fulmarwick/internal/wire/bound"

	"github.com/go-faster/errors"
	"github.com/gorilla/websocket"
	"go.uber.org/zap"
)

const (
	dialTimeout = 3 * time.Second
	backoffMin  = 100 * time.Millisecond
	backoffMax  = 5 * time.Second
	// maxPending is the number of messages that wait while a connection is
	// dialled.
	maxPending = 16
)

// link holds the connection to one other instance, if there is one, and the
// state of dialling it.
type link struct {
	conn    *conn
	dialing chan struct{}
	queued  [][]byte
	backoff time.Duration
	retryAt time.Time
}

// send sends a message of the logic to another instance and dials it if there
// is no connection. While dialling keeps failing, messages are dropped.
func (h *Hub) send(c node.Send) {
	data, err := encode(&frame{Kind: kindGossip, Data: c.Data})
	if err != nil {
		return
	}
	h.mu.Lock()
	l := h.link(c.To)
	if l.conn != nil {
		conn := l.conn
		h.mu.Unlock()
		conn.tryEnqueue(data)
		return
	}
	if c.URL == "" || l.dialing == nil && time.Now().Before(l.retryAt) {
		h.mu.Unlock()
		h.meter.dropped.Inc()
		return
	}
	if len(l.queued) < maxPending {
		l.queued = append(l.queued, data)
	}
	start := l.dialing == nil
	if start {
		l.dialing = make(chan struct{})
	}
	h.mu.Unlock()
	if start {
		h.startDial(c.To, c.URL)
	}
}

// link returns the link to id and creates it if needed; h.mu must be held.
func (h *Hub) link(id spec.InstanceID) *link {
	l := h.links[id]
	if l == nil {
		l = &link{}
		h.links[id] = l
	}
	return l
}

// startDial dials in the background. The caller must have marked the link as
// dialling.
func (h *Hub) startDial(id spec.InstanceID, base string) {
	ok := h.start(func() {
		ws, err := h.dial(h.ctx, id, base)
		h.finishDial(id, ws, err)
	})
	if !ok {
		h.finishDial(id, nil, ErrRefused)
	}
}

// connect returns a connection to id and dials if there is none. An empty base means the URL
// of the member.
func (h *Hub) connect(ctx context.Context, id spec.InstanceID, base string) (*conn, error) {
	h.mu.Lock()
	if base == "" {
		base = h.urls[id]
	}
	l := h.link(id)
	if l.conn == nil && base == "" {
		h.mu.Unlock()
		return nil, errors.Wrapf(ErrRefused, "unknown instance %s", id)
	}
	if l.conn != nil {
		defer h.mu.Unlock()
		return l.conn, nil
	}
	start := l.dialing == nil
	if start {
		l.dialing = make(chan struct{})
	}
	done := l.dialing
	h.mu.Unlock()
	if start {
		h.startDial(id, base)
	}
	select {
	case <-done:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if l.conn == nil {
		return nil, errors.Wrapf(ErrRefused, "no connection to %s", id)
	}
	return l.conn, nil
}

// finishDial handles the result of a dial attempt. If it succeeded, it sends
// the queued messages and serves the connection.
func (h *Hub) finishDial(id spec.InstanceID, ws *websocket.Conn, err error) {
	h.meter.dials.Inc()
	h.mu.Lock()
	l := h.link(id)
	queued := l.queued
	done := l.dialing
	l.queued, l.dialing = nil, nil
	if err != nil {
		l.backoff = min(max(2*l.backoff, backoffMin), backoffMax)
		l.retryAt = time.Now().Add(l.backoff/2 + rand.N(l.backoff))
		h.mu.Unlock()
		close(done)
		h.meter.failed.Inc()
		h.Log.Debug("peer: dial failed", zap.String("peer", string(id)), zap.Error(err))
		h.Post(node.ConnectionLost{Peer: id})
		return
	}
	l.backoff, l.retryAt = 0, time.Time{}
	h.mu.Unlock()
	c := newConn(h, id, ws, true)
	h.register(c)
	close(done)
	for _, data := range queued {
		c.tryEnqueue(data)
	}
	h.serveConn(c)
}

// register makes c the connection in use. If both sides dialled at the same
// time, both keep the connection that was dialled by the instance with the
// lower ID.
func (h *Hub) register(c *conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.conns[c] = struct{}{}
	l := h.link(c.id)
	if l.conn == nil || c.dialed == (h.Self.ID < c.id) {
		l.conn = c
	}
}

// serveConn serves a connection and removes it once it is closed.
func (h *Hub) serveConn(c *conn) {
	stop := context.AfterFunc(h.ctx, c.closeNormally)
	defer stop()
	c.run()
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.conns, c)
	l := h.link(c.id)
	if l.conn != c {
		return
	}
	l.conn = nil
	for other := range h.conns {
		if other.id == c.id {
			l.conn = other
		}
	}
}

// dial connects to an instance and verifies its identity and protocol version.
func (h *Hub) dial(ctx context.Context, id spec.InstanceID, base string) (*websocket.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	address, err := url.Parse(base)
	if err != nil {
		return nil, errors.Wrap(ErrRefused, err.Error())
	}
	address.Scheme = "ws"
	var limited *bound.Conn
	dial := h.dialer()
	d := websocket.Dialer{Subprotocols: protocols(h.Low, h.High), NetDialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		// The address may belong to another server by now, whose response has no end.
		limited = &bound.Conn{Conn: conn}
		limited.Limit(bound.MaxHeadBytes)
		return limited, nil
	}}
	if h.client != nil {
		address.Scheme = "wss"
		d.TLSClientConfig = h.client.Clone()
		// The certificate must match the instance ID and not the address,
		// because the address may meanwhile belong to another instance.
		d.TLSClientConfig.ServerName = string(id)
		// A server that shares the TLS config adds HTTP/2, which does not
		// support the WebSocket upgrade.
		d.TLSClientConfig.NextProtos = []string{"http/1.1"}
	}
	address.Path = Path
	ws, resp, err := d.DialContext(ctx, address.String(), http.Header{nameHeader: {string(h.Self.ID)}})
	if resp != nil && resp.Body != nil {
		_ = resp.Body.Close()
	}
	if err != nil {
		return nil, errors.Wrap(ErrRefused, err.Error())
	}
	if v := versionOf(ws.Subprotocol()); v < h.Low || v > h.High {
		_ = ws.Close()
		return nil, errors.Wrapf(ErrRefused, "unsupported protocol %q", ws.Subprotocol())
	}
	limited.Unlimit()
	return ws, nil
}

func (h *Hub) dialer() func(ctx context.Context, network, address string) (net.Conn, error) {
	if h.Dial != nil {
		return h.Dial
	}
	return (&net.Dialer{}).DialContext
}
