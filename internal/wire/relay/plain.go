package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/ewma"
	"fulmarwick/internal/wire/client"

	"github.com/go-faster/errors"
)

// UpstreamSelector chooses among the upstreams of plain services and learns from how
// requests ended there.
type UpstreamSelector interface {
	Pick(service string, avoid []spec.UpstreamID) (site.Upstream, bool)
	// RecordOutcome learns how the request with a fingerprint ended.
	RecordOutcome(up site.Upstream, print uint64, took time.Duration, end ewma.Outcome)
	StartCooldown(up site.Upstream)
	ApplyReportedLoad(up site.Upstream, l site.Load)
	ExpectedLatency(up site.Upstream) time.Duration
}

// RetryBudget bounds how often requests are sent again.
type RetryBudget interface {
	RecordRequest(service string)
	AllowRetry(service string) bool
}

const (
	// maxPlainBodyBytes bounds the body of a plain answer in bytes: it is kept whole
	// before any of it is passed on, so that a broken one can be made good.
	maxPlainBodyBytes = 8 << 20
	// maxSends bounds how often one call is sent, refusals included.
	maxSends = 4
	// hedgeLatencyFactor is after how many usual times a second upstream is asked as
	// well, hedgeLeast the least such time: 1 in 100 answers takes five times
	// the usual work.
	hedgeLatencyFactor = 3
	minHedgeDelay      = 40 * time.Millisecond
	// plainRetryAfter is the pause told to callers of a plain service without a free
	// place: several answers at their usual time.
	plainRetryAfter = 200 * time.Millisecond
)

// PlainRunner runs calls on plain services. Set the exported fields before use.
type PlainRunner struct {
	Dialect     Dialect
	Pool        *client.Pool
	Upstreams   UpstreamSelector
	RetryBudget RetryBudget
	// CrashTracker knows requests that crash upstreams.
	CrashTracker CrashTracker
}

// sendResult is one send and how it ended.
type sendResult struct {
	upstream site.Upstream
	response *Reply
	// notRun means that the upstream has not run the call and never will.
	notRun bool
	// unsent means that no byte of the call was sent.
	unsent bool
	err    error
}

// succeeded reports whether the answer needs no second try.
func (t *sendResult) succeeded() bool {
	return t.response != nil && t.response.Status < http.StatusInternalServerError
}

// Do runs the call and returns its final answer.
func (p *PlainRunner) Do(ctx context.Context, c *Call) Reply {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	if p.CrashTracker.IsCulprit(c.Fingerprint()) {
		return Reply{Reason: ReasonPoison}
	}
	p.RetryBudget.RecordRequest(c.Service.Name)
	r := &plainCall{runner: p, call: c, ctx: ctx, results: make(chan *sendResult, maxSends)}
	return r.run()
}

// plainCall is the tries of one call. A call that is idempotent may have two on
// their way; any other has one, and a second only if the first has not run.
type plainCall struct {
	runner  *PlainRunner
	call    *Call
	ctx     context.Context
	results chan *sendResult

	sentTo   []site.Upstream
	inFlight int
	// mayHaveRunCount counts upstreams that may have run the call.
	mayHaveRunCount int
	lastResult      *sendResult
}

func (r *plainCall) run() Reply {
	if !r.sendNext() {
		return Reply{Reason: ReasonNoUpstream, RetryAfter: plainRetryAfter}
	}
	hedge := time.NewTimer(r.hedgeDelay())
	defer hedge.Stop()
	for {
		select {
		case t := <-r.results:
			r.inFlight--
			if reply, done := r.handleResult(t); done {
				return r.withUpstreams(reply)
			}
		case <-hedge.C:
			if r.canRetry() {
				r.retry()
			}
		case <-r.ctx.Done():
			return r.withUpstreams(r.giveUpReply())
		}
	}
}

// withUpstreams adds which upstreams the call was sent to.
func (r *plainCall) withUpstreams(reply Reply) Reply {
	for _, up := range r.sentTo {
		reply.Upstreams = append(reply.Upstreams, up.ID)
	}
	return reply
}

func (r *plainCall) canRetry() bool {
	return r.call.Route.Retryable() && r.mayHaveRunCount+r.inFlight < r.call.Route.MaxAttempts
}

func (r *plainCall) hedgeDelay() time.Duration {
	if !r.call.Route.Retryable() || r.call.Route.MaxAttempts < 2 {
		return time.Until(r.call.Deadline) + time.Second
	}
	return max(minHedgeDelay, hedgeLatencyFactor*r.runner.Upstreams.ExpectedLatency(r.sentTo[0]))
}

// sendNext sends the call to the next upstream.
func (r *plainCall) sendNext() bool {
	if len(r.sentTo) >= maxSends {
		return false
	}
	var avoid []spec.UpstreamID
	for _, up := range r.sentTo {
		avoid = append(avoid, up.ID)
	}
	up, ok := r.runner.Upstreams.Pick(r.call.Service.Name, avoid)
	if !ok {
		return false
	}
	r.sentTo = append(r.sentTo, up)
	r.inFlight++
	go func() { r.results <- r.runner.sendOnce(r.ctx, r.call, up) }()
	return true
}

func (r *plainCall) retry() bool {
	return len(r.sentTo) < maxSends && !r.runner.CrashTracker.IsCulprit(r.call.Fingerprint()) && r.runner.RetryBudget.AllowRetry(r.call.Service.Name) && r.sendNext()
}

// handleResult judges a try; done is false while another one may still do better.
func (r *plainCall) handleResult(t *sendResult) (reply Reply, done bool) {
	if t.succeeded() {
		return r.finalReply(t), true
	}
	if !t.notRun && !t.unsent {
		r.mayHaveRunCount++
		r.lastResult = t
	}
	if r.lastResult == nil {
		r.lastResult = t
	}
	if r.ctx.Err() != nil {
		return r.giveUpReply(), true
	}
	if t.notRun || t.unsent || r.canRetry() {
		if r.retry() {
			return Reply{}, false
		}
	}
	if r.inFlight > 0 {
		return Reply{}, false
	}
	return r.failedReply(), true
}

func (r *plainCall) finalReply(t *sendResult) Reply {
	reply := *t.response
	reply.SendCount = len(r.sentTo)
	reply.MayHaveRun = true
	r.runner.CrashTracker.Clear(r.call.Fingerprint())
	return reply
}

// failedReply is the answer after the last try.
func (r *plainCall) failedReply() Reply {
	if r.lastResult.response != nil && !r.lastResult.notRun {
		return r.finalReply(r.lastResult)
	}
	if r.mayHaveRunCount > 0 {
		return Reply{Reason: ReasonResponseLost, MayHaveRun: true, SendCount: len(r.sentTo)}
	}
	return Reply{Reason: ReasonRefused, RetryAfter: plainRetryAfter, SendCount: len(r.sentTo)}
}

// giveUpReply is the answer when the caller left or the time is over. A try that is
// still on its way may run.
func (r *plainCall) giveUpReply() Reply {
	reply := Reply{Reason: ReasonTimeout, MayHaveRun: r.inFlight > 0 || r.mayHaveRunCount > 0, SendCount: len(r.sentTo)}
	if errors.Is(r.ctx.Err(), context.Canceled) {
		reply.Reason = ReasonCallerLeft
	}
	return reply
}

// sendOnce sends the call to one upstream and reads its whole answer.
func (p *PlainRunner) sendOnce(ctx context.Context, c *Call, up site.Upstream) *sendResult {
	start := time.Now()
	span := startSendSpan(ctx, up.ID)
	t := p.exchange(ctx, c, up)
	endSendSpan(span, t.err)
	end := ewma.OutcomeOK
	switch {
	case t.notRun || t.unsent:
		end = ewma.OutcomeRefused
	case t.err != nil && errors.Is(ctx.Err(), context.Canceled):
		end = ewma.OutcomeUnknown
	case t.err != nil:
		end = ewma.OutcomeLost
	case !t.succeeded():
		end = ewma.OutcomeFailed
	}
	p.Upstreams.RecordOutcome(up, c.Fingerprint(), time.Since(start), end)
	return t
}

func (p *PlainRunner) exchange(ctx context.Context, c *Call, up site.Upstream) *sendResult {
	t := &sendResult{upstream: up}
	conn, err := p.Pool.Get(ctx, up.Address, c.Route.Kind != site.KindSafe)
	if err != nil {
		if ctx.Err() == nil {
			p.Upstreams.StartCooldown(up)
		}
		t.unsent, t.err = true, err
		return t
	}
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	if ctx.Err() != nil {
		t.unsent, t.err = true, ctx.Err()
		return t
	}
	if err := conn.WriteRequest(c.newRequest(p.Dialect, site.ForwardHeader{Expect: up.ID}), c.Deadline); err != nil {
		conn.Close()
		t.err = err
		return t
	}
	t.response, t.notRun, t.err = p.readResponse(conn, c, up)
	return t
}

// readResponse takes an answer. The connection is kept if it ended properly.
func (p *PlainRunner) readResponse(conn *client.Conn, c *Call, up site.Upstream) (reply *Reply, notRun bool, err error) {
	resp, head, err := c.readResponse(p.Dialect, conn)
	if err != nil {
		conn.Close()
		return nil, false, err
	}
	// What is not read belongs to a connection that is closed by then.
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxPlainBodyBytes+1))
	if err != nil || len(body) > maxPlainBodyBytes {
		conn.Close()
		return nil, false, errors.Wrap(client.ErrRead, "answer cut or too long")
	}
	p.Pool.Release(conn, resp)
	if head.Load != nil {
		p.Upstreams.ApplyReportedLoad(up, *head.Load)
	}
	if !head.NotExecuted && !head.Sealed {
		// Bytes without a seal are not an answer that may be passed on.
		return nil, false, errors.Wrapf(client.ErrRead, "answer with status %d has no seal", resp.StatusCode)
	}
	StripHopByHopHeaders(resp.Header)
	return &Reply{Status: resp.StatusCode, Header: resp.Header, Body: body}, head.NotExecuted, nil
}
