package chain

import (
	"context"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/world"
	"fulmarwick/internal/wire/engine"

	"github.com/go-faster/errors"
)

// Opener opens streams on engines.
type Opener interface {
	Open(ctx context.Context, id spec.UpstreamID, req string, try uint32, from int) (*engine.Stream, error)
}

// Router takes events and gives the decisions for one request.
type Router interface {
	Post(ev world.Event)
	Watch(id spec.RequestID) <-chan world.Command
	Forget(id spec.RequestID)
}

// Token is one piece of an answer.
type Token struct {
	Index int
	Text  string
}

// Sink receives tokens in order, each index once.
type Sink func(Token) error

// RefusedError is the final answer to a request that the logic gave up on.
type RefusedError struct {
	Reason world.Reason
	After  time.Duration
	Ran    bool
}

// Error names the reason.
func (r *RefusedError) Error() string { return "chain: refused: " + r.Reason.String() }

// Job is a request for model work.
type Job struct {
	Arrived world.Arrived
	Text    string
}

// Result says how a finished answer ended.
type Result struct {
	Tokens int
	// Stop is true if the model ended the answer, false at the token limit.
	Stop bool
}

// Runner runs jobs. Set the exported fields before Run.
type Runner struct {
	Engines Opener
	Router  Router
}

// run is the state of one job.
type run struct {
	*Runner
	job     Job
	sink    Sink
	decided <-chan world.Command
	attempt uint32
	chain   spec.Chain
	depth   int
	prio    int
	stages  []*stage
	inputs  inputs
	text    []string
	stop    bool
	began   time.Time
	first   time.Duration
	last    time.Time
	gap     time.Duration
}

// Run brings the whole answer to sink, or returns why that cannot be:
// *RefusedError, the sink's error, or the context's.
func (r *Runner) Run(ctx context.Context, job Job, sink Sink) (Result, error) {
	id := job.Arrived.Request
	j := &run{Runner: r, job: job, sink: sink, decided: r.Router.Watch(id), began: time.Now()}
	defer r.Router.Forget(id)
	defer j.closeAll()
	r.Router.Post(job.Arrived)
	err := j.whole(ctx)
	j.report(ctx, err)
	return Result{Tokens: len(j.text), Stop: j.stop}, err
}

func (j *run) report(ctx context.Context, err error) {
	id := j.job.Arrived.Request
	if ctx.Err() != nil {
		j.Router.Post(world.Canceled{Request: id})
		return
	}
	j.Router.Post(world.Finished{
		Request: id, Tokens: len(j.text), First: j.first, Gap: j.gap,
		Whole: time.Since(j.began), OK: err == nil,
	})
}

func (j *run) whole(ctx context.Context) error {
	if err := j.await(ctx); err != nil {
		return err
	}
	for !j.ended() {
		lost := j.advance(ctx)
		if lost == nil {
			continue
		}
		if lost.fatal != nil {
			return lost.fatal
		}
		j.Router.Post(world.StageLost{
			Request: j.job.Arrived.Request, Attempt: j.attempt,
			Engine: lost.engine, Cause: lost.cause,
		})
		if err := j.await(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (j *run) ended() bool {
	return j.stop || len(j.text) >= j.job.Arrived.Limit
}

// await takes the next decision and sets the stages to it.
func (j *run) await(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "chain: wait for a decision")
	case c := <-j.decided:
		switch c := c.(type) {
		case world.Refuse:
			return &RefusedError{Reason: c.Reason, After: c.After, Ran: c.Ran}
		case world.Start:
			return j.adopt(c)
		}
		return errors.Errorf("chain: unexpected command %T", c)
	}
}

// adopt keeps the stages that stand unchanged in the new chain and drops the
// others. A stage that was lost never stands unchanged: its stream is closed.
func (j *run) adopt(c world.Start) error {
	if err := c.Chain.Check(c.Depth); err != nil {
		return err
	}
	old := j.stages
	j.attempt, j.chain, j.depth, j.prio = c.Attempt, c.Chain, c.Depth, c.Prio
	j.stages = make([]*stage, 0, len(c.Chain))
	for _, s := range c.Chain {
		j.stages = append(j.stages, j.keep(&old, s))
	}
	for _, s := range old {
		s.close()
	}
	return nil
}

func (j *run) keep(old *[]*stage, want spec.Stage) *stage {
	for i, s := range *old {
		if s.is == want && !s.lost {
			*old = append((*old)[:i], (*old)[i+1:]...)
			return s
		}
	}
	return &stage{is: want, try: j.attempt}
}

func (j *run) closeAll() {
	for _, s := range j.stages {
		s.close()
	}
}

// give hands the next token to the caller.
func (j *run) give(text string) error {
	index := len(j.text)
	j.text = append(j.text, text)
	j.timed()
	return j.sink(Token{Index: index, Text: text})
}

func (j *run) timed() {
	now := time.Now()
	if j.first == 0 {
		j.first = now.Sub(j.began)
	} else {
		j.gap = max(j.gap, now.Sub(j.last))
	}
	j.last = now
}
