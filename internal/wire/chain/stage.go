package chain

import (
	"context"

	"fulmarwick/internal/base/frame"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

const (
	// rebuildBits of a Try count the states that were set up anew within one
	// attempt; the attempt stands above them.
	rebuildBits = 8
	maxRebuilds = 1<<rebuildBits - 1
	// stageRebuilds bounds how often one stage is set up anew on its engine
	// without a step between.
	stageRebuilds = 2
	// tracer names the spans of this package.
	tracer = "fulmarwick/chain"
)

// stage is the state of one link of the chain.
type stage struct {
	is   spec.Stage
	try  uint32
	seq  uint64
	done int
	lost bool
	on   frame.Stream
	// step is what the stage is to run next. While pending it stays as it is:
	// the engine may have run it, and knows it by its number only. sent says
	// that a reply is awaited, err what went wrong with sending.
	step    frame.Step
	pending bool
	sent    bool
	err     error
	// life is the engine's incarnation when the state was opened.
	life uint64
	// anew and stalls count set-ups and repeats without a step between.
	anew   int
	stalls int
	span   trace.Span
	// trace is the span as a traceparent, for the engine's own spans.
	trace string
}

func (s *stage) from() int { return s.is.Layers().From() }

func (s *stage) close() {
	if s.on != nil {
		s.on.Close()
		s.on = nil
	}
	if s.span != nil {
		s.span.SetAttributes(attribute.Int("positions", s.done))
		s.span.End()
		s.span = nil
	}
}

// open opens the stage's stream and its span, which last until close.
func (j *run) open(ctx context.Context, s *stage) error {
	if s.on != nil {
		return nil
	}
	on, err := j.Engines.Open(ctx, s.is.Engine(), j.name, s.try, s.from())
	if err != nil {
		return err
	}
	s.on = on
	s.life = on.Incarnation()
	_, s.span = trace.SpanFromContext(ctx).TracerProvider().Tracer(tracer).Start(ctx, "stage",
		trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(
			attribute.String("engine", string(s.is.Engine())),
			attribute.String("layers", s.is.Layers().String()),
			attribute.Int("attempt", int(j.attempt)),
		))
	s.trace = traceparent(trace.ContextWithSpan(ctx, s.span))
	return nil
}

// traceparent is the span of ctx as a W3C header value; "" if nobody traces.
func traceparent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier.Get("traceparent")
}

// next sets s.step to what brings s up to date, or a part of it, unless one is
// under way; false if nothing is missing.
func (j *run) next(s *stage) bool {
	if !s.pending {
		s.pending = j.build(s)
	}
	return s.pending
}

func (j *run) build(s *stage) bool {
	s.step = frame.Step{
		Verb: frame.VerbStep, Seq: s.seq + 1, Model: string(j.job.Arrived.Model),
		To: s.is.Layers().To(), Pos: s.done, Prio: j.prio,
	}
	switch {
	case s.from() > 0:
		s.step.Hidden = portion(j.inputs.from(s.from(), s.done), j.Chunk)
		return len(s.step.Hidden) > 0
	case j.prompting(s):
		s.step.Count = j.Positions
		if s.seq == 0 {
			s.step.Text = j.job.Text
		}
		return true
	case s.done == j.inputs.positions():
		return false
	default:
		rest := j.inputs.tokens[s.done-j.inputs.prompt:]
		s.step.Tokens = rest[:min(len(rest), j.Positions)]
		return true
	}
}

// prompting reports whether s is to run a part of the prompt.
func (j *run) prompting(s *stage) bool {
	return s.from() == 0 && (j.inputs.prompt == 0 || s.done < j.inputs.prompt)
}

// portion is the first of values, within limit bytes, one at least.
func portion(values [][]byte, limit int) [][]byte {
	size := 0
	for i, v := range values {
		size += len(v)
		if size > limit && i > 0 {
			return values[:i]
		}
	}
	return values
}

// take records what a stage made from its inputs. A reply that does not
// account for every input cannot be trusted with the layers.
func (j *run) take(s *stage) error {
	r := &j.reply
	if !j.accounts(s) {
		return j.lose(s, domain.CauseStateLost)
	}
	if r.Last && (!r.End || r.Total != r.Next) {
		return j.stalled(s)
	}
	s.seq, s.anew, s.stalls, s.pending = s.step.Seq, 0, 0, false
	j.sized(s)
	begin := s.done
	s.done = r.Next
	if s.from() > 0 {
		j.inputs.ran(s.from(), s.done)
	}
	if s.is.Layers().To() < j.depth {
		j.inputs.put(s.is.Layers().To(), begin, r.Hidden)
		return nil
	}
	// Only the output of the newest position is a token that was not there.
	if s.done < j.inputs.positions() {
		return nil
	}
	return j.token()
}

// accounts reports whether the reply tells of just the inputs of s.step.
func (j *run) accounts(s *stage) bool {
	r, n := &j.reply, len(s.step.Hidden)+len(s.step.Tokens)
	if j.prompting(s) {
		// Only the engine knows how many positions the prompt takes; it must
		// not change its mind.
		whole := r.Next + r.Left - len(s.step.Tokens)
		if whole <= 0 || j.inputs.prompt > 0 && whole != j.inputs.prompt {
			return false
		}
		n = max(1, r.Next-s.done)
	}
	if r.Pos != s.done || r.Next != s.done+n {
		return false
	}
	return s.is.Layers().To() == j.depth || len(r.Hidden) == n
}

// sized takes the size of the prompt from its first reply.
func (j *run) sized(s *stage) {
	if s.from() == 0 && j.inputs.prompt == 0 {
		j.inputs.prompt = j.reply.Next + j.reply.Left - len(s.step.Tokens)
	}
}

// token takes the last stage's token to the caller and back to layer 0.
func (j *run) token() error {
	if j.reply.Last {
		j.stop = true
		return nil
	}
	return j.give(j.reply.Token, j.reply.Text)
}

// lose drops the stage's state. It is rebuilt under a new attempt, since a
// step whose reply was lost may have been applied.
func (j *run) lose(s *stage, why domain.Cause) error {
	s.lost = true
	j.meters.lost.Inc()
	return &lostError{engine: s.is.Engine(), cause: why}
}

// anew sets the stage's state up again on its own engine, under a number that
// makes whatever the engine still has for it stale.
func (j *run) anew(s *stage) error {
	s.anew++
	if s.anew > stageRebuilds || j.rebuilds >= maxRebuilds {
		return j.lose(s, domain.CauseStateLost)
	}
	j.meters.rebuilds.Inc()
	j.reset(s)
	j.repair()
	return errAgain
}

// reset makes the stage run all its positions again under a new number.
func (j *run) reset(s *stage) {
	s.close()
	j.rebuilds++
	s.try, s.seq, s.done = j.attempt<<rebuildBits|j.rebuilds, 0, 0
	s.pending, s.sent, s.err = false, false, nil
}

func canceled(ctx context.Context) error {
	return errors.Wrap(ctx.Err(), "chain: canceled")
}
