// Package front serves callers: it finds the route and the team of a request,
// reads it whole, has it run and passes the answer on.
//
// It imports base/site and wire/relay. Package app/edge serves its Handler.
package front

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/wire/relay"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/trace"
)

// Dialect reads the headers of a caller's request.
type Dialect interface {
	Ask(h http.Header) (site.Ask, error)
}

// Rules gives what is in force; nil until something is known.
type Rules interface {
	Config() *site.Config
	// Await waits for the first configuration; nil if none came in time.
	Await(ctx context.Context) *site.Config
}

// Plain runs calls of plain services.
type Plain interface {
	Do(ctx context.Context, c *relay.Call) relay.Reply
}

// Models runs calls of model services. Without a Reason the answer was passed
// to sink.
type Models interface {
	Do(ctx context.Context, c *relay.Call, sink relay.Sink) relay.Reply
}

const (
	// defaultDeadline holds for a caller and a route without one.
	defaultDeadline = time.Minute
	// defaultBody holds for a configuration without a limit, in bytes.
	defaultBody = 4 << 20
	// unready is when to come back to an instance that knows no configuration
	// yet: reading it takes a few calls.
	unready = 300 * time.Millisecond
	// firstRules is how long a request waits for the first configuration: an
	// answer that begins within 500 ms is still on time, and a slow store needs
	// 0.25 s for each of the first calls.
	firstRules = 400 * time.Millisecond
	// bodyPause bounds the time for reading a body.
	bodyPause = 15 * time.Second
	// maxUrgency is the last rank that engines know.
	maxUrgency = 9
)

// Server serves callers. Set the exported fields before use.
type Server struct {
	Dialect Dialect
	Rules   Rules
	Plain   Plain
	Models  Models
	// Spans makes a span of each request; nil makes none.
	Spans trace.TracerProvider
	// Ended learns how each request ended; nil tells nobody.
	Ended func(c *relay.Call, r relay.Reply, status int, took time.Duration)
	// Turned learns of each request that was turned away unread; nil tells
	// nobody.
	Turned func(r *http.Request, status int, reason string)
}

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	config := s.rules(r)
	if config == nil {
		s.turn(w, r, http.StatusServiceUnavailable, "no configuration yet", unready)
		return
	}
	c, status, reason := s.admit(config, r, start)
	if status != 0 {
		s.turn(w, r, status, reason, 0)
		return
	}
	if status, reason := s.read(config, w, r, c); status != 0 {
		s.turn(w, r, status, reason, 0)
		return
	}
	s.run(w, r, c)
}

// turn answers a request that is not run at all.
func (s *Server) turn(w http.ResponseWriter, r *http.Request, status int, reason string, after time.Duration) {
	refuse(w, status, reason, after)
	if s.Turned != nil {
		s.Turned(r, status, reason)
	}
}

// rules is what is in force. A process that has just started waits a moment for
// it: after all instances died their callers are back before the store answers,
// and who is refused then has no other try left.
func (s *Server) rules(r *http.Request) *site.Config {
	if config := s.Rules.Config(); config != nil {
		return config
	}
	ctx, cancel := context.WithTimeout(r.Context(), firstRules)
	defer cancel()
	return s.Rules.Await(ctx)
}

// admit finds the route, the team and the time of a request; a status says why
// it is not served.
func (s *Server) admit(config *site.Config, r *http.Request, start time.Time) (c *relay.Call, status int, reason string) {
	route := config.Match(r.Host, r.URL.EscapedPath())
	if route == nil {
		return nil, http.StatusNotFound, "no such route"
	}
	ask, err := s.Dialect.Ask(r.Header)
	if err != nil {
		return nil, http.StatusBadRequest, err.Error()
	}
	c = &relay.Call{Ask: ask, Route: route, Start: start, Urgency: urgency(route.Priority)}
	if config.Keyed() && !route.Open {
		team := config.Team(ask.Key)
		if team == nil {
			return nil, http.StatusUnauthorized, "unknown key"
		}
		c.Team = team.Name
		if team.Priority != nil {
			c.Urgency = urgency(*team.Priority)
		}
	}
	c.Service = config.Service(share(route.Split))
	if c.Service == nil {
		return nil, http.StatusServiceUnavailable, "the route's service is not known"
	}
	c.Until = start.Add(limit(ask.Deadline, route.Timeout))
	return c, 0, ""
}

func urgency(priority int) int { return min(maxUrgency, max(0, priority)) }

// limit is the time for a request: that of the caller or of the route,
// whichever ends first.
func limit(deadline, timeout time.Duration) time.Duration {
	left := defaultDeadline
	if deadline > 0 {
		left = deadline
	}
	if timeout > 0 {
		left = min(left, timeout)
	}
	return left
}

// share draws one of a route's services by weight.
func share(split []site.Share) string {
	sum := 0
	for _, s := range split {
		sum += max(0, s.Weight)
	}
	if sum == 0 {
		return split[0].Service
	}
	n := rand.N(sum)
	for _, s := range split {
		if n -= max(0, s.Weight); n < 0 {
			return s.Service
		}
	}
	return split[0].Service
}

// read takes the body, and the headers in the form in which they are passed
// on.
func (s *Server) read(config *site.Config, w http.ResponseWriter, r *http.Request, c *relay.Call) (status int, reason string) {
	most := config.Limits.Body
	if most <= 0 {
		most = defaultBody
	}
	if config.Limits.Header > 0 && headBytes(r) > config.Limits.Header {
		return http.StatusRequestHeaderFieldsTooLarge, "headers are too large"
	}
	if r.ContentLength > most {
		return http.StatusRequestEntityTooLarge, "body is too large"
	}
	if r.ContentLength != 0 {
		// A caller that stops in its body must not hold the connection for
		// good. The error is that of a writer without deadlines, as in tests.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyPause))
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
		var large *http.MaxBytesError
		switch {
		case errors.As(err, &large):
			return http.StatusRequestEntityTooLarge, "body is too large"
		case err != nil:
			return http.StatusBadRequest, "body is cut"
		}
		c.Body = body
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	}
	c.Method, c.Path, c.Host = r.Method, r.RequestURI, r.Host
	c.Header = r.Header
	relay.Strip(c.Header)
	delete(c.Header, "Content-Length")
	return 0, ""
}

func (s *Server) run(w http.ResponseWriter, r *http.Request, c *relay.Call) {
	var reply relay.Reply
	r, done := s.traced(r, c)
	if c.Service.Model == nil {
		reply = s.Plain.Do(r.Context(), c)
	} else {
		reply = s.Models.Do(r.Context(), c, &sink{w: w})
	}
	status := s.finish(w, reply)
	done(reply, status)
	if s.Ended != nil {
		s.Ended(c, reply, status, time.Since(c.Start))
	}
	if status == 0 {
		// The caller must not take a part for the whole.
		panic(http.ErrAbortHandler)
	}
}

// finish writes the final answer unless it was passed on already. It returns
// its status, or zero if the connection must be broken.
func (s *Server) finish(w http.ResponseWriter, reply relay.Reply) int {
	switch {
	case reply.Reason == relay.ReasonNone && reply.Header == nil:
		return http.StatusOK
	case reply.Reason == relay.ReasonNone:
		pass(w, reply)
		return reply.Status
	case reply.Begun:
		return 0
	}
	status := statusOf(reply)
	after := time.Duration(0)
	if !reply.Ran {
		after = reply.After
	}
	refuse(w, status, reply.Reason.String(), after)
	return status
}

// statusOf is the status of an answer without an upstream's. 503 promises that
// the call has not run and will not.
func statusOf(r relay.Reply) int {
	switch {
	case !r.Ran:
		return http.StatusServiceUnavailable
	case r.Reason == relay.ReasonTimeout:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// pass writes an upstream's answer as it is.
func pass(w http.ResponseWriter, reply relay.Reply) {
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

// refuse writes an answer of the router's own.
func refuse(w http.ResponseWriter, status int, reason string, after time.Duration) {
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

// elsewhere is when a caller comes back whom a stopping instance turned away:
// at once, to another instance.
const elsewhere = 20 * time.Millisecond

// Stopped answers requests that come too late to a stopping instance: they
// have not run, and another instance takes them.
type Stopped struct{}

// ServeHTTP refuses the request.
func (Stopped) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	refuse(w, http.StatusServiceUnavailable, "instance is stopping", elsewhere)
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
