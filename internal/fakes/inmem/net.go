package inmem

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// Net is an in-memory network of listeners, each with an address. The zero value is
// ready to use.
type Net struct {
	mu    sync.Mutex
	hosts map[string]*host
	// cuts holds the cuts of clients, dialed their open connections.
	cuts   map[string]cut
	dialed map[string]map[*clientConn]bool
}

// host is the listener at one address and the connections made to it.
type host struct {
	listener *Listener
	conns    []net.Conn
	// pausedUntil is when it accepts connections again after Pause.
	pausedUntil time.Time
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
func (n *Net) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	client, server := net.Pipe()
	return n.connect(ctx, address, client, server)
}

// DialFrom returns a function like Dial for one client. The server's side of its
// connections has the client's name as its remote address.
func (n *Net) DialFrom(name string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		if err := n.checkCut(ctx, name, address); err != nil {
			return nil, err
		}
		pipe, server := net.Pipe()
		client := &clientConn{Conn: pipe, address: address, onClose: func() {}}
		c, err := n.connect(ctx, address, client, namedConn{Conn: server, name: name, client: client})
		if err == nil {
			n.remember(name, client)
		}
		return c, err
	}
}

// namedConn is the server's side of a connection of a client with a name.
type namedConn struct {
	net.Conn
	name   string
	client *clientConn
}

// SetLinger makes Close reset the connection if seconds is zero, like that of net.TCPConn.
func (c namedConn) SetLinger(seconds int) error {
	c.client.setReset(seconds == 0)
	return nil
}

// RemoteAddr returns the name of the client.
func (c namedConn) RemoteAddr() net.Addr { return clientName(c.name) }

// clientName is the name of a client as an address.
type clientName string

// Network returns a placeholder, like that of a pipe.
func (clientName) Network() string { return "pipe" }

// String returns the name.
func (n clientName) String() string { return string(n) }

// connect connects a pipe to an address.
func (n *Net) connect(ctx context.Context, address string, client, server net.Conn) (net.Conn, error) {
	n.mu.Lock()
	h := n.hosts[address]
	n.mu.Unlock()
	if h == nil {
		return nil, errors.Wrap(syscall.ECONNREFUSED, address)
	}
	if err := n.awaitPause(ctx, h); err != nil {
		return nil, err
	}
	c, err := h.listener.connect(ctx, client, server)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	h.conns = append(h.conns, c)
	return c, nil
}

// Pause makes an address answer no attempts to connect for d. They are accepted after that.
func (n *Net) Pause(address string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if h := n.hosts[address]; h != nil {
		h.pausedUntil = time.Now().Add(d)
	}
}

// awaitPause waits while a host is paused. It returns an error if ctx ends first.
func (n *Net) awaitPause(ctx context.Context, h *host) error {
	n.mu.Lock()
	left := time.Until(h.pausedUntil)
	n.mu.Unlock()
	if left <= 0 {
		return nil
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(left):
		return nil
	}
}

// Reset closes all connections made to an address.
func (n *Net) Reset(address string) {
	n.mu.Lock()
	h := n.hosts[address]
	if h == nil {
		n.mu.Unlock()
		return
	}
	conns := h.conns
	h.conns = nil
	n.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
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
