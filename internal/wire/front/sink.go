package front

import (
	"net/http"
	"time"
)

// eventWriteTimeout bounds how long a caller may take none of its answer before the
// stream is given up: far longer than a caller waits for an event.
const eventWriteTimeout = 10 * time.Second

// callerSink passes the events of an answer to its caller.
type callerSink struct {
	w          http.ResponseWriter
	controller *http.ResponseController
}

// WriteHead passes the status and headers of an upstream's answer.
func (s *callerSink) WriteHead(status int, h http.Header) {
	s.controller = http.NewResponseController(s.w)
	copyHeader(s.w.Header(), h)
	s.w.WriteHeader(status)
}

// WriteEvent passes one event; flush says that no other one follows at once.
func (s *callerSink) WriteEvent(event []byte, flush bool) error {
	// The error is that of a writer without deadlines, as in tests.
	_ = s.controller.SetWriteDeadline(time.Now().Add(eventWriteTimeout))
	if _, err := s.w.Write(event); err != nil {
		return err
	}
	if !flush {
		return nil
	}
	return s.controller.Flush()
}
