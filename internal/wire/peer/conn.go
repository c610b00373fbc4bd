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
	// backlog is how many frames wait for the writer of one connection.
	backlog = 256
	// maxBad is how many bad frames a connection survives. One that sends more
	// is faulty or hostile, and dialling anew costs it more than us.
	maxBad = 16
)

// conn is one connection to another instance.
type conn struct {
	hub *Hub
	id  spec.InstanceID
	ws  *websocket.Conn
	// dialed is true on the side that dialled.
	dialed bool
	out    chan []byte
	closed chan struct{}
	once   sync.Once
	cause  error

	mu   sync.Mutex
	used time.Time
	last uint64
	// asks are the streams opened here, jobs those opened by the other side.
	asks map[uint64]*ask
	jobs map[uint64]context.CancelFunc
}

func newConn(h *Hub, id spec.InstanceID, ws *websocket.Conn, dialed bool) *conn {
	ws.SetReadLimit(MaxBytes)
	return &conn{
		hub: h, id: id, ws: ws, dialed: dialed, used: time.Now(),
		out: make(chan []byte, backlog), closed: make(chan struct{}),
		asks: map[uint64]*ask{}, jobs: map[uint64]context.CancelFunc{},
	}
}

// run serves the connection until it closes.
func (c *conn) run() {
	c.hub.meter.conns.Inc()
	defer c.hub.meter.conns.Dec()
	var g sync.WaitGroup
	g.Add(1)
	go func() {
		defer g.Done()
		c.write()
	}()
	c.read()
	g.Wait()
	c.fail()
	if !errors.Is(c.cause, errIdle) {
		c.hub.Post(node.ConnectionLost{Peer: c.id})
	}
}

// errIdle is the cause of a connection that ended by agreement.
var errIdle = errors.New("peer: connection not in use")

func (c *conn) close(cause error) {
	c.once.Do(func() {
		c.cause = cause
		close(c.closed)
		// Closing TLS first would wait for the other side to take an alert; one
		// that hangs would hold up everyone that waits here.
		if t, ok := c.ws.NetConn().(*tls.Conn); ok {
			_ = t.NetConn().Close()
		}
		_ = c.ws.Close()
	})
}

// bye closes a connection so that the other side knows that it was meant.
func (c *conn) bye() {
	msg := websocket.FormatCloseMessage(websocket.CloseNormalClosure, "")
	_ = c.ws.WriteControl(websocket.CloseMessage, msg, time.Now().Add(time.Second))
	c.close(errIdle)
}

func (c *conn) read() {
	bad := 0
	for {
		if c.hub.Silence > 0 {
			// A connection on which no deadline can be set fails the read.
			_ = c.ws.SetReadDeadline(time.Now().Add(c.hub.Silence))
		}
		kind, data, err := c.ws.ReadMessage()
		if err != nil {
			c.close(readCause(err))
			return
		}
		c.hub.meter.heard.Inc()
		c.hub.meter.heardBytes.Add(len(data))
		f, err := decode(data)
		if err != nil || kind != websocket.BinaryMessage {
			c.hub.meter.bad.Inc()
			if bad++; bad >= maxBad {
				c.close(ErrFrame)
				return
			}
			continue
		}
		c.touch()
		c.take(f)
	}
}

func readCause(err error) error {
	if websocket.IsCloseError(err, websocket.CloseNormalClosure) {
		return errIdle
	}
	return errors.Wrap(ErrBroken, err.Error())
}

func (c *conn) take(f *frame) {
	switch f.Kind {
	case kindNews:
		c.hub.Post(node.Received{From: c.id, Data: f.Data})
	case kindForward:
		c.serve(f.ID, *f.Job)
	case kindCancel:
		c.cancel(f.ID)
	case kindAsk:
		c.serveSnapshot(f.ID)
	case kindToken, kindEnd, kindSnapshot:
		c.mu.Lock()
		a := c.asks[f.ID]
		c.mu.Unlock()
		// A late answer of a stream that ended here reaches nobody.
		if a != nil {
			a.put(f)
		}
	}
}

func (c *conn) write() {
	idle := time.NewTicker(max(c.hub.Idle/4, time.Millisecond))
	defer idle.Stop()
	for {
		select {
		case <-c.closed:
			return
		case <-idle.C:
			if c.unused() {
				c.bye()
				return
			}
		case data := <-c.out:
			if err := c.send(data); err != nil {
				c.close(errors.Wrap(ErrBroken, err.Error()))
				return
			}
		}
	}
}

func (c *conn) send(data []byte) error {
	c.hub.meter.sent.Inc()
	c.hub.meter.sentBytes.Add(len(data))
	if err := c.ws.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	return c.ws.WriteMessage(websocket.BinaryMessage, data)
}

// offer queues a frame if there is room, else drops it.
func (c *conn) offer(data []byte) {
	c.touch()
	select {
	case c.out <- data:
	default:
		c.hub.meter.dropped.Inc()
	}
}

// push queues a frame, waiting for room until ctx ends.
func (c *conn) push(ctx context.Context, f *frame) error {
	data, err := encode(f)
	if err != nil {
		return err
	}
	c.touch()
	select {
	case c.out <- data:
		return nil
	case <-c.closed:
		return ErrBroken
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *conn) touch() {
	c.mu.Lock()
	c.used = time.Now()
	c.mu.Unlock()
}

// unused reports whether nothing went over the connection for long and no
// stream is open on it.
func (c *conn) unused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.asks) == 0 && len(c.jobs) == 0 && time.Since(c.used) >= c.hub.Idle
}

// fail ends all streams of a closed connection. Those served here are
// cancelled: nobody is left to hear their answer.
func (c *conn) fail() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cancel := range c.jobs {
		cancel()
	}
	for _, a := range c.asks {
		a.end()
	}
}
