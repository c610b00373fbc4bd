package peer

import (
	"context"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/node"

	"github.com/go-faster/errors"
)

// maxChunk is the number of bytes of a response in one frame. It is small, so that failure
// detection messages on the same connection are not delayed.
const maxChunk = 64 << 10

// maxAttempted is the number of engines that a passed request may have been sent to before.
const maxAttempted = 64

// Request is a caller's request that is passed on to another instance as it came.
type Request struct {
	Method string      `cbor:"1,keyasint"`
	URI    string      `cbor:"2,keyasint"`
	Host   string      `cbor:"3,keyasint,omitempty"`
	Header http.Header `cbor:"4,keyasint"`
	Body   []byte      `cbor:"5,keyasint,omitempty"`
	// LeftMs is how long the caller still waits, in milliseconds.
	LeftMs int64 `cbor:"6,keyasint"`
	// LastEvent is the ID of the last event that the caller has.
	LastEvent int `cbor:"7,keyasint,omitempty"`
	// Config is the version of the configuration by which the request was accepted.
	Config uint64 `cbor:"8,keyasint,omitempty"`
	// Counted means that the retry budget counts the request already.
	Counted bool `cbor:"9,keyasint,omitempty"`
	// Attempted are the engines that may have begun to run the request.
	Attempted []spec.UpstreamID `cbor:"10,keyasint,omitempty"`
	// EventLeftMs is how long the caller still waits for an event, in milliseconds; zero means
	// unknown.
	EventLeftMs int64 `cbor:"11,keyasint,omitempty"`
}

func (r *Request) valid() bool {
	return r.Method != "" && len(r.Method) <= maxName && r.URI != "" && r.LeftMs > 0 && r.EventLeftMs >= 0 && r.LastEvent >= 0 && len(r.Header) <= maxHeaderNames && len(r.Attempted) <= maxAttempted
}

// head is the status and the headers of the response to a Request.
type head struct {
	Status int         `cbor:"1,keyasint"`
	Header http.Header `cbor:"2,keyasint"`
}

func (h *head) valid() bool {
	return h.Status >= http.StatusOK && h.Status < 1000
}

// RequestServer serves requests that other instances pass on. It may panic with
// http.ErrAbortHandler to break the response off.
type RequestServer interface {
	ServePassed(ctx context.Context, w http.ResponseWriter, from spec.InstanceID, r Request)
}

// RoundTrip passes a request to another instance, a member or one with a known URL, and returns
// its response. The error is
// ErrRefused if the request was not sent, and ErrBroken if no response came although the other
// instance may have served the request. The body ends with ErrBroken if the response breaks off.
// The request is cancelled there when ctx ends or the body is closed before its end.
func (h *Hub) RoundTrip(ctx context.Context, to node.Peer, r Request) (*http.Response, error) {
	h.init()
	if !r.valid() {
		return nil, errors.Wrap(ErrRefused, "request out of range")
	}
	c, err := h.connect(ctx, to.ID, to.URL)
	if err != nil {
		return nil, err
	}
	s := c.openStream()
	if s == nil {
		return nil, errors.Wrap(ErrRefused, "connection closed")
	}
	h.meter.forwarded.Inc()
	body := &responseBody{ctx: ctx, stream: s, trailer: http.Header{}}
	if err := c.enqueue(ctx, &frame{Kind: kindRequest, ID: s.id, Request: &r}); err != nil {
		_ = body.Close()
		return nil, errors.Wrap(ErrRefused, err.Error())
	}
	first, err := body.awaitHead()
	if err != nil {
		_ = body.Close()
		return nil, err
	}
	return &http.Response{StatusCode: first.Status, Header: first.Header, Body: body, Trailer: body.trailer}, nil
}

// responseBody reads the body of a response from the frames of a stream.
type responseBody struct {
	ctx    context.Context
	stream *outStream
	frames []*frame
	// trailer holds the trailers once the response has ended, whole or not.
	trailer http.Header
	// chunk is the unread part of the last chunk.
	chunk []byte
	err   error
	// closed means that the stream was closed.
	closed bool
}

// nextFrame returns the next frame of the response.
func (b *responseBody) nextFrame() (*frame, error) {
	for len(b.frames) == 0 {
		frames, err := b.stream.next(b.ctx)
		if err != nil {
			return nil, errors.Wrap(ErrBroken, err.Error())
		}
		b.frames = frames
	}
	f := b.frames[0]
	b.frames = b.frames[1:]
	return f, nil
}

// awaitHead returns the head of the response.
func (b *responseBody) awaitHead() (*head, error) {
	f, err := b.nextFrame()
	switch {
	case err != nil:
		return nil, err
	case f.Kind == kindHead:
		return f.Head, nil
	case f.Kind == kindEnd && f.End.Fault != nil && f.End.Fault.Ran == ranNo:
		return nil, errors.Wrap(ErrRefused, f.End.Fault.Code)
	}
	return nil, errors.Wrap(ErrBroken, "no response")
}

// Read reads from the body.
func (b *responseBody) Read(p []byte) (int, error) {
	for len(b.chunk) == 0 && b.err == nil {
		b.readFrame()
	}
	if len(b.chunk) == 0 {
		return 0, b.err
	}
	n := copy(p, b.chunk)
	b.chunk = b.chunk[n:]
	return n, nil
}

func (b *responseBody) readFrame() {
	f, err := b.nextFrame()
	if err == nil && f.Kind == kindEnd {
		maps.Copy(b.trailer, f.End.Trailer)
	}
	switch {
	case err != nil:
		b.err = err
	case f.Kind == kindChunk:
		b.chunk = f.Data
	case f.Kind == kindEnd && f.End.Fault == nil:
		b.err = io.EOF
	default:
		b.err = errors.Wrap(ErrBroken, "response broken off")
	}
}

// Close ends the stream. If the response is incomplete, the other instance cancels the request.
func (b *responseBody) Close() error {
	if !b.closed {
		b.closed = true
		b.stream.close(errors.Is(b.err, io.EOF))
	}
	return nil
}

// serveRequest serves a request that another instance passed on.
func (c *conn) serveRequest(id uint64, r Request) {
	refuse := func(code string) {
		c.reply(&frame{Kind: kindEnd, ID: id, End: &End{Fault: &Fault{Code: code, Ran: ranNo}}})
	}
	if c.hub.RequestServer == nil {
		refuse("not-served")
		return
	}
	ctx, cancel := context.WithTimeout(c.hub.ctx, time.Duration(r.LeftMs)*time.Millisecond)
	if !c.addJob(id, cancel) {
		cancel()
		refuse("busy")
		return
	}
	c.hub.meter.served.Inc()
	ok := c.hub.start(func() {
		defer cancel()
		defer c.removeJob(id)
		w := &responseWriter{ctx: ctx, conn: c, id: id, header: http.Header{}}
		w.finish(c.servePassed(ctx, w, r))
	})
	if !ok {
		cancel()
		c.removeJob(id)
	}
}

// servePassed runs the handler and reports whether it wrote the whole response.
func (c *conn) servePassed(ctx context.Context, w *responseWriter, r Request) (complete bool) {
	defer func() {
		// Any panic breaks the response off, as in net/http. The handler reports it.
		if recover() != nil {
			complete = false
		}
	}()
	c.hub.RequestServer.ServePassed(ctx, w, c.id, r)
	return true
}

// responseWriter writes a response as frames.
type responseWriter struct {
	ctx    context.Context
	conn   *conn
	id     uint64
	header http.Header
	wrote  bool
	err    error
}

// Header returns the headers of the response.
func (w *responseWriter) Header() http.Header { return w.header }

// WriteHeader sends the status and the headers.
func (w *responseWriter) WriteHeader(status int) {
	if w.wrote {
		return
	}
	w.wrote = true
	header := w.header.Clone()
	for name, values := range header {
		// The front sets a header to nil to keep net/http from adding it.
		if values == nil || strings.HasPrefix(name, http.TrailerPrefix) {
			delete(header, name)
		}
	}
	w.send(&frame{Kind: kindHead, ID: w.id, Head: &head{Status: status, Header: header}})
}

// Write sends a part of the body.
func (w *responseWriter) Write(b []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	for part := range slices.Chunk(b, maxChunk) {
		w.send(&frame{Kind: kindChunk, ID: w.id, Data: part})
	}
	if w.err != nil {
		return 0, w.err
	}
	return len(b), nil
}

// FlushError does nothing: what is written is sent at once.
func (w *responseWriter) FlushError() error { return w.err }

// finish ends the response.
func (w *responseWriter) finish(complete bool) {
	end := &End{Trailer: w.trailer()}
	if !complete {
		end.Fault = &Fault{Code: "broken-off", Ran: "unsure"}
	} else {
		w.WriteHeader(http.StatusOK)
	}
	w.send(&frame{Kind: kindEnd, ID: w.id, End: end})
}

// trailer returns the headers that the handler set as trailers.
func (w *responseWriter) trailer() http.Header {
	out := http.Header{}
	for name, values := range w.header {
		if trailer, ok := strings.CutPrefix(name, http.TrailerPrefix); ok {
			out[trailer] = values
		}
	}
	return out
}

func (w *responseWriter) send(f *frame) {
	// After ctx ends the other side wants no more frames; the end of the response must not
	// wait for room in the queue.
	if err := w.conn.enqueue(w.ctx, f); err != nil && w.err == nil {
		w.err = err
	}
}
