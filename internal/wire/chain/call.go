package chain

import (
	"context"
	"time"

	"fulmarwick/internal/base/frame"
	"fulmarwick/internal/route/domain"
	"fulmarwick/internal/wire/engine"

	"github.com/go-faster/errors"
)

const (
	// reconnectTimeout bounds the attempt to reconnect to an engine after its
	// connection broke. A request waits at most this long before its stage is
	// replaced.
	reconnectTimeout = 300 * time.Millisecond
	// maxResends is how often one step is sent again under the same sequence
	// number.
	maxResends = 2
	// maxStalls is how often the rest of a run is requested again without a
	// token in between.
	maxStalls = 8
)

// startStep sends s.step unless it was sent already. An error is kept in
// s.err; awaitReply handles it.
func (j *run) startStep(ctx context.Context, s *stage) {
	if s.sent {
		return
	}
	j.meters.steps.Inc()
	s.sent = true
	s.err = j.send(ctx, s)
}

func (j *run) send(ctx context.Context, s *stage) error {
	if err := j.open(ctx, s); err != nil {
		return err
	}
	if s.step.Seq == 1 {
		s.step.Trace = s.trace
	}
	return s.stream.Send(&s.step)
}

// awaitReply waits for the reply to s.step and stores it in j.reply. If there
// is none, it sends the step again where that is safe.
func (j *run) awaitReply(ctx context.Context, s *stage) error {
	defer func() { s.sent = false }()
	for retries := 0; ; retries++ {
		err := s.err
		s.err = nil
		if err == nil {
			err = j.recv(ctx, s, s.step.Seq)
		}
		if err == nil {
			return j.checkCode(s)
		}
		if err := j.handleError(ctx, s, err, retries); err != nil {
			return err
		}
		s.err = j.send(ctx, s)
	}
}

// recv waits for the reply to s.step. base is the sequence number of the step
// that was sent. In a run the engine continues on its own: a reply beyond the
// expected one shows that replies are missing, and the engine can send those
// again.
func (j *run) recv(ctx context.Context, s *stage, base uint64) error {
	for {
		if err := s.stream.Recv(ctx, j.timeoutOf(s), &j.reply); err != nil {
			return err
		}
		r := &j.reply
		// The index of a reply counts from the step that requested the run, so
		// a reply to an earlier request of the run has another index.
		current := j.matches(s) && r.Seq >= base && (r.Code != frame.CodeOK || r.Index == int(r.Seq-base))
		switch {
		case current && r.Seq == s.step.Seq:
			return nil
		case current && r.Seq > s.step.Seq:
			return engine.ErrOverflow
		}
		j.meters.stale.Inc()
	}
}

// timeoutOf returns how long the stage may take for its next step.
func (j *run) timeoutOf(s *stage) time.Duration {
	timeout := j.stepTimeout
	if s.seq == 0 {
		timeout = j.prefillTimeout
	}
	if timeout <= 0 {
		return defaultStepTimeout
	}
	return timeout
}

// matches reports whether the reply belongs to this run and to the current
// state of the stage. A reply to another request or an older attempt would put
// outputs of foreign layers into the answer.
func (j *run) matches(s *stage) bool {
	r := &j.reply
	return r.Req == j.reqID && r.Try == s.try && r.From == s.from()
}

// checkCode returns the error that the code of the reply means for the stage.
func (j *run) checkCode(s *stage) error {
	switch j.reply.Code {
	case frame.CodeOK:
		return nil
	case frame.CodeGap, frame.CodeStale:
		// The engine is up, but the state it was left with has expired or was
		// dropped.
		return j.rebuild(s)
	case frame.CodeLeaving, frame.CodeFull:
		return j.markLost(s, domain.CauseLeaving)
	default:
		return j.markLost(s, domain.CauseStateLost)
	}
}

// handleError returns nil if the step may be sent again under its sequence
// number. This is safe because the engine answers a step that it has already
// run from memory.
func (j *run) handleError(ctx context.Context, s *stage, err error, retries int) error {
	switch {
	case ctx.Err() != nil:
		return canceled(ctx)
	case errors.Is(err, engine.ErrRefused):
		return j.markLost(s, domain.CauseRefused)
	case errors.Is(err, engine.ErrBroken):
		if retries >= maxResends {
			return j.markLost(s, domain.CauseBroken)
		}
		return j.reconnect(ctx, s)
	case errors.Is(err, engine.ErrOverflow):
		if retries >= maxStalls {
			return j.markLost(s, domain.CauseStateLost)
		}
		j.meters.resends.Inc()
		return nil
	case errors.Is(err, engine.ErrTimeout):
		if retries >= maxResends {
			return j.markLost(s, domain.CauseTimeout)
		}
		j.meters.resends.Inc()
		return nil
	default:
		return j.markLost(s, domain.CauseStateLost)
	}
}

// reconnect reopens the stream of the stage on an engine that still has its
// state. An engine that restarted has lost it, and this request may be what
// crashed the engine: nothing is sent to it until the routing logic has
// decided.
func (j *run) reconnect(ctx context.Context, s *stage) error {
	timeoutCtx, cancel := context.WithTimeout(ctx, reconnectTimeout)
	defer cancel()
	if s.stream != nil {
		s.stream.Leave()
	}
	s.stream = nil
	stream, err := j.Engines.Open(timeoutCtx, s.spec.Engine(), j.reqID, s.try, s.from())
	if err != nil {
		if ctx.Err() != nil {
			return canceled(ctx)
		}
		return j.markLost(s, domain.CauseBroken)
	}
	s.stream = stream
	if stream.Incarnation() != s.incarnation || s.incarnation == 0 {
		return j.markLost(s, domain.CauseBroken)
	}
	j.meters.reconnects.Inc()
	return nil
}
