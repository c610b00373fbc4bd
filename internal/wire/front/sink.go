package front

import (
	"net/http"
	"time"
)

// writePause bounds how long a caller may take none of its answer before the
// stream is given up: far longer than a caller waits for an event.
const writePause = 10 * time.Second

// sink passes the events of an answer to its caller.
type sink struct {
	w       http.ResponseWriter
	control *http.ResponseController
}

// Head passes the status and headers of an upstream's answer.
func (s *sink) Head(status int, h http.Header) {
	s.control = http.NewResponseController(s.w)
	copyHeader(s.w.Header(), h)
	s.w.WriteHeader(status)
}

// Event passes one event; flush says that no other one follows at once.
func (s *sink) Event(event []byte, flush bool) error {
	// The error is that of a writer without deadlines, as in tests.
	_ = s.control.SetWriteDeadline(time.Now().Add(writePause))
	if _, err := s.w.Write(event); err != nil {
		return err
	}
	if !flush {
		return nil
	}
	return s.control.Flush()
}
