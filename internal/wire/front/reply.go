package front

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"fulmarwick/internal/wire/relay"
)

// writeReply writes the final response unless it was forwarded already. It returns the
// status, or zero if the connection must be broken.
func (s *Server) writeReply(w http.ResponseWriter, r *http.Request, reply relay.Reply) int {
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
	if reply.CanRunElsewhere() && passedFrom(r.Context()) != nil {
		w.Header().Set(unreachedHeader, "1")
	}
	writeRefusal(w, status, reply.Reason.String(), after)
	return status
}

// statusOf returns the status of a reply without an upstream's response. Status 503
// promises that the call has not run and will not run.
func statusOf(r relay.Reply) int {
	switch {
	case !r.MayHaveRun:
		return http.StatusServiceUnavailable
	case r.Reason == relay.ReasonTimeout:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// writeUpstreamResponse writes the response of an upstream unchanged.
func writeUpstreamResponse(w http.ResponseWriter, reply relay.Reply) {
	copyHeader(w.Header(), reply.Header)
	w.Header().Set("Content-Length", strconv.Itoa(len(reply.Body)))
	w.WriteHeader(reply.Status)
	// An error means that the caller disconnected, so it cannot be notified.
	_, _ = w.Write(reply.Body)
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	// A nil value prevents net/http from adding these to the upstream's headers.
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := from[name]; !ok {
			to[name] = nil
		}
	}
}

// writeRefusal writes a response of the router itself.
func writeRefusal(w http.ResponseWriter, status int, reason string, after time.Duration) {
	h := w.Header()
	if after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(reason)+1))
	w.WriteHeader(status)
	// An error means that the caller disconnected, so it cannot be notified.
	_, _ = io.WriteString(w, reason+"\n")
}

// stoppingRetryAfter is the Retry-After of a stopping instance: the caller should retry
// almost immediately, on another instance.
const stoppingRetryAfter = 20 * time.Millisecond

// StoppingHandler answers requests that arrive too late at a stopping instance: they
// have not run, and another instance can serve them.
type StoppingHandler struct{}

// ServeHTTP rejects the request with status 503.
func (StoppingHandler) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	writeRefusal(w, http.StatusServiceUnavailable, "instance is stopping", stoppingRetryAfter)
}

// headBytes returns the size of a request's request line and headers on the wire.
func headBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(" HTTP/1.1\r\n\r\n") + len("Host: \r\n") + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}
