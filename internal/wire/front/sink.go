package front

import (
	"net/http"
	"sync/atomic"
)

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

// WriteEvent writes one event; flush means that no other event follows immediately.
func (s *callerSink) WriteEvent(event []byte, flush bool) error {
	if _, err := s.w.Write(event); err != nil {
		return err
	}
	if !flush {
		return nil
	}
	return s.controller.Flush()
}
