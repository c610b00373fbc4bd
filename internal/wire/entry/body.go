package entry

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"
)

// minBodyBytes is how much of a body must come, on average, within one body pause.
// A body that brings a byte at a time, just often enough, would hold a place
// and the instance's stop for ever; the slowest honest link is far above it.
const minBodyBytes = 1 << 10

// readBody takes a request's body. A body that stops, or hardly moves, ends with a
// fault; a slow one is read to its end.
func (s *Server) readBody(w http.ResponseWriter, req *http.Request) ([]byte, error) {
	body := http.MaxBytesReader(w, req.Body, s.Limits.Body)
	control := http.NewResponseController(w)
	if s.Limits.BodyTime > 0 {
		body = &deadlineReader{ReadCloser: body, control: control, maxPause: s.Limits.BodyTime, start: time.Now()}
	}
	var out bytes.Buffer
	if n := req.ContentLength; n > 0 && n <= s.Limits.Body {
		out.Grow(int(n) + bytes.MinRead)
	}
	if _, err := out.ReadFrom(body); err != nil {
		// The server reads what is left of a body before it answers. That of
		// a stalled one never comes, so the deadline stays and the connection
		// ends with the answer.
		w.Header().Set("Connection", "close")
		return nil, bodyFault(err)
	}
	if s.Limits.BodyTime > 0 {
		// The connection's reader goes on watching for the caller's leaving;
		// a deadline left behind would look to it like that.
		_ = control.SetReadDeadline(time.Time{})
	}
	return out.Bytes(), nil
}

func bodyFault(err error) error {
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return newFault(http.StatusRequestEntityTooLarge, "body-size", "The body is larger than this service takes.", RanNo)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return newFault(http.StatusRequestTimeout, "body-slow", "The body stopped coming before its end.", RanNo)
	default:
		return newFault(http.StatusBadRequest, "body-cut", "The body was cut before its end.", RanNo)
	}
}

// deadlineReader moves the read deadline on before each read.
type deadlineReader struct {
	io.ReadCloser
	control  *http.ResponseController
	maxPause time.Duration
	start    time.Time
	received int64
}

// Read reads with a fresh deadline.
func (p *deadlineReader) Read(b []byte) (int, error) {
	deadline := time.Now().Add(p.maxPause)
	if last := p.start.Add(p.maxPause * time.Duration(1+p.received/minBodyBytes)); last.Before(deadline) {
		deadline = last
	}
	// A connection without deadlines, as in tests, is read without.
	_ = p.control.SetReadDeadline(deadline)
	n, err := p.ReadCloser.Read(b)
	p.received += int64(n)
	return n, err
}
