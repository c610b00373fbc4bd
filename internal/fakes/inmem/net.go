package inmem

import (
	"context"
	"net"
	"sync"
	"syscall"

	"github.com/go-faster/errors"
)

// Net is an in-memory network of listeners, each with an address. The zero value is
// ready to use.
type Net struct {
	mu    sync.Mutex
	hosts map[string]*host
}

// host is the listener at one address and the connections made to it.
type host struct {
	listener *Listener
	conns    []net.Conn
}

// Listen opens a listener at an address. It fails if the address is in use.
func (n *Net) Listen(_ context.Context, address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.hosts == nil {
		n.hosts = map[string]*host{}
	}
	if n.hosts[address] != nil {
		return nil, errors.Wrap(syscall.EADDRINUSE, address)
	}
	h := &host{listener: Listen()}
	n.hosts[address] = h
	return h.listener, nil
}

// Dial connects to an address. It is refused if nothing listens there.
func (n *Net) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	n.mu.Lock()
	h := n.hosts[address]
	n.mu.Unlock()
	if h == nil {
		return nil, errors.Wrap(syscall.ECONNREFUSED, address)
	}
	c, err := h.listener.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	h.conns = append(h.conns, c)
	return c, nil
}

// Kill closes the listener at an address and all connections made to it, as happens
// when a process dies.
func (n *Net) Kill(address string) {
	n.mu.Lock()
	h := n.hosts[address]
	delete(n.hosts, address)
	n.mu.Unlock()
	if h == nil {
		return
	}
	_ = h.listener.Close()
	for _, c := range h.conns {
		_ = c.Close()
	}
}
