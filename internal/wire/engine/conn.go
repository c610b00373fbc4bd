// Package engine is the client of model engines: steps over one multiplexed
// WebSocket per engine, and the JSON control calls.
//
// It imports base/frame and base/spec. Package chain opens streams on it;
// package watch reads the reports.
package engine

import (
	"context"
	"net/http"
	"sync"
	"time"

	"fulmarwick/internal/base/frame"

	"github.com/go-faster/errors"
	"github.com/gorilla/websocket"
)

// Errors of this package.
var (
	// ErrRefused means that no connection came about, so nothing ran.
	ErrRefused = errors.New("engine: refused")
	// ErrBroken means that the connection broke; sent steps may have run.
	ErrBroken = errors.New("engine: connection broken")
)

const (
	dialTimeout  = 2 * time.Second
	writeTimeout = 5 * time.Second
	backlog      = 64
)

// route names the stream that a reply belongs to.
type route struct {
	req  string
	try  uint32
	from int
}

// Conn is one connection to an engine that many streams share.
type Conn struct {
	ws      *websocket.Conn
	write   sync.Mutex
	mu      sync.Mutex
	streams map[route]*Stream
	closed  chan struct{}
	once    sync.Once
}

// Dial connects to the engine at base, such as "http://10.0.0.7:9000".
func Dial(ctx context.Context, base string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	d := websocket.Dialer{ReadBufferSize: 64 << 10, WriteBufferSize: 64 << 10}
	ws, resp, err := d.DialContext(ctx, wsURL(base)+"/v1/steps", http.Header{})
	if resp != nil {
		_ = resp.Body.Close()
	}
	if err != nil {
		return nil, errors.Wrap(ErrRefused, err.Error())
	}
	ws.SetReadLimit(frame.MaxBytes)
	c := &Conn{ws: ws, streams: map[route]*Stream{}, closed: make(chan struct{})}
	go c.read()
	return c, nil
}

// Closed is closed when the connection broke.
func (c *Conn) Closed() <-chan struct{} { return c.closed }

// Close ends the connection; its streams see ErrBroken.
func (c *Conn) Close() {
	c.once.Do(func() {
		close(c.closed)
		_ = c.ws.Close()
	})
}

// Open returns the stream of one request's state on this engine.
func (c *Conn) Open(req string, try uint32, from int) *Stream {
	s := &Stream{conn: c, at: route{req: req, try: try, from: from}, in: make(chan *frame.Reply, backlog)}
	c.mu.Lock()
	c.streams[s.at] = s
	c.mu.Unlock()
	return s
}

func (c *Conn) read() {
	defer c.Close()
	for {
		_, data, err := c.ws.ReadMessage()
		if err != nil {
			return
		}
		r, err := frame.DecodeReply(data)
		if err != nil {
			return
		}
		c.hand(r)
	}
}

// hand gives r to its stream. A reply of an older attempt or of a request
// that ended has no stream and is dropped: late answers reach nobody.
func (c *Conn) hand(r *frame.Reply) {
	c.mu.Lock()
	s := c.streams[route{req: r.Req, try: r.Try, from: r.From}]
	c.mu.Unlock()
	if s == nil {
		return
	}
	select {
	case s.in <- r:
	case <-c.closed:
	}
}

func (c *Conn) send(s *frame.Step) error {
	data, err := frame.EncodeStep(s)
	if err != nil {
		return errors.Wrap(err, "engine: encode")
	}
	c.write.Lock()
	defer c.write.Unlock()
	if err := c.ws.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return errors.Wrap(ErrBroken, err.Error())
	}
	if err := c.ws.WriteMessage(websocket.BinaryMessage, data); err != nil {
		c.Close()
		return errors.Wrap(ErrBroken, err.Error())
	}
	return nil
}

func (c *Conn) forget(at route) {
	c.mu.Lock()
	delete(c.streams, at)
	c.mu.Unlock()
}
