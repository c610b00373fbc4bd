// Package front is the HTTP server for callers: it finds the route and the team of a
// request, reads the request completely, passes it to a runner and forwards the response.
//
// It imports base/site, wire/guard and wire/relay. Package app/edge serves its Server.
package front

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/wire/guard"
	"fulmarwick/internal/wire/relay"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/trace"
)

// Dialect parses the headers of a caller's request.
type Dialect interface {
	ParseRequest(h http.Header) (site.RequestHeader, error)
}

// ConfigSource provides the configuration in force.
type ConfigSource interface {
	// Config returns the current configuration; nil if none is known yet.
	Config() *site.Config
	// AwaitConfig waits for the first configuration; nil if ctx ends first.
	AwaitConfig(ctx context.Context) *site.Config
}

// PlainRunner runs calls to plain services.
type PlainRunner interface {
	Do(ctx context.Context, c *relay.Call) relay.Reply
}

// ModelRunner runs calls to model services. If the reply has no Reason, the response
// was written to sink.
type ModelRunner interface {
	Do(ctx context.Context, c *relay.Call, sink relay.Sink) relay.Reply
}

const (
	// defaultDeadline applies if neither the caller nor the route sets a time limit.
	defaultDeadline = time.Minute
	// defaultMaxBodyBytes applies to a configuration without a limit, in bytes.
	defaultMaxBodyBytes = 4 << 20
	// notReadyRetryAfter is the Retry-After of an instance without a configuration:
	// reading the configuration takes a few calls.
	notReadyRetryAfter = 300 * time.Millisecond
	// firstConfigTimeout is how long a request waits for the first configuration: a
	// response that starts within 500 ms is still on time, and a slow store needs
	// 0.25 s for each of the first calls.
	firstConfigTimeout = 400 * time.Millisecond
	// bodyReadTimeout limits the time for reading a body.
	bodyReadTimeout = 15 * time.Second
)

// Server is the HTTP handler for callers. Set the exported fields before use.
type Server struct {
	Dialect      Dialect
	ConfigSource ConfigSource
	PlainRunner  PlainRunner
	ModelRunner  ModelRunner
	// Account is what callers hold; requests that other instances pass on count in it too. It may be nil.
	Account *guard.Account
	// LastCall ends shortly before the process is killed; nil means that it never is.
	LastCall context.Context
	// TracerProvider creates a span for each request; nil creates none.
	TracerProvider trace.TracerProvider
	// OnRequestEnd is called with the result of each request; it may be nil.
	OnRequestEnd func(c *relay.Call, r relay.Reply, status int, took time.Duration)
	// OnReject is called for each request that was rejected before it was run; it may
	// be nil.
	OnReject func(r *http.Request, status int, reason string)
	// OnPanic is called with the value of a panic while a request was served; it may be
	// nil. The connection is then closed without a response.
	OnPanic func(r *http.Request, value any)
}

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer s.reportPanic(r)
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
		s.reject(w, r, status, reason, retryAfterOf(status))
		return
	}
	s.forward(w, r, c)
}

// reportPanic reports a panic that is in progress and lets it continue, so that net/http
// closes the connection. It must be called directly by a deferred call.
func (s *Server) reportPanic(r *http.Request) {
	value := recover()
	if value == nil {
		return
	}
	err, isError := value.(error)
	if aborted := isError && errors.Is(err, http.ErrAbortHandler); !aborted && s.OnPanic != nil {
		s.OnPanic(r, value)
	}
	panic(value)
}

// reject responds to a request that is not run at all.
func (s *Server) reject(w http.ResponseWriter, r *http.Request, status int, reason string, after time.Duration) {
	writeRefusal(w, status, reason, after)
	if s.OnReject != nil {
		s.OnReject(r, status, reason)
	}
}

// currentConfig returns the configuration in force. A process that has just started waits
// a moment for the first one: after a crash of all instances, callers return before the
// store responds, and a caller that is rejected then has no retry left.
func (s *Server) currentConfig(r *http.Request) *site.Config {
	if config := s.ConfigSource.Config(); config != nil {
		return config
	}
	ctx, cancel := context.WithTimeout(r.Context(), firstConfigTimeout)
	defer cancel()
	return s.ConfigSource.AwaitConfig(ctx)
}

// newCall finds the route, the team and the deadline of a request. A non-zero status and
// reason say why the request is not served.
func (s *Server) newCall(config *site.Config, r *http.Request, start time.Time) (c *relay.Call, status int, reason string) {
	route := config.Match(r.Host, r.URL.EscapedPath())
	if route == nil {
		return nil, http.StatusNotFound, "no such route"
	}
	parsed, err := s.Dialect.ParseRequest(r.Header)
	if err != nil {
		return nil, http.StatusBadRequest, err.Error()
	}
	c = &relay.Call{ParsedHeader: parsed, Route: route, Start: start, ConfigVersion: config.Version}
	var team *site.Team
	if config.RequiresKey() && !route.AuthExempt {
		if team = config.TeamByKey(parsed.Key); team == nil {
			return nil, http.StatusUnauthorized, "unknown key"
		}
		c.Team = team.Name
	}
	c.Service = config.Service(pickService(route.Split))
	if c.Service == nil {
		return nil, http.StatusServiceUnavailable, "the route's service is not known"
	}
	c.Urgency, c.ShedRank = config.Urgency(c.Service.Name, route, team), config.ShedRank(c.Service.Name, route, team)
	c.Deadline = start.Add(requestTimeout(parsed.Timeout, route.Timeout))
	if route.EventTimeout > 0 {
		c.FirstEventDeadline = start.Add(route.EventTimeout)
	}
	if passed := passedFrom(r.Context()); passed != nil {
		passed.apply(r.Context(), c)
	}
	return c, 0, ""
}

// requestTimeout returns the timeout of a request: that of the caller or of the route,
// whichever is shorter.
func requestTimeout(callerTimeout, routeTimeout time.Duration) time.Duration {
	timeout := defaultDeadline
	if callerTimeout > 0 {
		timeout = callerTimeout
	}
	if routeTimeout > 0 {
		timeout = min(timeout, routeTimeout)
	}
	return timeout
}

// pickService picks one of a route's services at random, by weight.
func pickService(split []site.Share) string {
	total := 0
	for _, s := range split {
		total += max(0, s.Weight)
	}
	if total == 0 {
		return split[0].Service
	}
	n := rand.N(total)
	for _, s := range split {
		if n -= max(0, s.Weight); n < 0 {
			return s.Service
		}
	}
	return split[0].Service
}

// readRequest reads the body into the call and prepares the headers for forwarding.
func (s *Server) readRequest(config *site.Config, w http.ResponseWriter, r *http.Request, c *relay.Call) (status int, reason string) {
	maxBodyBytes := config.Limits.MaxBodyBytes
	if maxBodyBytes <= 0 {
		maxBodyBytes = defaultMaxBodyBytes
	}
	if config.Limits.MaxHeaderBytes > 0 && headBytes(r) > config.Limits.MaxHeaderBytes {
		return http.StatusRequestHeaderFieldsTooLarge, "headers are too large"
	}
	if r.ContentLength > maxBodyBytes {
		return http.StatusRequestEntityTooLarge, "body is too large"
	}
	if passed := passedFrom(r.Context()); passed != nil {
		c.Body = passed.Body
	} else if r.ContentLength != 0 {
		deadline := time.Now().Add(bodyReadTimeout)
		if c.Deadline.Before(deadline) {
			deadline = c.Deadline
		}
		var err error
		if c.Body, err = (guard.Body{MaxBytes: maxBodyBytes, Deadline: deadline}).Read(w, r); err != nil {
			return bodyRefusal(err)
		}
	}
	c.Method, c.Path, c.Host = r.Method, r.RequestURI, r.Host
	c.Header = r.Header
	relay.StripHopByHopHeaders(c.Header)
	delete(c.Header, "Content-Length")
	return 0, ""
}

// errStopping is the cancellation cause of requests that are ended before the process is
// killed.
var errStopping = errors.New("front: instance is stopping")

// run runs the call. If the process is about to be killed and the answer has not begun, the
// call is ended with cancel, so that its caller gets an answer of the router at least.
func (s *Server) run(ctx context.Context, cancel context.CancelCauseFunc, w http.ResponseWriter, c *relay.Call) relay.Reply {
	sink := &callerSink{w: w}
	if s.LastCall != nil {
		defer context.AfterFunc(s.LastCall, func() {
			if !sink.begun.Load() {
				cancel(errStopping)
			}
		})()
	}
	var reply relay.Reply
	if c.Service.Model == nil {
		reply = s.PlainRunner.Do(ctx, c)
	} else {
		reply = s.ModelRunner.Do(ctx, c, sink)
	}
	if reply.Reason == relay.ReasonCallerLeft && errors.Is(context.Cause(ctx), errStopping) {
		reply.Reason, reply.RetryAfter = relay.ReasonStopping, stoppingRetryAfter
	}
	return reply
}

func (s *Server) forward(w http.ResponseWriter, r *http.Request, c *relay.Call) {
	r, endSpan := s.startSpan(r, c)
	// The answer is in memory until it is written.
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	reply := s.run(ctx, cancel, w, c)
	status := s.writeReply(w, r, reply)
	if passedFrom(r.Context()) != nil {
		setAttempted(w.Header(), reply.Attempted)
	}
	endSpan(reply, status)
	if s.OnRequestEnd != nil {
		s.OnRequestEnd(c, reply, status, time.Since(c.Start))
	}
	if status == 0 {
		// The caller must not take a partial response for the complete one.
		panic(http.ErrAbortHandler)
	}
}
