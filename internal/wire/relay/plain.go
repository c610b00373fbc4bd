package relay

import (
	"context"
	"time"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/crash"
	"fulmarwick/internal/route/path"
	"fulmarwick/internal/wire/bound"
	"fulmarwick/internal/wire/client"

	"github.com/go-faster/errors"
)

// UpstreamSelector selects among the upstreams of plain services, based on the
// outcomes of earlier requests.
type UpstreamSelector interface {
	// Pick selects an upstream that is not in avoid for a request with these suspects. The
	// error is ErrNoUpstream if there is none, path.ErrRateLimited if rate limits leave none, or
	// that of CrashTracker.AllowSend.
	Pick(service string, suspects []crash.Key, avoid []spec.UpstreamID) (site.Upstream, error)
	// RecordOutcome records how a request to an upstream ended.
	RecordOutcome(up site.Upstream, sent SentRequest)
	StartCooldown(up site.Upstream)
	ApplyReportedLoad(up site.Upstream, load site.Load)
	ExpectedLatency(up site.Upstream) time.Duration
	// BackoffLeft returns how long it takes until an upstream of a service accepts requests
	// again, if all of them asked for backoff.
	BackoffLeft(service string) time.Duration
}

// RetryBudget limits how often requests are retried.
type RetryBudget interface {
	RecordRequest(service string)
	AllowRetry(service string) bool
}

const (
	// maxPlainBodyBytes limits the body of a plain response in bytes: the body is
	// buffered completely before any of it is forwarded, so that the call can be
	// retried if the response breaks off.
	maxPlainBodyBytes = 8 << 20
	// maxSends limits how often one call is sent, refused sends included.
	maxSends = 4
	// hedgeLatencyFactor is after how many times the expected latency a hedged
	// request is sent to a second upstream: 1 in 100 responses takes five times the
	// usual work.
	hedgeLatencyFactor = 3
	// minHedgeDelay is the shortest delay before a hedged request.
	minHedgeDelay = 40 * time.Millisecond
	// plainRetryAfter is the Retry-After for callers of a plain service without free
	// capacity: several times the usual response time.
	plainRetryAfter = 200 * time.Millisecond
)

// PlainRunner runs calls on plain services. Set the exported fields before use.
type PlainRunner struct {
	Dialect     Dialect
	Pool        *client.Pool
	Upstreams   UpstreamSelector
	RetryBudget RetryBudget
	Notices     UpstreamNotices
	// CrashTracker tracks requests that crash upstreams.
	CrashTracker CrashTracker
	// Peers passes calls on that reach no upstream from here; nil passes none on.
	Peers Peers
	// Memory limits the bodies that are in memory together; nil means no limit.
	Memory *bound.Memory
}

// ErrNoUpstream means that no upstream of a service can be used.
var ErrNoUpstream = errors.New("relay: no upstream")

// errNotAccepting means that an upstream asked for no requests after it was chosen.
var errNotAccepting = errors.New("relay: upstream accepts no requests at present")

// sendResult is the result of sending the call to one upstream.
type sendResult struct {
	upstream site.Upstream
	response *Reply
	// notRun means that the upstream has not run the call and will not run it.
	notRun bool
	// unsent means that no byte of the call was sent.
	unsent bool
	err    error
}

// succeeded reports whether the response needs no retry.
func (r *sendResult) succeeded() bool {
	return r.response != nil && !r.notRun && r.response.isFinal()
}

// Do runs the call and returns the final reply. Its body counts as memory in use until ctx ends.
func (p *PlainRunner) Do(ctx context.Context, c *Call) Reply {
	c.lifetime = ctx
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	if p.CrashTracker.IsCulprit(c.Suspects()) {
		return Reply{Reason: ReasonPoison}
	}
	if p.Peers != nil && p.Peers.LinksLost() {
		if c.Passed {
			return unreachedReply()
		}
		if reply, ok := p.passOn(ctx, c, PassUnreached); ok {
			return reply
		}
	}
	c.countRequest(p.RetryBudget)
	pc := &plainCall{runner: p, call: c, ctx: ctx, results: make(chan *sendResult, maxSends)}
	reply := pc.run()
	if cause, ok := reply.cause(); ok && c.mayPass(p.Peers) {
		if passed, ok := p.passOn(ctx, c, cause); ok {
			return passed
		}
	}
	return reply
}

// plainCall is the state of one call across its attempts. An idempotent call may
// have two attempts in flight; any other call has one, and a second attempt only if
// the upstream did not run the first.
type plainCall struct {
	runner  *PlainRunner
	call    *Call
	ctx     context.Context
	results chan *sendResult

	sentTo   []site.Upstream
	inFlight int
	// mayHaveRunCount is how many upstreams may have run the call.
	mayHaveRunCount int
	// unreached means that an upstream accepted no connection.
	unreached  bool
	lastResult *sendResult
}

func (c *plainCall) run() Reply {
	if err := c.sendNext(); err != nil {
		return c.refusedReply(err)
	}
	hedge := time.NewTimer(c.hedgeDelay())
	defer hedge.Stop()
	for {
		select {
		case result := <-c.results:
			c.inFlight--
			if reply, done := c.handleResult(result); done {
				return c.withUpstreams(reply)
			}
		case <-hedge.C:
			if c.canRetry() {
				c.retry()
			}
		case <-c.ctx.Done():
			return c.withUpstreams(c.giveUpReply())
		}
	}
}

// withUpstreams adds the upstreams that the call was sent to.
func (c *plainCall) withUpstreams(reply Reply) Reply {
	for _, up := range c.sentTo {
		reply.Upstreams = append(reply.Upstreams, up.ID)
	}
	return reply
}

func (c *plainCall) canRetry() bool {
	return c.call.Route.Retryable() && c.mayHaveRunCount+c.inFlight < c.maxAttempts()
}

// maxAttempts returns how many upstreams may run the call. For a passed call, the instance that passed it
// on counts one.
func (c *plainCall) maxAttempts() int {
	if c.call.Passed {
		return 1
	}
	return c.call.Route.MaxAttempts
}

func (c *plainCall) hedgeDelay() time.Duration {
	if !c.call.Route.Retryable() || c.maxAttempts() < 2 {
		return time.Until(c.call.Deadline) + time.Second
	}
	return max(minHedgeDelay, hedgeLatencyFactor*c.runner.Upstreams.ExpectedLatency(c.sentTo[0]))
}

// refusedReply returns the reply if the call was not sent at all.
func (c *plainCall) refusedReply(err error) Reply {
	if reply, ok := restrictedReply(err); ok {
		return reply
	}
	r := Reply{Reason: ReasonNoUpstream, RetryAfter: c.retryAfter()}
	if errors.Is(err, path.ErrRateLimited) {
		r.Reason = ReasonRateLimited
	}
	return r
}

// sendNext sends the call to the next upstream.
func (c *plainCall) sendNext() error {
	if err := c.runner.CrashTracker.AllowSend(c.ctx, c.call.Suspects()); err != nil {
		return err
	}
	var avoid []spec.UpstreamID
	for _, up := range c.sentTo {
		avoid = append(avoid, up.ID)
	}
	up, err := c.runner.Upstreams.Pick(c.call.Service.Name, c.call.Suspects(), avoid)
	if err != nil {
		return err
	}
	c.sentTo = append(c.sentTo, up)
	c.inFlight++
	go func() { c.results <- c.runner.sendOnce(c.ctx, c.call, up) }()
	return nil
}

func (c *plainCall) retry() bool {
	return len(c.sentTo) < maxSends && !c.runner.CrashTracker.IsCulprit(c.call.Suspects()) && c.runner.RetryBudget.AllowRetry(c.call.Service.Name) && c.sendNext() == nil
}

// handleResult evaluates the result of an attempt; done is false while another
// attempt may still succeed.
func (c *plainCall) handleResult(result *sendResult) (reply Reply, done bool) {
	if result.succeeded() {
		return c.finalReply(result), true
	}
	c.recordFailure(result)
	if c.ctx.Err() != nil {
		return c.giveUpReply(), true
	}
	if result.notRun || result.unsent || c.canRetry() {
		if c.retry() {
			return Reply{}, false
		}
	}
	if c.inFlight > 0 {
		return Reply{}, false
	}
	return c.failedReply(), true
}

// recordFailure records whether a failed attempt may have run, and whether it reached its
// upstream.
func (c *plainCall) recordFailure(result *sendResult) {
	if result.unsent && errors.Is(result.err, client.ErrDial) {
		c.unreached = true
	}
	if !result.notRun && !result.unsent {
		c.mayHaveRunCount++
		c.lastResult = result
	}
	if c.lastResult == nil {
		c.lastResult = result
	}
}

func (c *plainCall) finalReply(result *sendResult) Reply {
	reply := *result.response
	reply.SendCount = len(c.sentTo)
	reply.MayHaveRun = true
	return reply
}

// failedReply returns the reply after the last attempt failed.
func (c *plainCall) failedReply() Reply {
	if c.lastResult.response != nil && !c.lastResult.notRun {
		return c.finalReply(c.lastResult)
	}
	if c.mayHaveRunCount > 0 {
		return Reply{Reason: ReasonResponseLost, MayHaveRun: true, SendCount: len(c.sentTo)}
	}
	return Reply{Reason: ReasonRefused, RetryAfter: c.retryAfter(), SendCount: len(c.sentTo), Unreached: c.unreached}
}

// retryAfter returns the Retry-After of a refused call: until an upstream accepts requests
// again, if all of them asked for backoff.
func (c *plainCall) retryAfter() time.Duration {
	return max(plainRetryAfter, c.runner.Upstreams.BackoffLeft(c.call.Service.Name))
}

// giveUpReply returns the reply after the caller disconnected or the deadline passed.
// An attempt that is still in flight may run.
func (c *plainCall) giveUpReply() Reply {
	reply := Reply{Reason: ReasonTimeout, MayHaveRun: c.inFlight > 0 || c.mayHaveRunCount > 0, SendCount: len(c.sentTo)}
	if errors.Is(c.ctx.Err(), context.Canceled) {
		reply.Reason = ReasonCallerLeft
	}
	return reply
}
