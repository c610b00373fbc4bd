package engine

import (
	"context"
	"sync"

	"fulmarwick/internal/base/spec"
)

// Pool keeps one connection per engine. The zero value is ready.
type Pool struct {
	mu    sync.Mutex
	bases map[spec.UpstreamID]string
	conns map[spec.UpstreamID]*Conn
}

// Locate sets the base URL of an engine.
func (p *Pool) Locate(id spec.UpstreamID, base string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.bases == nil {
		p.bases = map[spec.UpstreamID]string{}
		p.conns = map[spec.UpstreamID]*Conn{}
	}
	p.bases[id] = base
}

// Open returns a stream on the engine, over a connection that lives.
func (p *Pool) Open(ctx context.Context, id spec.UpstreamID, req string, try uint32, from int) (*Stream, error) {
	c, err := p.conn(ctx, id)
	if err != nil {
		return nil, err
	}
	return c.Open(req, try, from), nil
}

// Close ends all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.Close()
	}
}

func (p *Pool) conn(ctx context.Context, id spec.UpstreamID) (*Conn, error) {
	p.mu.Lock()
	c, base := p.conns[id], p.bases[id]
	p.mu.Unlock()
	if c != nil && alive(c) {
		return c, nil
	}
	if base == "" {
		return nil, ErrRefused
	}
	fresh, err := Dial(ctx, base)
	if err != nil {
		return nil, err
	}
	return p.keep(id, fresh), nil
}

// keep stores fresh unless another goroutine dialled the engine meanwhile.
func (p *Pool) keep(id spec.UpstreamID, fresh *Conn) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.conns[id]; c != nil && alive(c) {
		fresh.Close()
		return c
	}
	p.conns[id] = fresh
	return fresh
}

func alive(c *Conn) bool {
	select {
	case <-c.closed:
		return false
	default:
		return true
	}
}
