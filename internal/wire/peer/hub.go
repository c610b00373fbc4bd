// Package peer connects instances: one WebSocket with CBOR frames per pair in
// use, mutually authenticated. It drives the fleet logic, forwards requests
// over one hop and hands out configuration snapshots.
//
// It imports base, fleet/node and the WebSocket library. The daemon builds one
// Hub, mounts its Handler and runs it.
package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"fulmarwick/internal/base/news"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/node"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

// Errors of this package.
var (
	// ErrFrame means that bytes are not a frame, or one out of range.
	ErrFrame = errors.New("peer: bad frame")
	// ErrRefused means that the other instance took nothing: no connection
	// came about, or it refused before it ran anything.
	ErrRefused = errors.New("peer: refused")
	// ErrBroken means that the connection broke midway; what was asked for may
	// have run in part.
	ErrBroken = errors.New("peer: connection broken")
)

const (
	// MaxTickInterval is the longest time between two ticks of the logic.
	MaxTickInterval = 50 * time.Millisecond
	// defaultIdle is how long a connection without frames is kept.
	defaultIdle = time.Minute
	// maxEvents bounds the events that wait for a tick. Beyond it messages are
	// dropped, which the protocol expects of a network anyway.
	maxEvents = 8192
	// closeDelay is how long the connection of a former member is kept.
	closeDelay = 2 * time.Second
	// maxConns bounds the connections of one instance, far above the few dozen
	// that the fleet logic uses.
	maxConns = 1024
)

// Logic is the deterministic part that the Hub drives.
type Logic interface {
	Tick(now time.Duration, events []node.Event) []node.Command
}

// Server runs requests that other instances forward. It calls sink for each
// token in order. A Fault in the End is the final answer; an error is told as
// an internal fault.
type Server interface {
	ServeForwarded(ctx context.Context, from spec.InstanceID, job Job, sink func(Token) error) (End, error)
}

// Snapshots gives the configuration in force, encoded.
type Snapshots interface {
	Snapshot() []byte
}

// Hub is one instance's connections to the others. Set the exported fields
// before Run.
type Hub struct {
	// Self is the own instance, with the URL at which others reach Handler.
	Self  node.Peer
	Logic Logic
	// TLS has the own certificate and the authority of the peers'; its DNS
	// names must contain the instance's ID. Nil speaks plainly and trusts the
	// name that a peer claims, which suits loopback only.
	TLS *tls.Config
	// Low and High are the protocol versions spoken; zero is the current one.
	Low, High int
	// Serve and Config may be nil, then such requests are refused.
	Serve  Server
	Config Snapshots
	// On receives the commands of the logic other than Send, on the Hub's
	// goroutine: it must not block.
	On func(node.Command)
	// Dial connects to an address; nil uses the network.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Idle is how long an unused connection is kept; zero is a minute.
	Idle time.Duration
	// Silence is how long a connection may bring nothing before it is closed
	// and dialled anew. It suits logic that sends all the time: a connection
	// can go silent without a reset while new ones work. Zero waits for ever.
	Silence time.Duration
	Log     *zap.Logger
	// Meters receives the metrics; nil makes a private set.
	Meters *metrics.Set

	once   sync.Once
	wake   chan struct{}
	ctx    context.Context
	stop   context.CancelFunc
	group  sync.WaitGroup
	meter  meters
	client *tls.Config

	mu      sync.Mutex
	queue   []node.Event
	links   map[spec.InstanceID]*link
	conns   map[*conn]struct{}
	urls    map[spec.InstanceID]string
	stopped bool
}

func (h *Hub) init() {
	h.once.Do(func() {
		h.wake = make(chan struct{}, 1)
		h.ctx, h.stop = context.WithCancel(context.Background())
		h.links = map[spec.InstanceID]*link{}
		h.conns = map[*conn]struct{}{}
		h.urls = map[spec.InstanceID]string{}
		if h.High == 0 {
			h.Low, h.High = version, version
		}
		if h.Idle == 0 {
			h.Idle = defaultIdle
		}
		if h.Log == nil {
			h.Log = zap.NewNop()
		}
		// An http.Server changes the config that it is given.
		h.client = h.TLS.Clone()
		h.meter = newMeters(h.Meters)
	})
}

// Post queues an event for the logic and wakes it.
func (h *Hub) Post(ev node.Event) {
	h.init()
	h.mu.Lock()
	if len(h.queue) < maxEvents {
		h.queue = append(h.queue, ev)
	} else {
		h.meter.dropped.Inc()
	}
	h.mu.Unlock()
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// Publish spreads an item.
func (h *Hub) Say(item news.Item) { h.Post(node.Publish{Item: item}) }

// Run drives the logic until ctx ends, then closes all connections.
func (h *Hub) Run(ctx context.Context) error {
	h.init()
	start := time.Now()
	ticker := time.NewTicker(MaxTickInterval)
	defer ticker.Stop()
	defer h.shutdown()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-h.wake:
		case <-ticker.C:
		}
		h.tick(time.Since(start))
	}
}

func (h *Hub) tick(now time.Duration) {
	h.mu.Lock()
	events := h.queue
	h.queue = nil
	h.mu.Unlock()
	for _, c := range h.Logic.Tick(now, events) {
		h.handleCommand(c)
	}
	h.meter.fleet.update(h.Logic)
}

func (h *Hub) handleCommand(c node.Command) {
	switch c := c.(type) {
	case node.Send:
		h.send(c)
		return
	case node.Members:
		h.applyMembers(c)
	}
	if h.On != nil {
		h.On(c)
	}
}

// applyMembers notes where the others are, for those who forward, and closes the
// connections of those that are no members any more. Without that the writes
// to a machine that lost power would wait until TCP gives up.
func (h *Hub) applyMembers(c node.Members) {
	h.meter.fleet.members.Set(uint64(len(c.Peers)))
	h.mu.Lock()
	gone := h.urls
	h.urls = make(map[spec.InstanceID]string, len(c.Peers))
	for _, p := range c.Peers {
		h.urls[p.ID] = p.URL
		delete(gone, p.ID)
	}
	var closing []*conn
	for conn := range h.conns {
		if _, ok := gone[conn.id]; ok {
			closing = append(closing, conn)
		}
	}
	h.mu.Unlock()
	// An instance that said goodbye still waits for the answer.
	for _, conn := range closing {
		time.AfterFunc(closeDelay, func() { conn.close(ErrBroken) })
	}
}

// shutdown closes all connections and waits for their goroutines.
func (h *Hub) shutdown() {
	h.mu.Lock()
	h.stopped = true
	h.mu.Unlock()
	h.stop()
	h.group.Wait()
}

// start runs f in a goroutine that shut waits for; false once shut began.
func (h *Hub) start(f func()) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped {
		return false
	}
	h.group.Add(1)
	go func() {
		defer h.group.Done()
		f()
	}()
	return true
}
