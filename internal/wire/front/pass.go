package front

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/wire/guard"
	"fulmarwick/internal/wire/relay"
)

// unreachedHeader marks the refusal of a passed request by an instance that does not reach the
// upstreams either. It does not leave the instances.
const unreachedHeader = "Fulmarwick-Unreached"

// Passed is a request that another instance passed on.
type Passed struct {
	Method, URI, Host string
	Header            http.Header
	Body              []byte
	// LastEvent is the ID of the last event that the caller has.
	LastEvent int
	// Config is the version of the configuration by which the request was accepted.
	Config uint64
	// Counted means that the request is counted in the retry budget already.
	Counted bool
	// Attempted are the engines that may have begun to run the request.
	Attempted []spec.UpstreamID
	// EventTimeout is how long the caller still waits for an event; zero means unknown.
	EventTimeout time.Duration
}

type passedKey struct{}

// passedFrom returns what is known of a request that another instance passed on; nil for a
// caller's own.
func passedFrom(ctx context.Context) *Passed {
	p, _ := ctx.Value(passedKey{}).(*Passed)
	return p
}

// ServePassed serves a request that another instance passed on. The deadline of ctx is that of
// its caller.
func (s *Server) ServePassed(ctx context.Context, w http.ResponseWriter, p Passed) {
	target, err := url.ParseRequestURI(p.URI)
	if err != nil {
		writeRefusal(w, http.StatusBadRequest, "malformed URI", 0)
		return
	}
	if config := s.ConfigSource.Config(); config == nil || config.Version < p.Config {
		// The older configuration may not allow what the newer one does.
		RefuseUnreached(w, "configuration is older")
		return
	}
	r := (&http.Request{
		Method: p.Method, URL: target, Host: p.Host, RequestURI: p.URI, Header: p.Header, Body: http.NoBody,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(p.Body)),
	}).WithContext(context.WithValue(ctx, passedKey{}, &p))
	claim := s.Account.Open(false, func() {})
	defer claim.Close()
	if !claim.Grow(guard.HeadCost(r) + int64(len(p.Body))) {
		RefuseUnreached(w, "no memory for the request")
		return
	}
	s.ServeHTTP(w, r)
}

// apply sets what a call that was passed on has besides its headers.
func (p *Passed) apply(ctx context.Context, c *relay.Call) {
	c.Passed, c.Counted, c.Attempted = true, p.Counted, p.Attempted
	c.ParsedHeader.LastEventID = max(c.ParsedHeader.LastEventID, p.LastEvent)
	if p.EventTimeout > 0 {
		c.FirstEventDeadline = time.Now().Add(p.EventTimeout)
	}
	if deadline, ok := ctx.Deadline(); ok && deadline.Before(c.Deadline) {
		c.Deadline = deadline
	}
}

// setAttempted tells the instance that passed a request on which engines may have begun to run it.
func setAttempted(h http.Header, engines []spec.UpstreamID) {
	names := []string{}
	for _, id := range engines {
		names = append(names, string(id))
	}
	h[http.TrailerPrefix+relay.TrailerAttempted] = names
}

// RefuseUnreached refuses a passed request so that it is passed to another instance.
func RefuseUnreached(w http.ResponseWriter, reason string) {
	w.Header().Set(unreachedHeader, "1")
	writeRefusal(w, http.StatusServiceUnavailable, reason, 0)
}

// IsUnreached reports whether an instance refused a passed request since it does not reach the
// upstreams either.
func IsUnreached(resp *http.Response) bool {
	return resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(unreachedHeader) != ""
}
