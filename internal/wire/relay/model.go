package relay

import (
	"context"
	"net/http"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/path"
	"fulmarwick/internal/route/share"
	"fulmarwick/internal/state/feed"
	"fulmarwick/internal/wire/client"

	"github.com/go-faster/errors"
)

// Sink takes the answer of a model request.
type Sink interface {
	WriteHead(status int, h http.Header)
	WriteEvent(event []byte, flush bool) error
}

// RunKind is why a request asks for engines.
type RunKind int

//go:generate stringer -type=RunKind -linecomment -output=runkind_string.go

// The entries.
const (
	RunFirst  RunKind = iota // first run
	RunRetry                 // run after one that brought nothing
	RunResume                // run after one that brought a part of the answer
)

// PathSelector chooses the engines of model requests and follows their runs.
type PathSelector interface {
	// StartRun chooses a path without the engines to avoid and counts a run in; it
	// waits for room while that helps.
	StartRun(ctx context.Context, c *Call, how RunKind, avoid []spec.UpstreamID) (*Run, error)
	// RetryAfter is after how long a caller that is turned away should come back.
	RetryAfter(c *Call) time.Duration
	// RecordFirstEvent tells that the first event of a run came, End that the run is over.
	// whole tells that it brought the whole answer.
	RecordFirstEvent(f *Run)
	EndRun(f *Run, whole bool)
	// ReportConnFailure tells of an engine that refused or broke a connection.
	ReportConnFailure(service string, id spec.UpstreamID)
	// RecordRefusal tells that a run was refused, and by which engine of its path;
	// empty is the first. It returns the engine.
	RecordRefusal(f *Run, address string) spec.UpstreamID
	// IsDead reports whether an engine is known not to answer.
	IsDead(service string, id spec.UpstreamID) bool
	// ConfirmExited asks an engine on which a run began whether it has ended. One that broke its
	// run off has if it was leaving.
	ConfirmExited(ctx context.Context, service string, id spec.UpstreamID, broke bool) bool
}

// Errors of a run.
var (
	errNotRun       = errors.New("relay: not run")
	errUnsent       = errors.New("relay: not sent")
	errRerouted     = errors.New("relay: run moved")
	errCallerGone   = errors.New("relay: caller gone")
	errEngineStatus = errors.New("relay: engine failed")
	errStaleConn    = errors.New("relay: kept connection was closed")
	errTimeout      = errors.New("relay: time is over")
)

const (
	// maxRunsPerRequest bounds the runs of one request. Refusals count until its caller has a
	// part of the answer.
	maxRunsPerRequest = 8
	// eventBufferBytes holds a few events, in bytes.
	eventBufferBytes = 2 << 10
)

// ModelRunner runs model requests. Set the exported fields before use.
type ModelRunner struct {
	Dialect     Dialect
	Pool        *client.Pool
	Paths       PathSelector
	RetryBudget RetryBudget
	// CrashTracker knows requests that crash engines.
	CrashTracker CrashTracker
}

// Do runs the call and passes its answer to sink.
func (m *ModelRunner) Do(ctx context.Context, c *Call, sink Sink) Reply {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	if m.CrashTracker.IsCulprit(c.Fingerprint()) {
		return Reply{Reason: ReasonPoison}
	}
	m.RetryBudget.RecordRequest(c.Service.Name)
	s := &modelCall{runner: m, call: c, ctx: ctx, sink: sink, lastEventID: c.ParsedHeader.LastEventID}
	r := s.timing.addTo(s.run())
	r.Upstreams = s.firstEngines
	return r
}

// modelCall is one request over all its runs.
type modelCall struct {
	runner *ModelRunner
	call   *Call
	ctx    context.Context
	sink   Sink

	// lastEventID is the ID of the last event that the caller has.
	lastEventID int
	started     bool
	runs        int
	// refusals counts the runs that engines refused after the answer began.
	refusals int
	// attempts are the first engines of runs that may have begun; maybe tells that
	// there was one, so that no promise can be given.
	attempts   []attempt
	mayHaveRun bool
	// avoid are engines that refused or broke a run.
	avoid []spec.UpstreamID
	// firstEngines are the first engines of the runs.
	firstEngines []spec.UpstreamID
	// noRetryReason is why the request does not run once more.
	noRetryReason Reason
	// forceNewConn asks for new connections.
	forceNewConn bool
	// errorReply is an engine's own failure, passed on if nothing better comes.
	errorReply *Reply

	// timing is how the events came so far.
	timing eventTiming
}

// eventTiming is how the events of an answer came, over all runs.
type eventTiming struct {
	lastEvent    time.Time
	firstLatency time.Duration
	maxGap       time.Duration
	maxGapEnd    time.Duration
	maxGapPath   spec.Chain
}

// record notes an event of a run.
func (p *eventTiming) record(start time.Time, f *Run) {
	now := time.Now()
	if p.lastEvent.IsZero() {
		p.firstLatency = now.Sub(start)
	} else if d := now.Sub(p.lastEvent); d > p.maxGap {
		p.maxGap, p.maxGapEnd = d, now.Sub(start)
		p.maxGapPath, _ = f.Chain()
	}
	p.lastEvent = now
}

// addTo adds how events came to the final answer.
func (p *eventTiming) addTo(r Reply) Reply {
	r.FirstEventLatency, r.MaxEventGap, r.MaxEventGapEnd, r.MaxEventGapPath = p.firstLatency, p.maxGap, p.maxGapEnd, p.maxGapPath
	return r
}

func (s *modelCall) run() Reply {
	for {
		f, err := s.startRun()
		if s.started && errors.Is(err, path.ErrNoPath) && feed.Sleep(s.ctx, maxRetryBackoff) {
			continue
		}
		if err != nil {
			return s.refusedReply(err)
		}
		s.runs++
		chain, _ := f.Chain()
		s.firstEngines = append(s.firstEngines, chain[0].Engine())
		span := startSendSpan(s.ctx, chain[0].Engine())
		err = s.runOnce(f)
		endSendSpan(span, err)
		s.runner.Paths.EndRun(f, err == nil && s.runs == 1 && s.call.ParsedHeader.LastEventID == 0)
		if err == nil {
			s.runner.CrashTracker.Clear(s.call.Fingerprint())
			return Reply{SendCount: s.runs, MayHaveRun: true}
		}
		s.recordFailure(f, err)
		if !s.shouldRetry(f, err) {
			return s.failedReply(err)
		}
	}
}

// startRun finds engines with room and counts a run in.
func (s *modelCall) startRun() (*Run, error) {
	how := RunFirst
	switch {
	case s.started:
		how = RunResume
	case s.runs > 0:
		how = RunRetry
	}
	f, err := s.runner.Paths.StartRun(s.ctx, s.call, how, s.avoid)
	if err != nil {
		return nil, err
	}
	f.Request = s.call.ParsedHeader.ID
	f.HasSpareAttempt = len(s.attempts)+1 < s.call.Route.MaxAttempts
	return f, nil
}

func (s *modelCall) refusedReply(err error) Reply {
	r := Reply{Reason: ReasonNoCapacity, MayHaveRun: s.mayHaveRun, Started: s.started, SendCount: s.runs}
	switch {
	case s.errorReply != nil && !s.started:
		return *s.errorReply
	case errors.Is(err, context.Canceled):
		r.Reason = ReasonCallerLeft
	case errors.Is(err, context.DeadlineExceeded):
		r.Reason = ReasonTimeout
	case errors.Is(err, path.ErrNoPath):
		r.Reason = ReasonNoUpstream
	case errors.Is(err, share.ErrReserved):
		r.Reason = ReasonReserved
	}
	if !r.MayHaveRun && r.Reason != ReasonCallerLeft {
		r.RetryAfter = s.runner.Paths.RetryAfter(s.call)
	}
	return r
}

func (s *modelCall) failedReply(err error) Reply {
	r := Reply{Reason: s.noRetryReason, MayHaveRun: s.mayHaveRun, Started: s.started, SendCount: s.runs}
	switch {
	case s.errorReply != nil && !s.started:
		return *s.errorReply
	case errors.Is(err, errCallerGone) || errors.Is(s.ctx.Err(), context.Canceled):
		r.Reason = ReasonCallerLeft
	case s.ctx.Err() != nil:
		r.Reason = ReasonTimeout
	case !s.mayHaveRun:
		r.Reason = ReasonRefused
		r.RetryAfter = s.runner.Paths.RetryAfter(s.call)
	}
	return r
}
