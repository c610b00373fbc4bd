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
	// maxStageRebuilds bounds how often one stage is set up anew on its engine
	// without a step between.
	maxStageRebuilds = 2
	// tracerName names the spans of this package.
	tracerName = "fulmarwick/chain"
)

// stage is the state of one link of the chain.
type stage struct {
	spec   spec.Stage
	try    uint32
	seq    uint64
	done   int
	lost   bool
	stream frame.Stream
	// step is what the stage is to run next. While pending it stays as it is:
	// the engine may have run it, and knows it by its number only. sent says
	// that a reply is awaited, err what went wrong with sending.
	step    frame.Step
	pending bool
	sent    bool
	err     error
	// incarnation is the engine's incarnation when the state was opened.
	incarnation uint64
	// rebuilds and stalls count set-ups and repeats without a step between.
	rebuilds int
	stalls   int
	span     trace.Span
	// trace is the span as a traceparent, for the engine's own spans.
	trace string
}

func (s *stage) from() int { return s.spec.Layers().From() }

func (s *stage) close() {
	if s.stream != nil {
		s.stream.Close()
		s.stream = nil
	}
	if s.span != nil {
		s.span.SetAttributes(attribute.Int("positions", s.done))
		s.span.End()
		s.span = nil
	}
}

// open opens the stage's stream and its span, which last until close.
func (j *run) open(ctx context.Context, s *stage) error {
	if s.stream != nil {
		return nil
	}
	on, err := j.Engines.Open(ctx, s.spec.Engine(), j.reqID, s.try, s.from())
	if err != nil {
		return err
	}
	s.stream = on
	s.incarnation = on.Incarnation()
	_, s.span = trace.SpanFromContext(ctx).TracerProvider().Tracer(tracerName).Start(ctx, "stage",
		trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(
			attribute.String("engine", string(s.spec.Engine())),
			attribute.String("layers", s.spec.Layers().String()),
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

// prepare sets s.step to what brings s up to date, or a part of it, unless one is
// under way; false if nothing is missing.
func (j *run) prepare(s *stage) bool {
	if !s.pending {
		s.pending = j.buildStep(s)
	}
	return s.pending
}

func (j *run) buildStep(s *stage) bool {
	s.step = frame.Step{
		Verb: frame.VerbStep, Seq: s.seq + 1, Model: string(j.job.Arrived.Model),
		To: s.spec.Layers().To(), Pos: s.done, Prio: j.prio,
	}
	switch {
	case s.from() > 0:
		s.step.Hidden = limitBytes(j.inputs.from(s.from(), s.done), j.Chunk)
		return len(s.step.Hidden) > 0
	case j.inPrompt(s):
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

// inPrompt reports whether s is to run a part of the prompt.
func (j *run) inPrompt(s *stage) bool {
	return s.from() == 0 && (j.inputs.prompt == 0 || s.done < j.inputs.prompt)
}

// limitBytes is the first of values, within limit bytes, one at least.
func limitBytes(values [][]byte, limit int) [][]byte {
	size := 0
	for i, v := range values {
		size += len(v)
		if size > limit && i > 0 {
			return values[:i]
		}
	}
	return values
}

// applyReply records what a stage made from its inputs. A reply that does not
// account for every input cannot be trusted with the layers.
func (j *run) applyReply(s *stage) error {
	r := &j.reply
	if !j.coversStep(s) {
		return j.markLost(s, domain.CauseStateLost)
	}
	if r.Last && (!r.End || r.Total != r.Next) {
		return j.countStall(s)
	}
	s.seq, s.rebuilds, s.stalls, s.pending = s.step.Seq, 0, 0, false
	j.setPromptSize(s)
	begin := s.done
	s.done = r.Next
	if s.from() > 0 {
		j.inputs.release(s.from(), s.done)
	}
	if s.spec.Layers().To() < j.depth {
		j.inputs.put(s.spec.Layers().To(), begin, r.Hidden)
		return nil
	}
	// Only the output of the newest position is a token that was not there.
	if s.done < j.inputs.positions() {
		return nil
	}
	return j.emitToken()
}

// coversStep reports whether the reply tells of just the inputs of s.step.
func (j *run) coversStep(s *stage) bool {
	r, n := &j.reply, len(s.step.Hidden)+len(s.step.Tokens)
	if j.inPrompt(s) {
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
	return s.spec.Layers().To() == j.depth || len(r.Hidden) == n
}

// setPromptSize takes the size of the prompt from its first reply.
func (j *run) setPromptSize(s *stage) {
	if s.from() == 0 && j.inputs.prompt == 0 {
		j.inputs.prompt = j.reply.Next + j.reply.Left - len(s.step.Tokens)
	}
}

// emitToken takes the last stage's token to the caller and back to layer 0.
func (j *run) emitToken() error {
	if j.reply.Last {
		j.stop = true
		return nil
	}
	return j.deliver(j.reply.Token, j.reply.Text)
}

// markLost drops the stage's state. It is rebuilt under a new attempt, since a
// step whose reply was lost may have been applied.
func (j *run) markLost(s *stage, why domain.Cause) error {
	s.lost = true
	j.meters.lost.Inc()
	return &stageLostError{engine: s.spec.Engine(), cause: why}
}

// rebuild sets the stage's state up again on its own engine, under a number that
// makes whatever the engine still has for it stale.
func (j *run) rebuild(s *stage) error {
	s.rebuilds++
	if s.rebuilds > maxStageRebuilds || j.rebuilds >= maxRebuilds {
		return j.markLost(s, domain.CauseStateLost)
	}
	j.meters.rebuilds.Inc()
	j.reset(s)
	j.repair()
	return errStageReset
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
