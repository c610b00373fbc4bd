package relay

import (
	"context"
	"net/http"
	"slices"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/crash"
	"fulmarwick/internal/state/feed"
	"fulmarwick/internal/wire/bound"
	"fulmarwick/internal/wire/client"

	"github.com/go-faster/errors"
)

// maxPasses limits how often a request is passed on after the instance that served it was lost.
const maxPasses = 3

// Errors of calls that are passed on to another instance.
var (
	// ErrNoPeer means that no other instance took the call. It was not run.
	ErrNoPeer = errors.New("relay: no other instance takes the request")
	// ErrPeerLost means that an instance took the call and no response came.
	ErrPeerLost = errors.New("relay: instance with the request lost")
)

// PassCause is why a call is passed on.
type PassCause int

//go:generate stringer -type=PassCause -linecomment -output=passcause_string.go

// Causes why a call is passed on.
const (
	// PassUnreached means that this instance does not reach the upstreams that the call needs.
	PassUnreached PassCause = iota // unreached
	// PassLimited means that this instance has used up its part of the upstreams' rate limits.
	// Others have theirs, which they may not need.
	PassLimited // limited
)

// Peers passes calls on to other instances, for an instance that can't run them itself.
type Peers interface {
	// LinksLost reports whether this instance has lost its links to all upstreams.
	LinksLost() bool
	// Pass passes a call on to an instance that can run it and returns the response. The
	// caller has the events up to lastEventID. The error is ErrNoPeer or ErrPeerLost.
	Pass(ctx context.Context, c *Call, cause PassCause, lastEventID int) (*http.Response, error)
}

// mayPass reports whether a call may be passed on: it is, once at most.
func (c *Call) mayPass(peers Peers) bool { return peers != nil && !c.Passed }

// cause returns why another instance may be able to run a call that was not run here; false if none
// may.
func (r Reply) cause() (PassCause, bool) {
	switch {
	case r.MayHaveRun:
		return 0, false
	case r.Unreached:
		return PassUnreached, true
	}
	return PassLimited, r.Reason == ReasonRateLimited
}

// CanRunElsewhere reports whether another instance may be able to run a call that was not run here.
func (r Reply) CanRunElsewhere() bool {
	_, ok := r.cause()
	return ok
}

// unreachedReply is the reply to a call that was passed on to an instance without links itself.
func unreachedReply() Reply { return Reply{Reason: ReasonNoUpstream, Unreached: true} }

// passOn passes the call on; false if no other instance took it. The instance that takes it makes one
// attempt.
func (p *PlainRunner) passOn(ctx context.Context, c *Call, cause PassCause) (Reply, bool) {
	var failed Reply
	for pass := 1; ; pass++ {
		reply, err := p.passOnce(ctx, c, cause)
		switch {
		case errors.Is(err, ErrNoPeer):
			return failed, pass > 1
		case reply.isFinal(), !reply.MayHaveRun && pass == 1:
			return reply, true
		case !reply.MayHaveRun:
			// It says nothing of the attempts before.
			return failed, true
		}
		if pass == 1 || err == nil {
			failed = reply
		}
		if ctx.Err() != nil || !c.Route.Retryable() || pass >= min(maxPasses, c.Route.MaxAttempts) || !p.RetryBudget.AllowRetry(c.Service.Name) {
			return failed, true
		}
	}
}

// passOnce passes the call on to one instance and returns the reply, also if it was lost.
func (p *PlainRunner) passOnce(ctx context.Context, c *Call, cause PassCause) (Reply, error) {
	resp, err := p.Peers.Pass(ctx, c, cause, 0) //nolint:bodyclose // readReply closes it.
	if err != nil {
		return lostReply(ctx), err
	}
	reply, err := c.readReply(p.Memory, resp)
	if err != nil {
		return lostReply(ctx), err
	}
	return reply, nil
}

// isFinal reports whether a reply of an upstream needs no retry.
func (r Reply) isFinal() bool {
	return r.Reason == ReasonNone && r.Status < http.StatusInternalServerError
}

// lostReply returns the reply to a call whose response was lost or did not come in time.
func lostReply(ctx context.Context) Reply {
	r := Reply{Reason: ReasonResponseLost, MayHaveRun: true}
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		r.Reason = ReasonCallerLeft
	case ctx.Err() != nil:
		r.Reason = ReasonTimeout
	}
	return r
}

// readReply reads the whole response of another instance.
func (c *Call) readReply(memory *bound.Memory, resp *http.Response) (Reply, error) {
	defer func() { _ = resp.Body.Close() }()
	body, release, err := memory.ReadAll(resp.Body, maxPlainBodyBytes)
	c.holdMemory(release)
	if err != nil {
		return Reply{}, errors.Wrap(client.ErrRead, "response truncated or too long")
	}
	return Reply{Status: resp.StatusCode, Header: resp.Header, Body: body, MayHaveRun: resp.StatusCode != http.StatusServiceUnavailable, SendCount: 1}, nil
}

// passOn passes the request on to another instance, from the last event that the caller has.
// done is false if the request has to be run here, or passed on again.
func (c *modelCall) passOn(cause PassCause) (reply Reply, done bool) {
	if !c.call.mayPass(c.runner.Peers) || c.passes >= maxPasses {
		return Reply{}, false
	}
	c.call.Attempted = c.attemptedEngines()
	resp, err := c.runner.Peers.Pass(c.ctx, c.call, cause, c.lastEventID) //nolint:bodyclose // readPassed closes it.
	if errors.Is(err, ErrNoPeer) {
		return Reply{}, false
	}
	if err == nil {
		reply, done, err = c.readPassed(resp)
	}
	if err == nil {
		return reply, done
	}
	c.passes++
	c.mayHaveRun = true
	c.noRetryReason = ReasonResponseLost
	c.recordPassed(resp)
	if !c.hasAttemptLeft() {
		c.noRetryReason = ReasonAttemptsExhausted
		return c.failedReply(err), true
	}
	if c.ctx.Err() != nil || errors.Is(err, errCallerGone) || !c.call.Route.Retryable() || !c.takeRetry() {
		return c.failedReply(err), true
	}
	return Reply{}, false
}

// TrailerAttempted names the engines that may have begun to run a passed request. It does not leave the
// instances.
const TrailerAttempted = "Fulmarwick-Attempted"

// recordPassed records the attempts of another instance whose response was lost or is a failure: those that
// it tells, else the one that it makes at most, at an engine that is not known here.
func (c *modelCall) recordPassed(resp *http.Response) {
	if resp == nil || resp.Trailer[TrailerAttempted] == nil {
		c.attempts = append(c.attempts, crash.Process{})
		return
	}
	for _, engine := range resp.Trailer[TrailerAttempted] {
		id := spec.UpstreamID(engine)
		if !slices.ContainsFunc(c.attempts, func(p crash.Process) bool { return p.Upstream == id }) {
			c.attempts = append(c.attempts, crash.Process{Upstream: id})
		}
	}
}

// errPassedFailed means that another instance took the request and could not complete the answer.
var errPassedFailed = errors.New("relay: passed request failed")

// readPassed forwards the response of another instance. A failure is one of an attempt. If the caller
// has a part of the answer, a refusal is not passed to it.
func (c *modelCall) readPassed(resp *http.Response) (reply Reply, done bool, err error) {
	defer func() { _ = resp.Body.Close() }()
	head := c.runner.Dialect.ParseResponse(resp.StatusCode, resp.Header)
	if resp.StatusCode == http.StatusOK && head.Sealed {
		run := NewRun(nil, nil)
		run.Service = c.call.Service.Name
		if err := c.forwardEvents(run, resp); err != nil {
			return Reply{}, false, err
		}
		return Reply{SendCount: c.runs + c.passes, MayHaveRun: true}, true, nil
	}
	reply, err = c.call.readReply(c.runner.Memory, resp)
	switch {
	case err != nil:
		return Reply{}, false, err
	case reply.MayHaveRun && reply.Status >= http.StatusInternalServerError:
		if head.Sealed {
			failure := reply
			c.errorReply = &failure
		}
		return Reply{}, false, errPassedFailed
	case c.hasPartialAnswer():
		feed.Sleep(c.ctx, maxRetryBackoff)
		return Reply{}, false, nil
	case c.mayHaveRun && !reply.MayHaveRun:
		c.noRetryReason = ReasonResponseLost
		return c.failedReply(errUnsent), true, nil
	}
	return reply, true, nil
}
