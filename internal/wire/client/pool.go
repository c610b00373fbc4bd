package client

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// maxIdlePerUpstream is how many unused connections are kept for an upstream.
	maxIdlePerUpstream = 32
	// maxIdleTime is how long a connection may be unused. Upstreams close theirs
	// after a time that most of them tell; this stays below the shortest seen.
	maxIdleTime = 4 * time.Second
)

// Pool keeps connections to upstreams. Set the exported fields before use.
type Pool struct {
	// DialTimeout bounds the time of opening a connection.
	DialTimeout time.Duration
	// Dial opens a connection; nil uses the network.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// OnDial is called for each new connection; nil if no one counts.
	OnDial func()

	mu   sync.Mutex
	idle map[string][]*Conn
}

// Get returns a connection to address: an unused one that is still open, or a
// new one. With fresh it is always new: a request that may run once at most
// must not meet a close that is already on its way.
func (p *Pool) Get(ctx context.Context, address string, fresh bool) (*Conn, error) {
	for !fresh {
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
	return p.dial(ctx, address)
}

func (p *Pool) takeIdle(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := p.idle[address]
	if len(all) == 0 {
		return nil
	}
	c := all[len(all)-1]
	p.idle[address] = all[:len(all)-1]
	return c
}

// Release gives a connection back whose answer was read to its end; one that ends
// with the answer is closed.
func (p *Pool) Release(c *Conn, resp *http.Response) {
	if closesConn(resp) {
		c.Close()
		return
	}
	p.Put(c)
}

// Put gives a connection back whose answer was read to its end.
func (p *Pool) Put(c *Conn) {
	c.SetReadDeadline(time.Time{})
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[string][]*Conn{}
	}
	all := p.idle[c.Address]
	if len(all) >= maxIdlePerUpstream || c.reader.Buffered() > 0 {
		c.Close()
		return
	}
	p.idle[c.Address] = append(all, c)
}

// CloseUnused closes the unused connections of addresses that are not kept, and those
// that were unused for long.
func (p *Pool) CloseUnused(keep map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, all := range p.idle {
		rest := all[:0]
		for _, c := range all {
			if keep[address] && time.Since(c.idleSince) < maxIdleTime {
				rest = append(rest, c)
				continue
			}
			c.Close()
		}
		clear(all[len(rest):])
		if len(rest) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = rest
	}
}
