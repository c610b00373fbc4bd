package relay

import (
	"context"
	"net/http"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/crash"
	"fulmarwick/internal/route/path"
	"fulmarwick/internal/state/feed"
	"fulmarwick/internal/wire/bound"
	"fulmarwick/internal/wire/client"

	"github.com/go-faster/errors"
)

// Sink receives the response to a model request.
type Sink interface {
	WriteHead(status int, h http.Header)
	WriteEvent(event []byte, flush bool) error
}

// RunKind distinguishes a first run, a retry and a resumed stream.
type RunKind int

//go:generate stringer -type=RunKind -linecomment -output=runkind_string.go

// Kinds of runs.
const (
	RunFirst  RunKind = iota // first run
	RunRetry                 // run after one that brought nothing
	RunResume                // run after one that brought a part of the answer
)

// RunOptions are the properties of a run that follow from the earlier runs of its request.
type RunOptions struct {
	Kind RunKind
	// Avoid lists engines that must not be on the path.
	Avoid []spec.UpstreamID
	// Attempted are the first engines of earlier runs that may have begun.
	Attempted []crash.Process
	// MayHaveRun means that an earlier run may have begun, so that the caller can't be promised
	// that the request has not run.
	MayHaveRun bool
}

// PathSelector selects the engines for model requests and tracks their runs.
type PathSelector interface {
	// StartRun selects a path and registers a run on it. It waits for free capacity while
	// waiting can help.
	StartRun(ctx context.Context, c *Call, o RunOptions) (*Run, error)
	// RetryAfter returns how long a rejected caller should wait before a retry.
	RetryAfter(c *Call) time.Duration
	// RecordFirstEvent records that the first event of a run was received.
	RecordFirstEvent(run *Run)
	// EndRun records how the run ended. complete means that this run delivered the
	// complete answer.
	EndRun(run *Run, end RunEnd, complete bool)
	// ReportConnFailure reports an engine that refused a connection.
	ReportConnFailure(service string, id spec.UpstreamID)
	// ReportBrokenRun reports that the first engine of a run broke it off.
	ReportBrokenRun(run *Run)
	// RecordRefusal records that the engine at an address of the path refused the
	// run, and returns that engine. An empty address means the first engine.
	RecordRefusal(run *Run, address string) spec.UpstreamID
	// ConfirmExited reports whether the first engine of an earlier run has exited. It may probe it.
	ConfirmExited(ctx context.Context, c *Call, p crash.Process) bool
	// EndRequest records that a request with runs on these first engines has ended, so that nobody
	// asks any more whether they have exited.
	EndRequest(service string, engines []spec.UpstreamID)
}

// Errors with which a run ends.
var (
	errNotRun       = errors.New("relay: engine did not run the request")
	errUnsent       = errors.New("relay: request not sent")
	errRerouted     = errors.New("relay: run rerouted")
	errCallerGone   = errors.New("relay: caller disconnected")
	errEventTimeout = errors.New("relay: caller has stopped waiting for an event")
	errEngineStatus = errors.New("relay: engine returned an error")
	errStaleConn    = errors.New("relay: idle connection was closed")
	errUnwritten    = errors.Wrap(errStaleConn, "request not written whole")
	errTimeout      = errors.New("relay: deadline exceeded")
)

const (
	// maxRunsPerRequest limits the runs of one request that engines did not refuse.
	maxRunsPerRequest = 8
	// maxRefusalsPerRequest limits how often engines may refuse a request whose answer has
	// not begun.
	maxRefusalsPerRequest = 8
	// eventBufferBytes is the size of the read buffer in bytes; it holds a few events.
	eventBufferBytes = 2 << 10
	// maxErrorBodyBytes limits the body of an engine's error response.
	maxErrorBodyBytes = 1 << 20
)

// ModelRunner runs model requests. Set the exported fields before use.
type ModelRunner struct {
	Dialect     Dialect
	Pool        *client.Pool
	Paths       PathSelector
	RetryBudget RetryBudget
	Notices     UpstreamNotices
	// CrashTracker tracks requests that crash engines.
	CrashTracker CrashTracker
	// Peers passes calls on that reach no engine from here; nil passes none on.
	Peers Peers
	// Memory limits the bodies that are in memory together; nil means no limit.
	Memory *bound.Memory
}

// Do runs the call and forwards the answer to sink.
func (m *ModelRunner) Do(ctx context.Context, c *Call, sink Sink) Reply {
	c.lifetime = ctx
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	m.CrashTracker.CountRequest(c.Route.Name, c.Suspects())
	if m.CrashTracker.IsCulprit(c.Suspects()) {
		return Reply{Reason: ReasonPoison}
	}
	if c.Passed && m.Peers != nil && m.Peers.LinksLost() {
		return unreachedReply()
	}
	mc := &modelCall{runner: m, call: c, ctx: ctx, sink: sink, lastEventID: c.ParsedHeader.LastEventID, attempts: processesOf(c.Attempted)}
	defer func() { m.Paths.EndRequest(c.Service.Name, mc.firstEngines) }()
	r := mc.timing.addTo(mc.run())
	r.Upstreams, r.Attempted = mc.firstEngines, mc.attemptedEngines()
	return r
}

// modelCall is the state of one request across all its runs.
type modelCall struct {
	runner *ModelRunner
	call   *Call
	ctx    context.Context
	sink   Sink

	// lastEventID is the ID of the last event that the caller has received.
	lastEventID int
	// started means that a part of the answer was forwarded.
	started bool
	runs    int
	// refusals counts the runs that engines refused; resumeRefusals those while the caller
	// had a part of the answer.
	refusals       int
	resumeRefusals int
	// attempts are the first engines of runs that may have begun. Those that have exited do not count.
	attempts []crash.Process
	// mayHaveRun means that a run may have begun, so that the caller cannot be
	// promised that the request has not run.
	mayHaveRun bool
	// unreached means that an engine accepted no connection. passes is how often the request
	// was passed on to another instance.
	unreached bool
	passes    int
	// avoid lists engines that refused or broke off a run.
	avoid []spec.UpstreamID
	// firstEngines are the first engines of the runs.
	firstEngines []spec.UpstreamID
	// noRetryReason is why the request is not retried.
	noRetryReason Reason
	// forceNewConn prevents the reuse of idle connections.
	forceNewConn bool
	// errorReply is an error response of an engine. It is forwarded if no later run
	// succeeds.
	errorReply *Reply

	// timing records when events were received so far.
	timing eventTiming
}

func (c *modelCall) run() Reply {
	for {
		if c.linksLost() {
			if reply, done := c.passOn(PassUnreached); done {
				return reply
			}
		}
		run, err := c.startRun()
		if err != nil {
			if reply, done := c.handleNoRun(err); done {
				return reply
			}
			continue
		}
		err = c.execute(run)
		if err == nil {
			return Reply{SendCount: c.runs, MayHaveRun: true}
		}
		c.recordFailure(run, err)
		if c.shouldRetry(run, err) {
			continue
		}
		return c.giveUp(err)
	}
}

// linksLost reports whether this instance has lost its links to all engines.
func (c *modelCall) linksLost() bool { return c.runner.Peers != nil && c.runner.Peers.LinksLost() }

// handleNoRun handles that no run could be started. done is false if the request has to be tried
// again.
func (c *modelCall) handleNoRun(err error) (reply Reply, done bool) {
	if cause, ok := passCause(err); ok {
		if reply, done := c.passOn(cause); done {
			return reply, true
		}
	}
	if c.hasPartialAnswer() && isTemporary(err) && feed.Sleep(c.ctx, maxRetryBackoff) {
		return Reply{}, false
	}
	return c.refusedReply(err), true
}

// passCause returns why a request for which no run could be started is passed on; false if it is
// not.
func passCause(err error) (PassCause, bool) {
	if errors.Is(err, path.ErrRateLimited) {
		return PassLimited, true
	}
	return PassUnreached, errors.Is(err, path.ErrUnreached)
}

// giveUp returns the reply after the last run failed. A request that has not run, since engines
// accepted no connection, is passed on.
func (c *modelCall) giveUp(err error) Reply {
	if c.unreached && !c.mayHaveRun {
		for before := -1; before < c.passes; {
			before = c.passes
			if reply, done := c.passOn(PassUnreached); done {
				return reply
			}
		}
	}
	return c.failedReply(err)
}

// hasPartialAnswer reports whether the caller has a part of the answer: from this request,
// or from an earlier one that was broken off. A caller that returns with such a part has
// no further retry, and loses the whole answer if it is rejected.
func (c *modelCall) hasPartialAnswer() bool { return c.started || c.call.ParsedHeader.LastEventID > 0 }

// isTemporary reports whether a run may start later that can't start now.
func isTemporary(err error) bool {
	return errors.Is(err, path.ErrNoPath) || errors.Is(err, path.ErrRateLimited) || errors.Is(err, crash.ErrQuarantined)
}

// startRun finds engines with free capacity and registers a run on them.
func (c *modelCall) startRun() (*Run, error) {
	if err := c.runner.CrashTracker.AllowSend(c.ctx, c.call.Suspects()); err != nil {
		return nil, err
	}
	c.call.countRequest(c.runner.RetryBudget)
	kind := RunFirst
	switch {
	case c.hasPartialAnswer():
		kind = RunResume
	case c.runs > 0:
		kind = RunRetry
	}
	return c.runner.Paths.StartRun(c.ctx, c.call, RunOptions{Kind: kind, Avoid: c.avoid, Attempted: c.attempts, MayHaveRun: c.mayHaveRun})
}

// execute runs the request on the path of a run and ends the run, also in a panic.
func (c *modelCall) execute(run *Run) (err error) {
	c.runs++
	chain, _ := run.Chain()
	c.firstEngines = append(c.firstEngines, chain[0].Engine())
	span := startSendSpan(c.ctx, chain[0].Engine())
	complete := false
	defer func() {
		endSendSpan(span, err)
		c.runner.Paths.EndRun(run, modelRunEnd(err), complete && c.runs == 1 && c.call.ParsedHeader.LastEventID == 0)
	}()
	err = c.runOnce(run)
	if errors.Is(err, errStaleConn) && c.mayResend() {
		err = c.resend(run, errors.Is(err, errUnwritten))
	}
	complete = err == nil
	return err
}

// mayResend reports whether a request whose connection was closed may be sent to the same engine again at
// once. It does not wait for a retry, since the run holds its room on the engines.
func (c *modelCall) mayResend() bool {
	c.mayHaveRun = true
	return c.ctx.Err() == nil && c.runner.CrashTracker.AllowSend(c.ctx, c.call.Suspects()) == nil && c.runner.RetryBudget.AllowRetry(c.call.Service.Name)
}

// resend sends the request over the path of a run again, on a new connection. Unless the first one was
// unwritten, the engine may have begun to run it, whatever happens to the second one.
func (c *modelCall) resend(run *Run, unwritten bool) error {
	err := c.runOnce(run)
	if !unwritten && (errors.Is(err, errUnsent) || errors.Is(err, errNotRun)) {
		return errStaleConn
	}
	return err
}
