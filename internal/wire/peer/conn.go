package peer

import (
	"context"
	"crypto/tls"
	"sync"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/node"

	"github.com/go-faster/errors"
	"github.com/gorilla/websocket"
)

const (
	writeTimeout = 5 * time.Second
	// sendQueueSize is the number of frames that can wait to be written to one
	// connection.
	sendQueueSize = 256
	// maxBadFrames is the number of bad frames after which a connection is
	// closed. A peer that sends that many is faulty or hostile, and
	// reconnecting costs it more than it costs this instance.
	maxBadFrames = 16
)

// conn is one connection to another instance.
type conn struct {
	hub *Hub
	id  spec.InstanceID
	ws  *websocket.Conn
	// dialed is true if this instance dialled.
	dialed bool
	queue  chan []byte
	closed chan struct{}
	once   sync.Once
	cause  error

	mu       sync.Mutex
	lastUsed time.Time
	lastID   uint64
	// streams are opened by this instance, jobs by the other side.
	streams map[uint64]*outStream
	jobs    map[uint64]context.CancelFunc
}

func newConn(h *Hub, id spec.InstanceID, ws *websocket.Conn, dialed bool) *conn {
	ws.SetReadLimit(MaxBytes)
	return &conn{
		hub: h, id: id, ws: ws, dialed: dialed, lastUsed: time.Now(),
		queue: make(chan []byte, sendQueueSize), closed: make(chan struct{}),
		streams: map[uint64]*outStream{}, jobs: map[uint64]context.CancelFunc{},
	}
}

// run serves the connection until it is closed.
func (c *conn) run() {
	c.hub.meter.conns.Inc()
	defer c.hub.meter.conns.Dec()
	var g sync.WaitGroup
	g.Add(1)
	go func() {
		defer g.Done()
		c.writeLoop()
	}()
	c.readLoop()
	g.Wait()
	c.endStreams()
	if !errors.Is(c.cause, errNormalClose) {
		c.hub.Post(node.ConnectionLost{Peer: c.id})
	}
}

// errNormalClose is the cause of a connection that one side closed on purpose,
// because it was idle or on shutdown.
var errNormalClose = errors.New("peer: connection not in use")

func (c *conn) close(cause error) {
	c.once.Do(func() {
		c.cause = cause
		close(c.closed)
		// Closing the TLS connection first would wait until the other side
		// accepts a close alert. A peer that hangs would block every goroutine
		// that waits here.
		if t, ok := c.ws.NetConn().(*tls.Conn); ok {
			_ = t.NetConn().Close()
		}
		_ = c.ws.Close()
	})
}

// closeNormally closes a connection with a close message, so that the other
// side does not treat it as lost.
func (c *conn) closeNormally() {
	msg := websocket.FormatCloseMessage(websocket.CloseNormalClosure, "")
	_ = c.ws.WriteControl(websocket.CloseMessage, msg, time.Now().Add(time.Second))
	c.close(errNormalClose)
}

func (c *conn) readLoop() {
	bad := 0
	for {
		if c.hub.ReadTimeout > 0 {
			// If no deadline can be set, the following read fails.
			_ = c.ws.SetReadDeadline(time.Now().Add(c.hub.ReadTimeout))
		}
		kind, data, err := c.ws.ReadMessage()
		if err != nil {
			c.close(readCause(err))
			return
		}
		c.hub.meter.received.Inc()
		c.hub.meter.receivedBytes.Add(len(data))
		f, err := decode(data)
		if err != nil || kind != websocket.BinaryMessage {
			c.hub.meter.bad.Inc()
			if bad++; bad >= maxBadFrames {
				c.close(ErrFrame)
				return
			}
			continue
		}
		c.markUsed()
		c.dispatch(f)
	}
}

func readCause(err error) error {
	if websocket.IsCloseError(err, websocket.CloseNormalClosure) {
		return errNormalClose
	}
	return errors.Wrap(ErrBroken, err.Error())
}

func (c *conn) dispatch(f *frame) {
	switch f.Kind {
	case kindGossip:
		c.hub.Post(node.Received{From: c.id, Data: f.Data})
	case kindForward:
		c.serveForward(f.ID, *f.Job)
	case kindRequest:
		c.serveRequest(f.ID, *f.Request)
	case kindCancel:
		c.cancelJob(f.ID)
	case kindSnapshotRequest:
		c.serveSnapshot(f.ID)
	case kindToken, kindEnd, kindSnapshot, kindHead, kindChunk:
		c.mu.Lock()
		s := c.streams[f.ID]
		c.mu.Unlock()
		// The stream may have been closed here in the meantime; late frames are
		// dropped.
		if s != nil {
			s.deliver(f)
		}
	}
}

func (c *conn) writeLoop() {
	idle := time.NewTicker(max(c.hub.Idle/4, time.Millisecond))
	defer idle.Stop()
	alive := time.NewTicker(c.aliveInterval())
	defer alive.Stop()
	for {
		select {
		case <-c.closed:
			return
		case <-idle.C:
			if c.isIdle() {
				c.closeNormally()
				return
			}
		case <-alive.C:
			if c.hasWork() {
				c.sendAlive()
			}
		case data := <-c.queue:
			if err := c.writeFrame(data); err != nil {
				c.close(errors.Wrap(ErrBroken, err.Error()))
				return
			}
		}
	}
}

// aliveInterval is the interval between two frames that keep a connection with requests open if
// nothing else is sent on it.
func (c *conn) aliveInterval() time.Duration {
	if c.hub.ReadTimeout == 0 {
		return time.Hour
	}
	return c.hub.ReadTimeout / 4
}

// sendAlive sends a frame that belongs to no stream, which the other side ignores.
func (c *conn) sendAlive() {
	if data, err := encode(&frame{Kind: kindChunk}); err == nil {
		c.tryEnqueue(data)
	}
}

// hasWork reports whether requests are under way on the connection.
func (c *conn) hasWork() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.streams) > 0 || len(c.jobs) > 0
}

func (c *conn) writeFrame(data []byte) error {
	c.hub.meter.sent.Inc()
	c.hub.meter.sentBytes.Add(len(data))
	if err := c.ws.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	return c.ws.WriteMessage(websocket.BinaryMessage, data)
}

// tryEnqueue queues a frame, or drops it and returns false if the queue is full.
func (c *conn) tryEnqueue(data []byte) bool {
	c.markUsed()
	select {
	case c.queue <- data:
		return true
	default:
		c.hub.meter.dropped.Inc()
		return false
	}
}

// enqueue queues a frame. If the queue is full, it waits until ctx ends.
func (c *conn) enqueue(ctx context.Context, f *frame) error {
	data, err := encode(f)
	if err != nil {
		return err
	}
	c.markUsed()
	select {
	case c.queue <- data:
		return nil
	case <-c.closed:
		return ErrBroken
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *conn) markUsed() {
	c.mu.Lock()
	c.lastUsed = time.Now()
	c.mu.Unlock()
}

// isIdle reports whether the connection has no open stream and no frame was
// sent or received within Hub.Idle.
func (c *conn) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.streams) == 0 && len(c.jobs) == 0 && time.Since(c.lastUsed) >= c.hub.Idle
}

// endStreams ends all streams of a closed connection. Jobs that run here are
// cancelled, because their answers can no longer be delivered.
func (c *conn) endStreams() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cancel := range c.jobs {
		cancel()
	}
	for _, s := range c.streams {
		s.abort()
	}
}
