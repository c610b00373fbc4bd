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
	"time"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/wire/relay"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/trace"
)

// Dialect reads the headers of a caller's request.
type Dialect interface {
	ParseRequest(h http.Header) (site.RequestHeader, error)
}

// ConfigSource gives what is in force; nil until something is known.
type ConfigSource interface {
	Config() *site.Config
	// AwaitConfig waits for the first configuration; nil if none came in time.
	AwaitConfig(ctx context.Context) *site.Config
}

// PlainRunner runs calls of plain services.
type PlainRunner interface {
	Do(ctx context.Context, c *relay.Call) relay.Reply
}

// ModelRunner runs calls of model services. Without a Reason the answer was passed
// to sink.
type ModelRunner interface {
	Do(ctx context.Context, c *relay.Call, sink relay.Sink) relay.Reply
}

const (
	// defaultDeadline holds for a caller and a route without one.
	defaultDeadline = time.Minute
	// defaultMaxBodyBytes holds for a configuration without a limit, in bytes.
	defaultMaxBodyBytes = 4 << 20
	// notReadyRetryAfter is when to come back to an instance that knows no configuration
	// yet: reading it takes a few calls.
	notReadyRetryAfter = 300 * time.Millisecond
	// firstConfigTimeout is how long a request waits for the first configuration: an
	// answer that begins within 500 ms is still on time, and a slow store needs
	// 0.25 s for each of the first calls.
	firstConfigTimeout = 400 * time.Millisecond
	// bodyReadTimeout bounds the time for reading a body.
	bodyReadTimeout = 15 * time.Second
	// maxUrgency is the last rank that engines know.
	maxUrgency = 9
)

// Server serves callers. Set the exported fields before use.
type Server struct {
	Dialect      Dialect
	ConfigSource ConfigSource
	PlainRunner  PlainRunner
	ModelRunner  ModelRunner
	// TracerProvider makes a span of each request; nil makes none.
	TracerProvider trace.TracerProvider
	// OnRequestEnd learns how each request ended; nil tells nobody.
	OnRequestEnd func(c *relay.Call, r relay.Reply, status int, took time.Duration)
	// OnReject learns of each request that was turned away unread; nil tells
	// nobody.
	OnReject func(r *http.Request, status int, reason string)
}

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	config := s.currentConfig(r)
	if config == nil {
		s.reject(w, r, http.StatusServiceUnavailable, "no configuration yet", notReadyRetryAfter)
		return
	}
	c, status, reason := s.newCall(config, r, start)
	if status != 0 {
		s.reject(w, r, status, reason, 0)
		return
	}
	if status, reason := s.readRequest(config, w, r, c); status != 0 {
		s.reject(w, r, status, reason, 0)
		return
	}
	s.forward(w, r, c)
}

// reject answers a request that is not run at all.
func (s *Server) reject(w http.ResponseWriter, r *http.Request, status int, reason string, after time.Duration) {
	writeRefusal(w, status, reason, after)
	if s.OnReject != nil {
		s.OnReject(r, status, reason)
	}
}

// currentConfig is what is in force. A process that has just started waits a moment for
// it: after all instances died their callers are back before the store answers,
// and who is refused then has no other try left.
func (s *Server) currentConfig(r *http.Request) *site.Config {
	if config := s.ConfigSource.Config(); config != nil {
		return config
	}
	ctx, cancel := context.WithTimeout(r.Context(), firstConfigTimeout)
	defer cancel()
	return s.ConfigSource.AwaitConfig(ctx)
}

// newCall finds the route, the team and the time of a request; a status says why
// it is not served.
func (s *Server) newCall(config *site.Config, r *http.Request, start time.Time) (c *relay.Call, status int, reason string) {
	route := config.Match(r.Host, r.URL.EscapedPath())
	if route == nil {
		return nil, http.StatusNotFound, "no such route"
	}
	ask, err := s.Dialect.ParseRequest(r.Header)
	if err != nil {
		return nil, http.StatusBadRequest, err.Error()
	}
	c = &relay.Call{ParsedHeader: ask, Route: route, Start: start, Urgency: urgency(route.Priority)}
	if config.RequiresKey() && !route.AuthExempt {
		team := config.TeamByKey(ask.Key)
		if team == nil {
			return nil, http.StatusUnauthorized, "unknown key"
		}
		c.Team = team.Name
		if team.Priority != nil {
			c.Urgency = urgency(*team.Priority)
		}
	}
	c.Service = config.Service(pickService(route.Split))
	if c.Service == nil {
		return nil, http.StatusServiceUnavailable, "the route's service is not known"
	}
	c.Deadline = start.Add(requestTimeout(ask.Timeout, route.Timeout))
	return c, 0, ""
}

func urgency(priority int) int { return min(maxUrgency, max(0, priority)) }

// requestTimeout is the time for a request: that of the caller or of the route,
// whichever ends first.
func requestTimeout(deadline, timeout time.Duration) time.Duration {
	left := defaultDeadline
	if deadline > 0 {
		left = deadline
	}
	if timeout > 0 {
		left = min(left, timeout)
	}
	return left
}

// pickService draws one of a route's services by weight.
func pickService(split []site.Share) string {
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

// readRequest takes the body, and the headers in the form in which they are passed
// on.
func (s *Server) readRequest(config *site.Config, w http.ResponseWriter, r *http.Request, c *relay.Call) (status int, reason string) {
	most := config.Limits.MaxBodyBytes
	if most <= 0 {
		most = defaultMaxBodyBytes
	}
	if config.Limits.MaxHeaderBytes > 0 && headBytes(r) > config.Limits.MaxHeaderBytes {
		return http.StatusRequestHeaderFieldsTooLarge, "headers are too large"
	}
	if r.ContentLength > most {
		return http.StatusRequestEntityTooLarge, "body is too large"
	}
	if r.ContentLength != 0 {
		// A caller that stops in its body must not hold the connection for
		// good. The error is that of a writer without deadlines, as in tests.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyReadTimeout))
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
	relay.StripHopByHopHeaders(c.Header)
	delete(c.Header, "Content-Length")
	return 0, ""
}

func (s *Server) forward(w http.ResponseWriter, r *http.Request, c *relay.Call) {
	var reply relay.Reply
	r, done := s.startSpan(r, c)
	if c.Service.Model == nil {
		reply = s.PlainRunner.Do(r.Context(), c)
	} else {
		reply = s.ModelRunner.Do(r.Context(), c, &callerSink{w: w})
	}
	status := s.writeReply(w, reply)
	done(reply, status)
	if s.OnRequestEnd != nil {
		s.OnRequestEnd(c, reply, status, time.Since(c.Start))
	}
	if status == 0 {
		// The caller must not take a part for the whole.
		panic(http.ErrAbortHandler)
	}
}
