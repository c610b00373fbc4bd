package inmem

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// CutMode is what happens to connections between a client and the addresses that it is cut
// from.
type CutMode int

//go:generate stringer -type=CutMode -linecomment -output=cutmode_string.go

// Modes of cuts.
const (
	// CutRefuse refuses new connections. Open ones live on.
	CutRefuse CutMode = iota // refuse
	// CutReset refuses new connections and closes open ones.
	CutReset // reset
	// CutHang leaves new connections without an answer, and open ones silent for good.
	CutHang // hang
)

// ConnectTimeout is how long an attempt to connect takes that gets no answer.
const ConnectTimeout = 10 * time.Second

// cut keeps a client from addresses.
type cut struct {
	mode    CutMode
	applies func(address string) bool
}

// Cut cuts a client that dials by DialFrom from the addresses for which applies returns true,
// until Heal.
func (n *Net) Cut(client string, mode CutMode, applies func(address string) bool) {
	n.mu.Lock()
	if n.cuts == nil {
		n.cuts = map[string]cut{}
	}
	n.cuts[client] = cut{mode: mode, applies: applies}
	var affected []*clientConn
	for c := range n.dialed[client] {
		if applies(c.address) {
			affected = append(affected, c)
		}
	}
	n.mu.Unlock()
	for _, c := range affected {
		switch mode {
		case CutReset:
			_ = c.Close()
		case CutHang:
			c.silence()
		}
	}
}

// Heal ends the cut of a client.
func (n *Net) Heal(client string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cuts, client)
}

// checkCut returns why a client can't connect to an address, or nil.
func (n *Net) checkCut(ctx context.Context, client, address string) error {
	n.mu.Lock()
	c, ok := n.cuts[client]
	n.mu.Unlock()
	if !ok || !c.applies(address) {
		return nil
	}
	if c.mode == CutHang {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(ConnectTimeout):
			return errors.Wrap(syscall.ETIMEDOUT, address)
		}
	}
	return errors.Wrap(syscall.ECONNREFUSED, address)
}

// remember keeps a connection of a client, so that a cut affects it.
func (n *Net) remember(client string, c *clientConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.dialed == nil {
		n.dialed = map[string]map[*clientConn]bool{}
	}
	if n.dialed[client] == nil {
		n.dialed[client] = map[*clientConn]bool{}
	}
	n.dialed[client][c] = true
	c.onClose = func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.dialed[client], c)
	}
}

// clientConn is the client's side of a connection. A silent one delivers nothing in either
// direction.
type clientConn struct {
	net.Conn
	address string
	onClose func()

	mu     sync.Mutex
	silent bool
	// reset means that the server's close is a reset.
	reset bool
}

// Close closes the connection.
func (c *clientConn) Close() error {
	c.onClose()
	return c.Conn.Close()
}

func (c *clientConn) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = true
}

func (c *clientConn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

func (c *clientConn) setReset(reset bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reset = reset
}

func (c *clientConn) isReset() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reset
}

// Read reads what the server sent, unless the connection is silent.
func (c *clientConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if errors.Is(err, io.EOF) && c.isReset() {
			err = syscall.ECONNRESET
		}
		if err != nil || !c.isSilent() {
			return n, err
		}
	}
}

// Write writes to the server, unless the connection is silent.
func (c *clientConn) Write(b []byte) (int, error) {
	if c.isSilent() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}
