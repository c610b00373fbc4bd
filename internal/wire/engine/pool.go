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

// Pool keeps one connection per engine. The zero value is ready; set the
// exported fields before use.
type Pool struct {
	// TLS is for engines at https addresses; nil takes the system's roots.
	TLS *tls.Config
	// HTTP makes the calls that move KV caches; nil takes the default client.
	HTTP *http.Client
	// Dial makes the connections below; nil dials TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Post takes HopTimed events, at most one a second per engine; nil drops
	// them.
	Post func(domain.Event)
	// Meters takes the counters; nil makes a private set.
	Meters *metrics.Set

	once    sync.Once
	meters  *meters
	dials   singleflight.Group
	mu      sync.Mutex
	engines map[spec.UpstreamID]*engineEntry
	closed  bool
}

// engineEntry is what the pool keeps of one engine.
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

// Locate sets the base URL of an engine. A connection to another address
// under the same name is closed.
func (p *Pool) Locate(id spec.UpstreamID, base string) {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	k := p.engines[id]
	if k == nil {
		p.engines[id] = &engineEntry{base: base, hops: newHopRecorder(id, p.Post)}
		return
	}
	if k.base != base {
		k.base = base
		k.closeConn()
	}
}

// Break closes the connection of an engine that counts as down. One that hangs
// keeps its connections open, and its requests would wait out their patience;
// one that does not is reached again, and answers what it did from memory.
func (p *Pool) Break(id spec.UpstreamID) {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	if k := p.engines[id]; k != nil {
		k.closeConn()
	}
}

// Forget closes the connection of an engine that left the list.
func (p *Pool) Forget(id spec.UpstreamID) {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	if k := p.engines[id]; k != nil {
		k.closeConn()
		delete(p.engines, id)
	}
}

func (k *engineEntry) closeConn() {
	if k.conn != nil {
		k.conn.Close()
		k.conn = nil
	}
}

// Open returns a stream on the engine, over a connection that lives. It
// returns ErrRefused if there is none and none can be made.
func (p *Pool) Open(ctx context.Context, id spec.UpstreamID, req string, try uint32, from int) (frame.Stream, error) {
	p.init()
	c, err := p.conn(ctx, id)
	if err != nil {
		return nil, err
	}
	return c.Open(req, try, from), nil
}

// Close ends all connections.
func (p *Pool) Close() {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, k := range p.engines {
		k.closeConn()
	}
}

func (p *Pool) conn(ctx context.Context, id spec.UpstreamID) (*Conn, error) {
	if c := p.liveConn(id); c != nil {
		return c, nil
	}
	// Many requests lose a connection at once; they share one dial, which
	// outlives the one that began it.
	detached := context.WithoutCancel(ctx)
	made := p.dials.DoChan(string(id), func() (any, error) { return p.dial(detached, id) })
	select {
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "engine: connect")
	case r := <-made:
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
	k := p.engines[id]
	if k == nil || k.conn == nil || !k.conn.alive() {
		return nil
	}
	return k.conn
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
	k := p.engines[id]
	if k == nil {
		return "", nil
	}
	return k.base, k.hops
}

// store stores c unless the engine moved or left while it was dialled.
func (p *Pool) store(id spec.UpstreamID, base string, c *Conn) (*Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := p.engines[id]
	if p.closed || k == nil || k.base != base {
		c.Close()
		return nil, ErrRefused
	}
	k.conn = c
	return c, nil
}
