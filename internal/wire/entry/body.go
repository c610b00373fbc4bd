package entry

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"
)

// read takes a request's body. A body that stops moving ends with a fault; one
// that moves, however slowly, is read to its end.
func (s *Server) read(w http.ResponseWriter, req *http.Request) ([]byte, error) {
	body := http.MaxBytesReader(w, req.Body, s.Limits.Body)
	control := http.NewResponseController(w)
	if s.Limits.BodyTime > 0 {
		body = &paced{ReadCloser: body, control: control, pause: s.Limits.BodyTime}
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
}

// Read reads with a fresh deadline.
func (p *paced) Read(b []byte) (int, error) {
	// A connection without deadlines, as in tests, is read without.
	_ = p.control.SetReadDeadline(time.Now().Add(p.pause))
	return p.ReadCloser.Read(b)
}
