// Package relay forwards a caller's request to upstreams: it sends the request,
// evaluates the response, and retries where that is allowed.
//
// It imports base/site, state/feed, wire/client, wire/events and the logic packages for
// their types. Package front calls it for each request; app/edge assembles it.
package relay

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/crash"
	"fulmarwick/internal/wire/client"

	"github.com/go-faster/errors"
)

// Dialect writes the headers of requests to upstreams and reads the headers of
// their responses.
type Dialect interface {
	SetForwardHeaders(h http.Header, f site.ForwardHeader)
	ParseResponse(status int, h http.Header) site.ResponseHeader
}

// Call is one request of a caller with its route, team and deadline.
type Call struct {
	ParsedHeader site.RequestHeader
	Route        *site.Route
	Service      *site.Service
	Team         string
	// Urgency is the priority rank of the request; 0 is the most urgent.
	Urgency int
	// ShedRank is the rank by which the request may be refused in favour of more urgent ones; 0 is
	// refused last.
	ShedRank int

	Method string
	Path   string
	Host   string
	Header http.Header
	Body   []byte

	// ConfigVersion is the version of the configuration by which the request was accepted.
	ConfigVersion uint64
	// Passed means that another instance passed the request on. It is not passed on again.
	Passed bool
	// Counted means that the request is counted in the retry budget, here or by the instance
	// that passed it on.
	Counted bool
	// Attempted are the engines that may have begun to run the request for the instance that
	// passed it on, and have not exited as far as it knows.
	Attempted []spec.UpstreamID

	// Start is when the request was received.
	Start time.Time
	// Deadline is when the caller or the route stops waiting.
	Deadline time.Time
	// FirstEventDeadline is when the caller leaves if it has received no event; zero means unknown.
	FirstEventDeadline time.Time

	suspects []crash.Key
	// lifetime ends once the answer was written.
	lifetime context.Context
}

// holdMemory keeps memory of an answer counted until the answer was written.
func (c *Call) holdMemory(release func()) { context.AfterFunc(c.lifetime, release) }

// maxParts limits the parts of a prompt that are told apart. Prompts have a few; a caller that
// sends a list of thousands must not fill the messages between instances.
const maxParts = 32

// Suspects returns what of the request may crash upstreams: the request itself, recognized when it
// is sent again, and the parts of its prompt that other requests may share.
func (c *Call) Suspects() []crash.Key {
	if c.suspects == nil {
		c.suspects = []crash.Key{{Fingerprint: crash.Fingerprint(c.Team, c.Path, c.Body)}}
		for _, id := range c.ParsedHeader.SharedParts() {
			key := crash.Key{Fingerprint: crash.PartFingerprint(id), IsPart: true}
			if len(c.suspects) <= maxParts && !slices.Contains(c.suspects, key) {
				c.suspects = append(c.suspects, key)
			}
		}
	}
	return c.suspects
}

// newRequest returns the call as a request to an upstream.
func (c *Call) newRequest(d Dialect, forward site.ForwardHeader) *client.Request {
	forward.Team = c.Team
	forward.Remaining = time.Until(c.Deadline)
	forward.Urgency = c.Urgency
	h := maps.Clone(c.Header)
	d.SetForwardHeaders(h, forward)
	return &client.Request{Method: c.Method, Path: c.Path, Host: c.Host, Header: h, Body: c.Body}
}

// countRequest counts a call that is sent from here in the retry budget, once.
func (c *Call) countRequest(budget RetryBudget) {
	if !c.Counted {
		c.Counted = true
		budget.RecordRequest(c.Service.Name)
	}
}

// CrashTracker tracks the requests that crash upstreams. A request is known by its suspects.
type CrashTracker interface {
	// IsCulprit reports whether a request crashed upstreams and must not be sent
	// any more.
	IsCulprit(suspects []crash.Key) bool
	// CountRequest counts a request of a route.
	CountRequest(route string, suspects []crash.Key)
	// AllowSend returns why a request must not be sent now, or nil: crash.ErrCulprit, or
	// crash.ErrQuarantined if upstreams ended under it and it got no trial. It may wait for
	// the store.
	AllowSend(ctx context.Context, suspects []crash.Key) error
	// Survive records that a run of a request has delivered for crash.SurvivalTime since its
	// first event, or all of its answer.
	Survive(suspects []crash.Key, firstEvent time.Time)
}

// UpstreamNotices records what upstreams say in their answers about later requests.
type UpstreamNotices interface {
	RecordNotice(service string, id spec.UpstreamID, n site.Notice)
	// RecordUnlimited records that an upstream named no rate limit in its answer to a request
	// that was sent at a time.
	RecordUnlimited(id spec.UpstreamID, sentAt time.Time)
	// AcceptsRequests reports whether an upstream may be sent a request now.
	AcceptsRequests(id spec.UpstreamID) bool
}

// readResponse reads the status and headers of the response of an upstream to the call and
// skips responses to other requests. It records the notices in all of them. The request was sent
// at sentAt.
func (c *Call) readResponse(d Dialect, notices UpstreamNotices, conn *client.Conn, from spec.UpstreamID, sentAt time.Time) (resp *http.Response, head site.ResponseHeader, err error) {
	resp, err = conn.ReadResponse(c.Method, func(resp *http.Response) bool {
		head = d.ParseResponse(resp.StatusCode, resp.Header)
		if head.Notice != (site.Notice{}) {
			notices.RecordNotice(c.Service.Name, from, head.Notice)
		}
		if head.Sealed && head.Notice.RateLimit == 0 {
			notices.RecordUnlimited(from, sentAt)
		}
		return head.RequestID == "" || head.RequestID == c.ParsedHeader.ID
	})
	return resp, head, err
}

// Reason is why a call got no response from an upstream.
type Reason int

//go:generate stringer -type=Reason -linecomment -output=reason_string.go

// Reasons why a call got no response from an upstream.
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
	ReasonStopping                        // instance stops
	ReasonRateLimited                     // rate limits of upstreams
	ReasonQuarantined                     // upstreams ended under the request
	ReasonLessUrgent                      // more urgent requests are late
)

// Reply is the final response to a call.
type Reply struct {
	// Status, Header and Body come from an upstream, unless Reason is set.
	Status int
	Header http.Header
	Body   []byte

	Reason Reason
	// MayHaveRun means that an upstream may have run the call. If it is false, the
	// caller is promised that no upstream ran the call or will run it.
	MayHaveRun bool
	// RetryAfter is how long the caller should wait before a retry; zero gives no
	// advice.
	RetryAfter time.Duration
	// Unreached means that the call was not run since this instance does not reach the
	// upstreams that it needs.
	Unreached bool
	// Started means that a part of the response was forwarded already, so that a
	// failure can be signalled only by breaking the caller's connection.
	Started bool
	// SendCount is how many upstreams the call was sent to.
	SendCount int
	// Attempted lists the engines that may have begun to run a model request, here or at instances to which
	// it was passed on.
	Attempted []spec.UpstreamID
	// Upstreams lists the upstreams that the call was sent to.
	Upstreams []spec.UpstreamID
	// FirstEventLatency is the time from Start of the call to the first event of a
	// stream.
	FirstEventLatency time.Duration
	// MaxEventGap is the longest gap between two events.
	MaxEventGap time.Duration
	// MaxEventGapEnd is when that gap ended, counted from Start of the call.
	MaxEventGapEnd time.Duration
	// MaxEventGapPath is the path of engines at that time.
	MaxEventGapPath spec.Chain
}

// restrictedReply returns the reply to a call that must not be sent because of the upstreams
// that ended under it; false if err is no such reason. A culprit gets no Retry-After.
func restrictedReply(err error) (Reply, bool) {
	switch {
	case errors.Is(err, crash.ErrCulprit):
		return Reply{Reason: ReasonPoison}, true
	case errors.Is(err, crash.ErrQuarantined):
		return Reply{Reason: ReasonQuarantined, RetryAfter: crash.TrialInterval}, true
	}
	return Reply{}, false
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// StripHopByHopHeaders removes the headers that apply to a single connection,
// including those that the Connection header lists.
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
