package front

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"fulmarwick/internal/wire/relay"
)

// writeReply writes the final answer unless it was passed on already. It returns
// its status, or zero if the connection must be broken.
func (s *Server) writeReply(w http.ResponseWriter, reply relay.Reply) int {
	switch {
	case reply.Reason == relay.ReasonNone && reply.Header == nil:
		return http.StatusOK
	case reply.Reason == relay.ReasonNone:
		writeUpstreamResponse(w, reply)
		return reply.Status
	case reply.Started:
		return 0
	}
	status := statusOf(reply)
	after := time.Duration(0)
	if !reply.MayHaveRun {
		after = reply.RetryAfter
	}
	writeRefusal(w, status, reply.Reason.String(), after)
	return status
}

// statusOf is the status of an answer without an upstream's. 503 promises that
// the call has not run and will not.
func statusOf(r relay.Reply) int {
	switch {
	case !r.MayHaveRun:
		return http.StatusServiceUnavailable
	case r.Reason == relay.ReasonTimeout:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// writeUpstreamResponse writes an upstream's answer as it is.
func writeUpstreamResponse(w http.ResponseWriter, reply relay.Reply) {
	copyHeader(w.Header(), reply.Header)
	w.Header().Set("Content-Length", strconv.Itoa(len(reply.Body)))
	w.WriteHeader(reply.Status)
	// A caller that left while its answer was written cannot be told.
	_, _ = w.Write(reply.Body)
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	// Set to nothing, so that none is added to the upstream's headers.
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := from[name]; !ok {
			to[name] = nil
		}
	}
}

// writeRefusal writes an answer of the router's own.
func writeRefusal(w http.ResponseWriter, status int, reason string, after time.Duration) {
	h := w.Header()
	if after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(reason)+1))
	w.WriteHeader(status)
	// A caller that left cannot be told.
	_, _ = io.WriteString(w, reason+"\n")
}

// stoppingRetryAfter is when a caller comes back whom a stopping instance turned away:
// at once, to another instance.
const stoppingRetryAfter = 20 * time.Millisecond

// StoppingHandler answers requests that come too late to a stopping instance: they
// have not run, and another instance takes them.
type StoppingHandler struct{}

// ServeHTTP refuses the request.
func (StoppingHandler) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	writeRefusal(w, http.StatusServiceUnavailable, "instance is stopping", stoppingRetryAfter)
}

// headBytes is the size of a request's head as it was sent.
func headBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(" HTTP/1.1\r\n\r\n") + len("Host: \r\n") + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}
