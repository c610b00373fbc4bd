package relay

import (
	"context"
	"net/http"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/path"
	"fulmarwick/internal/route/share"
	"fulmarwick/internal/state/feed"
	"fulmarwick/internal/wire/send"

	"github.com/go-faster/errors"
)

// Sink takes the answer of a model request.
type Sink interface {
	Head(status int, h http.Header)
	Event(event []byte, flush bool) error
}

// Entry is why a request asks for engines.
type Entry int

//go:generate stringer -type=Entry -linecomment -output=entry_string.go

// The entries.
const (
	EntryFirst  Entry = iota // first run
	EntryAgain               // run after one that brought nothing
	EntryResume              // run after one that brought a part of the answer
)

// Paths chooses the engines of model requests and follows their runs.
type Paths interface {
	// Enter chooses a path without the engines to avoid and counts a run in; it
	// waits for room while that helps.
	Enter(ctx context.Context, c *Call, how Entry, avoid []spec.UpstreamID) (*Flight, error)
	// Back is after how long a caller that is turned away should come back.
	Back(c *Call) time.Duration
	// Wrote tells that the first event of a run came, End that the run is over.
	// whole tells that it brought the whole answer.
	Wrote(f *Flight)
	End(f *Flight, whole bool)
	// Doubt tells of an engine that refused or broke a connection.
	Doubt(service string, id spec.UpstreamID)
	// Refused tells that a run was refused, and by which engine of its path;
	// empty is the first. It returns the engine.
	Refused(f *Flight, address string) spec.UpstreamID
	// Down reports whether an engine is known not to answer.
	Down(service string, id spec.UpstreamID) bool
	// Gone asks an engine on which a run began whether it has ended. One that broke its
	// run off has if it was leaving.
	Gone(ctx context.Context, service string, id spec.UpstreamID, broke bool) bool
}

// Errors of a run.
var (
	errNotRun  = errors.New("relay: not run")
	errUnsent  = errors.New("relay: not sent")
	errMoved   = errors.New("relay: run moved")
	errCaller  = errors.New("relay: caller gone")
	errStatus  = errors.New("relay: engine failed")
	errStale   = errors.New("relay: kept connection was closed")
	errTimeout = errors.New("relay: time is over")
)

const (
	// maxRuns bounds the runs of one request. Refusals count until its caller has a
	// part of the answer.
	maxRuns = 8
	// eventBuffer holds a few events, in bytes.
	eventBuffer = 2 << 10
)

// Models runs model requests. Set the exported fields before use.
type Models struct {
	Dialect Dialect
	Pool    *send.Pool
	Paths   Paths
	Budget  Budget
	// Suspects knows requests that crash engines.
	Suspects Suspects
}

// Do runs the call and passes its answer to sink.
func (m *Models) Do(ctx context.Context, c *Call, sink Sink) Reply {
	ctx, cancel := context.WithDeadline(ctx, c.Until)
	defer cancel()
	if m.Suspects.Guilty(c.Print()) {
		return Reply{Reason: ReasonPoison}
	}
	m.Budget.First(c.Service.Name)
	s := &stream{models: m, call: c, ctx: ctx, sink: sink, last: c.Ask.After}
	r := s.pace.tell(s.run())
	r.Upstreams = s.firsts
	return r
}

// stream is one request over all its runs.
type stream struct {
	models *Models
	call   *Call
	ctx    context.Context
	sink   Sink

	// last is the ID of the last event that the caller has.
	last  int
	begun bool
	runs  int
	// refusals counts the runs that engines refused after the answer began.
	refusals int
	// attempts are the first engines of runs that may have begun; maybe tells that
	// there was one, so that no promise can be given.
	attempts []attempt
	maybe    bool
	// avoid are engines that refused or broke a run.
	avoid []spec.UpstreamID
	// firsts are the first engines of the runs.
	firsts []spec.UpstreamID
	// why is why the request does not run once more.
	why Reason
	// fresh asks for new connections.
	fresh bool
	// answer is an engine's own failure, passed on if nothing better comes.
	answer *Reply

	// pace is how the events came so far.
	pace pace
}

// pace is how the events of an answer came, over all runs.
type pace struct {
	last    time.Time
	first   time.Duration
	pause   time.Duration
	pauseAt time.Duration
	path    spec.Chain
}

// event notes an event of a run.
func (p *pace) event(start time.Time, f *Flight) {
	now := time.Now()
	if p.last.IsZero() {
		p.first = now.Sub(start)
	} else if d := now.Sub(p.last); d > p.pause {
		p.pause, p.pauseAt = d, now.Sub(start)
		p.path, _ = f.Chain()
	}
	p.last = now
}

// tell adds how events came to the final answer.
func (p *pace) tell(r Reply) Reply {
	r.First, r.Pause, r.PauseAt, r.PausePath = p.first, p.pause, p.pauseAt, p.path
	return r
}

func (s *stream) run() Reply {
	for {
		f, err := s.begin()
		if s.begun && errors.Is(err, path.ErrNone) && feed.Sleep(s.ctx, maxPause) {
			continue
		}
		if err != nil {
			return s.refused(err)
		}
		s.runs++
		chain, _ := f.Chain()
		s.firsts = append(s.firsts, chain[0].Engine())
		span := hop(s.ctx, chain[0].Engine())
		err = s.fly(f)
		landed(span, err)
		s.models.Paths.End(f, err == nil && s.runs == 1 && s.call.Ask.After == 0)
		if err == nil {
			s.models.Suspects.Innocent(s.call.Print())
			return Reply{Tried: s.runs, Ran: true}
		}
		s.judge(f, err)
		if !s.again(f, err) {
			return s.failed(err)
		}
	}
}

// begin finds engines with room and counts a run in.
func (s *stream) begin() (*Flight, error) {
	how := EntryFirst
	switch {
	case s.begun:
		how = EntryResume
	case s.runs > 0:
		how = EntryAgain
	}
	f, err := s.models.Paths.Enter(s.ctx, s.call, how, s.avoid)
	if err != nil {
		return nil, err
	}
	f.Request = s.call.Ask.ID
	f.Spare = len(s.attempts)+1 < s.call.Route.Attempts
	return f, nil
}

func (s *stream) refused(err error) Reply {
	r := Reply{Reason: ReasonFull, Ran: s.maybe, Begun: s.begun, Tried: s.runs}
	switch {
	case s.answer != nil && !s.begun:
		return *s.answer
	case errors.Is(err, context.Canceled):
		r.Reason = ReasonLeft
	case errors.Is(err, context.DeadlineExceeded):
		r.Reason = ReasonTimeout
	case errors.Is(err, path.ErrNone):
		r.Reason = ReasonNobody
	case errors.Is(err, share.ErrKept):
		r.Reason = ReasonKept
	}
	if !r.Ran && r.Reason != ReasonLeft {
		r.After = s.models.Paths.Back(s.call)
	}
	return r
}

func (s *stream) failed(err error) Reply {
	r := Reply{Reason: s.why, Ran: s.maybe, Begun: s.begun, Tried: s.runs}
	switch {
	case s.answer != nil && !s.begun:
		return *s.answer
	case errors.Is(err, errCaller) || errors.Is(s.ctx.Err(), context.Canceled):
		r.Reason = ReasonLeft
	case s.ctx.Err() != nil:
		r.Reason = ReasonTimeout
	case !s.maybe:
		r.Reason = ReasonRefused
		r.After = s.models.Paths.Back(s.call)
	}
	return r
}
