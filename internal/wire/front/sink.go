package front

import (
	"net/http"
	"sync/atomic"
	"time"
)

// eventWriteTimeout is how long a caller may read nothing of its response before the
// stream is abandoned: far longer than a caller waits for an event.
const eventWriteTimeout = 10 * time.Second

// callerSink writes the events of a response to the caller.
type callerSink struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	// begun is set once a part of the response was written.
	begun atomic.Bool
}

// WriteHead writes the status and headers of an upstream's response.
func (s *callerSink) WriteHead(status int, h http.Header) {
	s.begun.Store(true)
	s.controller = http.NewResponseController(s.w)
	copyHeader(s.w.Header(), h)
	s.w.WriteHeader(status)
}

// extendDeadline gives the caller time to read what is written next. A stream may be
// silent for longer than eventWriteTimeout.
func (s *callerSink) extendDeadline() {
	if s.controller != nil {
		// SetWriteDeadline fails only for writers without deadlines, as in tests.
		_ = s.controller.SetWriteDeadline(time.Now().Add(eventWriteTimeout))
	}
}

// WriteEvent writes one event; flush means that no other event follows immediately.
func (s *callerSink) WriteEvent(event []byte, flush bool) error {
	s.extendDeadline()
	if _, err := s.w.Write(event); err != nil {
		return err
	}
	if !flush {
		return nil
	}
	return s.controller.Flush()
}
