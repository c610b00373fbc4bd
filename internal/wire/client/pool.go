package client

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// maxIdlePerUpstream is how many idle connections are kept per upstream.
	maxIdlePerUpstream = 32
	// maxIdleTime is how long a connection may be idle. Upstreams close idle
	// connections after a time that most of them announce; this is below the shortest
	// such time seen.
	maxIdleTime = 4 * time.Second
)

// Pool keeps idle connections to upstreams for reuse. Set the exported fields before use.
type Pool struct {
	// DialTimeout limits the time for opening a connection.
	DialTimeout time.Duration
	// Dial opens a connection; nil means net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// OnDial is called before each new connection is opened; it may be nil.
	OnDial func()
	// OnDialed is called with the outcome of each attempt to open a connection that was not
	// given up; it may be nil.
	OnDialed func(address string, err error)

	mu   sync.Mutex
	idle map[string][]*Conn
}

// Get returns a connection to address: an idle connection that is still open, or a new
// one. With forceNew the connection is always new: a request that may run at most once
// must not be sent on an idle connection that the upstream is just closing.
func (p *Pool) Get(ctx context.Context, address string, forceNew bool) (*Conn, error) {
	for !forceNew {
		c := p.takeIdle(address)
		if c == nil {
			break
		}
		if time.Since(c.idleSince) < maxIdleTime && c.isOpenAndEmpty() {
			c.reused = true
			return c, nil
		}
		c.Close()
	}
	if p.OnDial != nil {
		p.OnDial()
	}
	c, err := p.dial(ctx, address)
	if p.OnDialed != nil && ctx.Err() == nil {
		p.OnDialed(address, err)
	}
	return c, err
}

// Open opens a connection to address and keeps it for reuse.
func (p *Pool) Open(ctx context.Context, address string) error {
	c, err := p.Get(ctx, address, true)
	if err != nil {
		return err
	}
	p.Put(c)
	return nil
}

// Probe opens a connection to address and closes it: it only shows whether one is accepted.
func (p *Pool) Probe(ctx context.Context, address string) error {
	c, err := p.Get(ctx, address, true)
	if err == nil {
		c.Close()
	}
	return err
}

func (p *Pool) takeIdle(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	p.idle[address] = conns[:len(conns)-1]
	return c
}

// Release returns a connection to the pool after the response was read to its end. It
// closes the connection instead if it ends with the response.
func (p *Pool) Release(c *Conn, resp *http.Response) {
	if closesConn(resp) {
		c.Close()
		return
	}
	p.Put(c)
}

// Put returns a connection to the pool after the response was read to its end.
func (p *Pool) Put(c *Conn) {
	c.SetReadDeadline(time.Time{})
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[string][]*Conn{}
	}
	conns := p.idle[c.Address]
	if len(conns) >= maxIdlePerUpstream || c.reader.Buffered() > 0 {
		c.Close()
		return
	}
	p.idle[c.Address] = append(conns, c)
}

// CloseUnused closes idle connections to addresses that are not in keep, and connections
// that have been idle for maxIdleTime.
func (p *Pool) CloseUnused(keep map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if keep[address] && time.Since(c.idleSince) < maxIdleTime {
				kept = append(kept, c)
				continue
			}
			c.Close()
		}
		clear(conns[len(kept):])
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}
