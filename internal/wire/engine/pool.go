package engine

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"

	"fulmarwick/internal/base/frame"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"github.com/gorilla/websocket"
	"golang.org/x/sync/singleflight"
)

// Pool keeps one connection per engine. The zero value is ready to use; set
// the exported fields before the first call.
type Pool struct {
	// TLS is the configuration for engines at https addresses; nil means the
	// root certificates of the system.
	TLS *tls.Config
	// HTTP is the client for calls that move KV caches; nil means the default
	// client.
	HTTP *http.Client
	// Dial opens the network connections; nil dials TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Post receives HopMeasured events, at most one a second per engine; nil
	// drops them.
	Post func(domain.Event)
	// Meters is the set in which the counters are registered; nil means a
	// private set.
	Meters *metrics.Set

	once    sync.Once
	meters  *meters
	dials   singleflight.Group
	mu      sync.Mutex
	engines map[spec.UpstreamID]*engineEntry
	closed  bool
}

// engineEntry holds the address, hop times and connection of one engine.
type engineEntry struct {
	base string
	hops *hopRecorder
	conn *Conn
}

func (p *Pool) init() {
	p.once.Do(func() {
		p.meters = newMeters(p.Meters)
		p.engines = map[spec.UpstreamID]*engineEntry{}
	})
}

// SetAddress sets the base URL of an engine. If the URL changed, the connection to
// the old one is closed.
func (p *Pool) SetAddress(id spec.UpstreamID, base string) {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.engines[id]
	if e == nil {
		p.engines[id] = &engineEntry{base: base, hops: newHopRecorder(id, p.Post)}
		return
	}
	if e.base != base {
		e.base = base
		e.closeConn()
	}
}

// Disconnect closes the connection of an engine that was declared dead. An engine
// that hangs keeps its connections open, and its requests would wait for their
// timeouts. An engine that is in fact up is reconnected to, and answers the
// steps that it has already run from memory.
func (p *Pool) Disconnect(id spec.UpstreamID) {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.engines[id]; e != nil {
		e.closeConn()
	}
}

// Remove closes the connection of an engine that was removed from the list of
// engines.
func (p *Pool) Remove(id spec.UpstreamID) {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.engines[id]; e != nil {
		e.closeConn()
		delete(p.engines, id)
	}
}

func (e *engineEntry) closeConn() {
	if e.conn != nil {
		e.conn.Close()
		e.conn = nil
	}
}

// Open returns a stream on the engine, over an open connection. It returns
// ErrRefused if there is none and none can be made.
func (p *Pool) Open(ctx context.Context, id spec.UpstreamID, req string, try uint32, from int) (frame.Stream, error) {
	p.init()
	c, err := p.conn(ctx, id)
	if err != nil {
		return nil, err
	}
	return c.Open(req, try, from), nil
}

// Close closes all connections.
func (p *Pool) Close() {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, e := range p.engines {
		e.closeConn()
	}
}

func (p *Pool) conn(ctx context.Context, id spec.UpstreamID) (*Conn, error) {
	if c := p.liveConn(id); c != nil {
		return c, nil
	}
	// Many requests lose a connection at once. They share one dial, which
	// continues if the request that started it is canceled.
	detached := context.WithoutCancel(ctx)
	dialed := p.dials.DoChan(string(id), func() (any, error) { return p.dial(detached, id) })
	select {
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "engine: connect")
	case r := <-dialed:
		c, ok := r.Val.(*Conn)
		if r.Err != nil || !ok {
			return nil, r.Err
		}
		return c, nil
	}
}

func (p *Pool) liveConn(id spec.UpstreamID) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.engines[id]
	if e == nil || e.conn == nil || !e.conn.alive() {
		return nil
	}
	return e.conn
}

func (p *Pool) dial(ctx context.Context, id spec.UpstreamID) (*Conn, error) {
	if c := p.liveConn(id); c != nil {
		return c, nil
	}
	base, h := p.lookup(id)
	if base == "" {
		return nil, ErrRefused
	}
	d := &websocket.Dialer{
		ReadBufferSize: bufferBytes, WriteBufferSize: bufferBytes,
		NetDialContext: p.Dial, TLSClientConfig: p.TLS,
	}
	p.meters.dials.Inc()
	c, err := connect(ctx, d, base, p.meters, h)
	if err != nil {
		p.meters.dialFailures.Inc()
		return nil, err
	}
	return p.store(id, base, c)
}

func (p *Pool) lookup(id spec.UpstreamID) (string, *hopRecorder) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.engines[id]
	if e == nil {
		return "", nil
	}
	return e.base, e.hops
}

// store keeps c unless the engine moved or was removed during the dial.
func (p *Pool) store(id spec.UpstreamID, base string, c *Conn) (*Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.engines[id]
	if p.closed || e == nil || e.base != base {
		c.Close()
		return nil, ErrRefused
	}
	e.conn = c
	return c, nil
}
