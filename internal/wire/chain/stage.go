package chain

import (
	"context"
	"time"

	"fulmarwick/internal/base/frame"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/world"
	"fulmarwick/internal/wire/engine"

	"github.com/go-faster/errors"
)

// stepTimeout is how long a step may take before its stage counts as lost.
const stepTimeout = 30 * time.Second

// stage is the state of one link of the chain.
type stage struct {
	is   spec.Stage
	try  uint32
	seq  uint64
	done int
	lost bool
	on   *engine.Stream
}

func (s *stage) close() {
	if s.on != nil {
		s.on.Close()
		s.on = nil
	}
}

// failure tells which stage was lost, or why the whole run must end.
type failure struct {
	engine spec.UpstreamID
	cause  world.Cause
	fatal  error
}

// advance brings each stage up to date with its boundary, first to last.
func (j *run) advance(ctx context.Context) *failure {
	if len(j.stages) == 1 {
		return j.stream(ctx, j.stages[0])
	}
	for _, s := range j.stages {
		step := j.next(s)
		if step == nil {
			continue
		}
		r, f := j.call(ctx, s, step)
		if f != nil {
			return f
		}
		if f := j.take(s, r); f != nil {
			return f
		}
	}
	return nil
}

// next is the step that brings s up to date, or nil if it is.
func (j *run) next(s *stage) *frame.Step {
	step := &frame.Step{
		Verb: frame.VerbStep, Seq: s.seq + 1, Model: string(j.job.Arrived.Model),
		To: s.is.Layers().To(), Pos: s.done, Prio: j.prio,
	}
	if s.is.Layers().From() > 0 {
		step.Hidden = j.inputs.from(s.is.Layers().From(), s.done)
		if len(step.Hidden) == 0 {
			return nil
		}
		return step
	}
	if s.done == 0 {
		step.Text = j.job.Text
		step.Tokens = j.inputs.tokens
		return step
	}
	if s.done == j.inputs.positions() {
		return nil
	}
	step.Tokens = j.inputs.tokens[s.done-j.inputs.prompt:]
	return step
}

// call sends a step and waits for its reply.
func (j *run) call(ctx context.Context, s *stage, step *frame.Step) (*frame.Reply, *failure) {
	if f := j.send(ctx, s, step); f != nil {
		return nil, f
	}
	return j.recv(ctx, s, step.Seq)
}

func (j *run) send(ctx context.Context, s *stage, step *frame.Step) *failure {
	if s.on == nil {
		on, err := j.Engines.Open(ctx, s.is.Engine(), string(j.job.Arrived.Request), s.try, s.is.Layers().From())
		if err != nil {
			return j.fail(ctx, s, err)
		}
		s.on = on
	}
	if err := s.on.Send(step); err != nil {
		return j.fail(ctx, s, err)
	}
	return nil
}

// recv returns the reply to step seq. A reply to another step is late or
// doubled and is passed over.
func (j *run) recv(ctx context.Context, s *stage, seq uint64) (*frame.Reply, *failure) {
	wait, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	for {
		r, err := s.on.Recv(wait)
		if err != nil {
			return nil, j.fail(ctx, s, err)
		}
		if r.Seq != seq {
			continue
		}
		if r.Code != frame.CodeOK {
			return nil, j.lose(s, cause(r.Code))
		}
		s.seq = seq
		return r, nil
	}
}

func (j *run) fail(ctx context.Context, s *stage, err error) *failure {
	if ctx.Err() != nil {
		return &failure{fatal: errors.Wrap(ctx.Err(), "chain: canceled")}
	}
	switch {
	case errors.Is(err, engine.ErrRefused):
		return j.lose(s, world.CauseRefused)
	case errors.Is(err, engine.ErrBroken):
		return j.lose(s, world.CauseBroken)
	default:
		return j.lose(s, world.CauseTimeout)
	}
}

// lose drops the stage's state. It is rebuilt under a new attempt, since a
// step whose reply was lost may have been applied.
func (j *run) lose(s *stage, why world.Cause) *failure {
	s.lost = true
	return &failure{engine: s.is.Engine(), cause: why}
}

func cause(c frame.Code) world.Cause {
	if c == frame.CodeLeave || c == frame.CodeFull {
		return world.CauseLeaving
	}
	return world.CauseState
}

// take records what a stage made from its inputs.
func (j *run) take(s *stage, r *frame.Reply) *failure {
	if s.is.Layers().To() < j.depth {
		j.passed(s, r)
		return nil
	}
	s.done = j.inputs.positions()
	return j.token(r)
}

// passed records the hidden values that go on to the next boundary.
func (j *run) passed(s *stage, r *frame.Reply) {
	if s.is.Layers().From() == 0 && j.inputs.prompt == 0 {
		j.inputs.prompt = len(r.Hidden) - len(j.inputs.tokens)
	}
	j.inputs.put(s.is.Layers().To(), s.done, r.Hidden)
	s.done += len(r.Hidden)
}

// token takes the last stage's token to the caller and back to layer 0.
func (j *run) token(r *frame.Reply) *failure {
	if r.Last {
		j.stop = true
		return nil
	}
	j.inputs.tokens = append(j.inputs.tokens, r.Token)
	if err := j.give(r.Text); err != nil {
		return &failure{fatal: err}
	}
	return nil
}

// stream runs a whole-model stage: one step, a reply per token.
func (j *run) stream(ctx context.Context, s *stage) *failure {
	left := j.job.Arrived.Limit - len(j.text)
	step := j.next(s)
	if step == nil {
		return j.lose(s, world.CauseState)
	}
	step.Verb = frame.VerbRun
	step.Count = left
	if f := j.send(ctx, s, step); f != nil {
		return f
	}
	for i := 0; i < left && !j.stop; i++ {
		r, f := j.recv(ctx, s, step.Seq+uint64(i))
		if f != nil {
			return f
		}
		if f := j.token(r); f != nil {
			return f
		}
	}
	return nil
}
