// Package peer connects instances with mutually authenticated WebSocket
// connections that carry CBOR frames, one per pair of instances that
// communicate. It drives the fleet logic, forwards requests over one hop and
// serves configuration snapshots.
//
// It imports base, fleet/node and the WebSocket library. The daemon creates one
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
	// ErrFrame means that data is not a valid frame or has a value out of
	// range.
	ErrFrame = errors.New("peer: bad frame")
	// ErrRefused means that the other instance ran nothing: no connection could
	// be made, or it rejected the request before running it.
	ErrRefused = errors.New("peer: refused")
	// ErrBroken means that the connection broke during an operation, which may
	// have run in part.
	ErrBroken = errors.New("peer: connection broken")
)

const (
	// MaxTickInterval is the maximum time between two ticks of the logic.
	MaxTickInterval = 50 * time.Millisecond
	// defaultIdle is the time after which a connection without frames is
	// closed.
	defaultIdle = time.Minute
	// maxEvents limits the events that wait for a tick. Further messages are
	// dropped; the protocol tolerates that, as it does messages lost in the
	// network.
	maxEvents = 8192
	// closeDelay is the time for which the connection of a former member is
	// kept.
	closeDelay = 2 * time.Second
	// maxConns limits the connections of one instance. It is far above the few
	// dozen that the fleet logic uses.
	maxConns = 1024
)

// Logic is the deterministic fleet logic that the Hub drives.
type Logic interface {
	Tick(now time.Duration, events []node.Event) []node.Command
}

// Server runs requests that other instances forward. It calls sink for each
// token in order. A Fault in the End is the final answer; an error is reported
// to the other instance as an internal fault.
type Server interface {
	ServeForwarded(ctx context.Context, from spec.InstanceID, job Job, sink func(Token) error) (End, error)
}

// Snapshots returns the encoded configuration in force.
type Snapshots interface {
	Snapshot() []byte
}

// Hub manages the connections of one instance to the others. Set the exported
// fields before calling Run.
type Hub struct {
	// Self is this instance, with the URL at which others reach Handler.
	Self  node.Peer
	Logic Logic
	// TLS has the certificate of this instance and the CA of the peers; the
	// certificate's DNS names must include the instance ID. If TLS is nil,
	// connections are unencrypted and the name that a peer claims is trusted,
	// which is suitable for loopback only.
	TLS *tls.Config
	// Low and High are the lowest and highest supported protocol versions; zero
	// means the current version.
	Low, High int
	// JobServer, RequestServer and Config may be nil; such requests are then refused.
	JobServer     Server
	RequestServer RequestServer
	Config        Snapshots
	// HandleCommand receives all commands of the logic except Send. It is called on the
	// Hub's goroutine and must not block.
	HandleCommand func(node.Command)
	// Dial connects to an address; nil uses the network.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Idle is the time after which an unused connection is closed; zero means
	// one minute.
	Idle time.Duration
	// ReadTimeout is the time without a received frame after which a connection is
	// closed and dialled again. Use it with logic that sends continuously: a
	// connection can stop delivering without a reset while new connections
	// work. Zero means no limit.
	ReadTimeout time.Duration
	Log         *zap.Logger
	// Meters receives the metrics; nil uses a private set.
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
		// http.Server modifies the TLS config that it is given, so the client
		// uses a copy.
		h.client = h.TLS.Clone()
		h.meter = newMeters(h.Meters)
	})
}

// Post queues an event and wakes the logic.
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

// Publish publishes an item to the other instances.
func (h *Hub) Publish(item news.Item) { h.Post(node.Publish{Item: item}) }

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
	if h.HandleCommand != nil {
		h.HandleCommand(c)
	}
}

// applyMembers stores the URLs of the members for forwarding and closes the
// connections of former members. Otherwise writes to a machine that lost power
// would block until TCP times out.
func (h *Hub) applyMembers(c node.Members) {
	h.meter.fleet.members.Set(uint64(len(c.Peers)))
	h.mu.Lock()
	former := h.urls
	h.urls = make(map[spec.InstanceID]string, len(c.Peers))
	for _, p := range c.Peers {
		h.urls[p.ID] = p.URL
		delete(former, p.ID)
	}
	var closing []*conn
	for conn := range h.conns {
		if _, ok := former[conn.id]; ok {
			closing = append(closing, conn)
		}
	}
	h.mu.Unlock()
	// An instance that leaves still waits for the reply, so its connection is
	// closed after a delay.
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

// start runs f in a goroutine that shutdown waits for. It returns false once
// shutdown began.
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
