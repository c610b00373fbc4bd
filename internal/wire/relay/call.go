// Package relay runs a caller's request on upstreams: it sends, judges what
// comes back, and sends again where that is allowed.
//
// It imports base/site, state/feed, wire/client, wire/events and the logic packages for
// their types. Package front calls it for each request; app/edge puts it together.
package relay

import (
	"maps"
	"net/http"
	"time"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/crash"
	"fulmarwick/internal/wire/client"
)

// Dialect writes the headers for upstreams and reads those of their answers.
type Dialect interface {
	SetForwardHeaders(h http.Header, f site.ForwardHeader)
	ParseResponse(status int, h http.Header) site.ResponseHeader
}

// Call is one request of a caller.
type Call struct {
	ParsedHeader site.RequestHeader
	Route        *site.Route
	Service      *site.Service
	Team         string
	// Urgency is the rank of the request, 0 first.
	Urgency int

	Method string
	Path   string
	Host   string
	Header http.Header
	Body   []byte

	// Start is when the request was read, Until when its caller or its route
	// waits no longer.
	Start    time.Time
	Deadline time.Time

	fingerprint uint64
}

// Fingerprint is the fingerprint by which the request is known when it comes again.
func (c *Call) Fingerprint() uint64 {
	if c.fingerprint == 0 {
		c.fingerprint = crash.Fingerprint(c.Team, c.Path, c.Body)
	}
	return c.fingerprint
}

// newRequest is the call in the form for an upstream.
func (c *Call) newRequest(d Dialect, f site.ForwardHeader) *client.Request {
	f.Team = c.Team
	f.Remaining = time.Until(c.Deadline)
	f.Urgency = c.Urgency
	h := maps.Clone(c.Header)
	d.SetForwardHeaders(h, f)
	return &client.Request{Method: c.Method, Path: c.Path, Host: c.Host, Header: h, Body: c.Body}
}

// CrashTracker knows the requests on whose runs upstreams die.
type CrashTracker interface {
	// IsCulprit reports whether a request must not be sent any more.
	IsCulprit(print uint64) bool
	// Clear tells that a request was answered.
	Clear(print uint64)
}

// readResponse reads the head of the answer to the call, past those to others.
func (c *Call) readResponse(d Dialect, conn *client.Conn) (resp *http.Response, head site.ResponseHeader, err error) {
	resp, err = conn.ReadResponse(c.Method, func(resp *http.Response) bool {
		head = d.ParseResponse(resp.StatusCode, resp.Header)
		return head.RequestID == "" || head.RequestID == c.ParsedHeader.ID
	})
	return resp, head, err
}

// Reason says why a call has no answer of an upstream.
type Reason int

//go:generate stringer -type=Reason -linecomment -output=reason_string.go

// The reasons.
const (
	ReasonNone              Reason = iota // answered
	ReasonNoCapacity                      // no room
	ReasonNoUpstream                      // no upstream
	ReasonRefused                         // refused by upstreams
	ReasonResponseLost                    // answer lost
	ReasonTimeout                         // timeout
	ReasonCallerLeft                      // caller left
	ReasonPoison                          // request crashes upstreams
	ReasonReserved                        // room kept for other teams
	ReasonAttemptsExhausted               // attempts used up
)

// Reply is the final answer to a call.
type Reply struct {
	// Status and the rest come from an upstream, unless Reason is set.
	Status int
	Header http.Header
	Body   []byte

	Reason Reason
	// MayHaveRun tells that an upstream may have run the call; without it the caller
	// is promised that none did or will.
	MayHaveRun bool
	// RetryAfter is when the caller should come back; zero says nothing.
	RetryAfter time.Duration
	// Started tells that a part of the answer was passed on, so that only
	// breaking the connection tells the caller of the failure.
	Started bool
	// SendCount is how many upstreams the call was sent to, Upstreams which ones.
	SendCount int
	Upstreams []spec.UpstreamID
	// FirstEventLatency is the time to the first event of a stream, Pause the longest one
	// between events; PauseAt is when that ended and PausePath the engines then.
	FirstEventLatency time.Duration
	MaxEventGap       time.Duration
	MaxEventGapEnd    time.Duration
	MaxEventGapPath   spec.Chain
}

// hopByHopHeaders concern one connection only.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// StripHopByHopHeaders removes the headers that concern one connection only.
func StripHopByHopHeaders(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range splitList(list) {
			h.Del(name)
		}
	}
	for _, name := range hopByHopHeaders {
		delete(h, name)
	}
}
