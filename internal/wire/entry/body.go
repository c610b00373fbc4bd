package entry

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"
)

// bodyPiece is how much of a body must come, on average, within one body pause.
// A body that brings a byte at a time, just often enough, would hold a place
// and the instance's stop for ever; the slowest honest link is far above it.
const bodyPiece = 1 << 10

// read takes a request's body. A body that stops, or hardly moves, ends with a
// fault; a slow one is read to its end.
func (s *Server) read(w http.ResponseWriter, req *http.Request) ([]byte, error) {
	body := http.MaxBytesReader(w, req.Body, s.Limits.Body)
	control := http.NewResponseController(w)
	if s.Limits.BodyTime > 0 {
		body = &paced{ReadCloser: body, control: control, pause: s.Limits.BodyTime, began: time.Now()}
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

// paced moves the read deadline on before each read.
type paced struct {
	io.ReadCloser
	control *http.ResponseController
	pause   time.Duration
	began   time.Time
	got     int64
}

// Read reads with a fresh deadline.
func (p *paced) Read(b []byte) (int, error) {
	deadline := time.Now().Add(p.pause)
	if last := p.began.Add(p.pause * time.Duration(1+p.got/bodyPiece)); last.Before(deadline) {
		deadline = last
	}
	// A connection without deadlines, as in tests, is read without.
	_ = p.control.SetReadDeadline(deadline)
	n, err := p.ReadCloser.Read(b)
	p.got += int64(n)
	return n, err
}
