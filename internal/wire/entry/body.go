package entry

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"
)

// minBodyBytes is the minimum number of bytes that a caller must send, on
// average, per Limits.BodyTime. Otherwise a caller that sends single bytes just
// often enough would occupy a request slot and block the shutdown of the
// instance forever. The slowest legitimate link is far above this rate.
const minBodyBytes = 1 << 10

// readBody reads the body of a request. It returns a fault if the body stalls or
// falls below the minimum rate; a body that is merely slow is read to its end.
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
		// net/http reads the rest of the body before it sends the response.
		// The rest of a stalled body never arrives, so the read deadline stays
		// in place and the connection is closed after the response.
		w.Header().Set("Connection", "close")
		return nil, bodyFault(err)
	}
	if s.Limits.BodyTime > 0 {
		// Remove the read deadline: net/http keeps reading from the connection
		// to detect a disconnect and would mistake an expired deadline for one.
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

// deadlineReader extends the connection's read deadline before each read, but
// never beyond what minBodyBytes allows for the bytes received so far.
type deadlineReader struct {
	io.ReadCloser
	control  *http.ResponseController
	maxPause time.Duration
	start    time.Time
	received int64
}

// Read sets a new read deadline and reads.
func (r *deadlineReader) Read(b []byte) (int, error) {
	deadline := time.Now().Add(r.maxPause)
	if last := r.start.Add(r.maxPause * time.Duration(1+r.received/minBodyBytes)); last.Before(deadline) {
		deadline = last
	}
	// Connections without deadlines, as in tests, return an error here.
	_ = r.control.SetReadDeadline(deadline)
	n, err := r.ReadCloser.Read(b)
	r.received += int64(n)
	return n, err
}
