package guard

import (
	"net/http"
	"time"
)

// streamBytes is what a request on an HTTP/2 stream takes besides its head: its goroutine and the buffers of its
// answer.
const streamBytes = 12 << 10

// streamWriter writes the answer to a request on an HTTP/2 stream. Its connection does not show whether the
// caller takes the answer: each stream has a window of its own.
type streamWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	claim   *Claim
}

// Write writes a part of the answer.
func (s *streamWriter) Write(p []byte) (int, error) {
	s.claim.StartWrite()
	defer s.claim.EndWrite()
	return s.ResponseWriter.Write(p)
}

// FlushError waits until the caller has room for what was written.
func (s *streamWriter) FlushError() error {
	s.claim.StartWrite()
	defer s.claim.EndWrite()
	return s.control.Flush()
}

// Unwrap returns the writer below, for its deadlines.
func (s *streamWriter) Unwrap() http.ResponseWriter { return s.ResponseWriter }

// headWriter leaves out the body of an answer. A head alone needs no window, so that a refusal does not wait for
// its caller.
type headWriter struct {
	http.ResponseWriter
}

// WriteHeader writes the head.
func (h headWriter) WriteHeader(status int) {
	h.Header().Del("Content-Length")
	h.ResponseWriter.WriteHeader(status)
}

// Write drops p.
func (h headWriter) Write(p []byte) (int, error) { return len(p), nil }

// serveStream serves a request on an HTTP/2 stream.
func (g *Guard) serveStream(w http.ResponseWriter, r *http.Request, next http.Handler) {
	control := http.NewResponseController(w)
	claim := g.Account.Open(false, func() {
		_ = control.SetReadDeadline(time.Now())
		_ = control.SetWriteDeadline(time.Now())
	})
	defer claim.Close()
	if !claim.Grow(HeadCost(r) + streamBytes) {
		g.Refuse.ServeHTTP(headWriter{w}, r)
		return
	}
	answer := &streamWriter{ResponseWriter: w, control: control, claim: claim}
	next.ServeHTTP(answer, r.WithContext(withClaim(r.Context(), claim)))
	// Without it net/http would wait for the window after the claim is closed.
	_ = answer.FlushError()
}
