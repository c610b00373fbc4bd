package engine

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"fulmarwick/internal/base/frame"

	"github.com/go-faster/errors"
	"github.com/gorilla/websocket"
)

const (
	dialTimeout  = 2 * time.Second
	writeTimeout = 5 * time.Second
	bufferBytes  = 64 << 10
	// probeEvery is how often a connection with open streams is pinged if no
	// message arrived; after a second period without a message it is closed.
	// This detects links that fail without an error. Timeouts of single steps
	// are up to package chain.
	probeEvery = 2 * time.Second
)

// streamKey identifies the stream that a reply belongs to.
type streamKey struct {
	req  string
	try  uint32
	from int
}

// Conn is one connection to an engine, shared by many streams.
type Conn struct {
	ws          *websocket.Conn
	incarnation uint64
	meters      *meters
	hops        *hopRecorder
	out         outbox
	mu          sync.Mutex
	streams     map[streamKey]*Stream
	received    atomic.Int64
	// reply is the decode buffer of the reading goroutine; streams copy it.
	reply  frame.Reply
	closed chan struct{}
	once   sync.Once
}

// connect opens a connection with the dialer d.
func connect(ctx context.Context, d *websocket.Dialer, base string, m *meters, h *hopRecorder) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	ws, resp, err := d.DialContext(ctx, wsURL(base)+"/v1/steps", http.Header{})
	if resp != nil {
		_ = resp.Body.Close()
	}
	if err != nil {
		return nil, errors.Wrap(ErrRefused, err.Error())
	}
	ws.SetReadLimit(frame.MaxBytes)
	c := &Conn{
		ws: ws, incarnation: incarnation(resp.Header), meters: m, hops: h,
		streams: map[streamKey]*Stream{}, closed: make(chan struct{}),
	}
	c.out.init()
	ws.SetPongHandler(func(string) error {
		c.received.Add(1)
		return nil
	})
	go c.read()
	go c.write()
	return c, nil
}

// incarnation reads the incarnation from the headers of the upgrade response.
// It returns zero if the engine sends none; such an engine is treated as never
// restarted, and a lost state shows as a gap.
func incarnation(h http.Header) uint64 {
	n, err := strconv.ParseUint(h.Get(frame.HeaderIncarnation), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// Close closes the connection. Its streams return ErrBroken.
func (c *Conn) Close() {
	c.once.Do(func() {
		close(c.closed)
		c.out.close()
		_ = c.ws.Close()
	})
}

// Open returns the stream for the state of one request on this engine.
func (c *Conn) Open(req string, try uint32, from int) *Stream {
	s := newStream(c, streamKey{req: req, try: try, from: from})
	c.mu.Lock()
	c.streams[s.key] = s
	c.mu.Unlock()
	return s
}

func (c *Conn) read() {
	defer c.Close()
	var buf bytes.Buffer
	for {
		_, r, err := c.ws.NextReader()
		if err != nil {
			return
		}
		buf.Reset()
		if _, err := buf.ReadFrom(r); err != nil {
			return
		}
		c.received.Add(1)
		if err := c.handleMessage(buf.Bytes()); err != nil {
			c.meters.badFrames.Inc()
			return
		}
	}
}

// handleMessage dispatches every frame of one message.
func (c *Conn) handleMessage(data []byte) error {
	for len(data) > 0 {
		c.reply = frame.Reply{}
		rest, err := frame.NextReply(data, &c.reply)
		if err != nil {
			return err
		}
		c.dispatch(&c.reply)
		data = rest
	}
	return nil
}

// dispatch passes r to its stream. A reply to an older attempt or to a request
// that ended has no stream and is dropped. dispatch never blocks, so a slow
// reader of one stream does not delay the others.
func (c *Conn) dispatch(r *frame.Reply) {
	c.mu.Lock()
	s := c.streams[streamKey{req: r.Req, try: r.Try, from: r.From}]
	c.mu.Unlock()
	if s == nil {
		c.meters.stale.Inc()
		return
	}
	s.put(r)
}

func (c *Conn) write() {
	defer c.Close()
	probe := time.NewTicker(probeEvery)
	defer probe.Stop()
	last, silentPeriods := int64(-1), 0
	for {
		select {
		case <-c.closed:
			return
		case <-c.out.wake:
			if err := c.flush(); err != nil {
				return
			}
		case <-probe.C:
			if received := c.received.Load(); received != last || c.idle() {
				last, silentPeriods = received, 0
				continue
			}
			silentPeriods++
			if silentPeriods > 1 || c.ping() != nil {
				return
			}
		}
	}
}

func (c *Conn) flush() error {
	buf := c.out.take()
	if buf == nil {
		return nil
	}
	defer c.out.release(buf)
	if err := c.ws.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return errors.Wrap(ErrBroken, err.Error())
	}
	if err := c.ws.WriteMessage(websocket.BinaryMessage, buf.Bytes()); err != nil {
		return errors.Wrap(ErrBroken, err.Error())
	}
	return nil
}

func (c *Conn) ping() error {
	return c.ws.WriteControl(websocket.PingMessage, nil, time.Now().Add(writeTimeout))
}

func (c *Conn) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.streams) == 0
}

func (c *Conn) remove(s *Stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.streams[s.key] == s {
		delete(c.streams, s.key)
	}
}

func (c *Conn) alive() bool {
	select {
	case <-c.closed:
		return false
	default:
		return true
	}
}

func wsURL(base string) string {
	base = strings.TrimSuffix(base, "/")
	if rest, ok := strings.CutPrefix(base, "https://"); ok {
		return "wss://" + rest
	}
	if rest, ok := strings.CutPrefix(base, "http://"); ok {
		return "ws://" + rest
	}
	return "ws://" + base
}
