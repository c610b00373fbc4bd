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
	// rebuildBits is the number of low bits of a Try that count the resets of
	// states within one attempt. The bits above hold the attempt.
	rebuildBits = 8
	maxRebuilds = 1<<rebuildBits - 1
	// maxStageRebuilds bounds how often one stage is reset on its engine
	// without a completed step in between.
	maxStageRebuilds = 2
	// tracerName is the name of the tracer of this package.
	tracerName = "fulmarwick/chain"
)

// stage is the state of one stage of the chain.
type stage struct {
	spec   spec.Stage
	try    uint32
	seq    uint64
	done   int
	lost   bool
	stream frame.Stream
	// step is the next step of the stage. While pending is true it must not
	// change: the engine may have run it, and identifies it only by its
	// sequence number. sent means that a reply is awaited, and err is the
	// error of sending the step.
	step    frame.Step
	pending bool
	sent    bool
	err     error
	// incarnation is the incarnation of the engine when the state was opened
	// on it.
	incarnation uint64
	// rebuilds and stalls count the resets and the repeated requests without a
	// completed step in between.
	rebuilds int
	stalls   int
	span     trace.Span
	// trace is the span as a traceparent header value, for the spans of the
	// engine.
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

// open opens the stream and the span of the stage. Both last until close.
func (j *run) open(ctx context.Context, s *stage) error {
	if s.stream != nil {
		return nil
	}
	stream, err := j.Engines.Open(ctx, s.spec.Engine(), j.reqID, s.try, s.from())
	if err != nil {
		return err
	}
	s.stream = stream
	s.incarnation = stream.Incarnation()
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

// traceparent returns the span of ctx as a W3C traceparent header value, or ""
// if tracing is off.
func traceparent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier.Get("traceparent")
}

// prepare sets s.step to the next step that s needs, unless a step is pending
// already. It returns false if s is up to date.
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
		s.step.Hidden = limitBytes(j.inputs.from(s.from(), s.done), j.ChunkBytes)
		return len(s.step.Hidden) > 0
	case j.inPrompt(s):
		s.step.Count = j.StepPositions
		if s.seq == 0 {
			s.step.Text = j.job.Text
		}
		return true
	case s.done == j.inputs.positions():
		return false
	default:
		rest := j.inputs.tokens[s.done-j.inputs.prompt:]
		s.step.Tokens = rest[:min(len(rest), j.StepPositions)]
		return true
	}
}

// inPrompt reports whether the next step of s runs a part of the prompt.
func (j *run) inPrompt(s *stage) bool {
	return s.from() == 0 && (j.inputs.prompt == 0 || s.done < j.inputs.prompt)
}

// limitBytes returns the first values that together have at most limit bytes,
// but at least one value.
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

// applyReply records the outputs of the step in j.reply. A reply that does not
// account for every input cannot be trusted, and the stage is lost.
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
	// Only the output for the newest position is a new token.
	if s.done < j.inputs.positions() {
		return nil
	}
	return j.emitToken()
}

// coversStep reports whether the reply accounts for exactly the inputs of
// s.step.
func (j *run) coversStep(s *stage) bool {
	r, n := &j.reply, len(s.step.Hidden)+len(s.step.Tokens)
	if j.inPrompt(s) {
		// Only the engine knows how many positions the prompt takes. The
		// number must be the same in all its replies.
		total := r.Next + r.Left - len(s.step.Tokens)
		if total <= 0 || j.inputs.prompt > 0 && total != j.inputs.prompt {
			return false
		}
		n = max(1, r.Next-s.done)
	}
	if r.Pos != s.done || r.Next != s.done+n {
		return false
	}
	return s.spec.Layers().To() == j.depth || len(r.Hidden) == n
}

// setPromptSize sets the number of positions of the prompt from its first
// reply.
func (j *run) setPromptSize(s *stage) {
	if s.from() == 0 && j.inputs.prompt == 0 {
		j.inputs.prompt = j.reply.Next + j.reply.Left - len(s.step.Tokens)
	}
}

// emitToken passes the token of the last stage to the caller and adds it to
// the inputs of layer 0.
func (j *run) emitToken() error {
	if j.reply.Last {
		j.stop = true
		return nil
	}
	return j.deliver(j.reply.Token, j.reply.Text)
}

// markLost marks the stage as lost. Its state is rebuilt under a new attempt,
// since a step whose reply was lost may have been applied.
func (j *run) markLost(s *stage, cause domain.Cause) error {
	s.lost = true
	j.meters.lost.Inc()
	return &stageLostError{engine: s.spec.Engine(), cause: cause}
}

// rebuild resets the stage on its own engine. The new Try makes any state that
// the engine still has for the stage stale.
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

// reset makes the stage run all its positions again under a new Try.
func (j *run) reset(s *stage) {
	s.close()
	j.rebuilds++
	s.try, s.seq, s.done = j.attempt<<rebuildBits|j.rebuilds, 0, 0
	s.pending, s.sent, s.err = false, false, nil
}

func canceled(ctx context.Context) error {
	return errors.Wrap(ctx.Err(), "chain: canceled")
}
