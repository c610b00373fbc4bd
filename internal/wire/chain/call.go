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
	// reconnectTimeout bounds the attempt to reach an engine again whose
	// connection broke; a request waits for no longer than this before its
	// stage is replaced.
	reconnectTimeout = 300 * time.Millisecond
	// maxResends is how often one step is sent again, under the same number.
	maxResends = 2
	// maxStalls is how often a run is asked for again without a token between.
	maxStalls = 8
)

// startStep puts s.step on its way. What goes wrong shows when its reply is waited
// for.
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

// awaitReply leaves the reply to s.step in j.reply. A step that got none is sent
// again where that is safe.
func (j *run) awaitReply(ctx context.Context, s *stage) error {
	defer func() { s.sent = false }()
	for tries := 0; ; tries++ {
		err := s.err
		s.err = nil
		if err == nil {
			err = j.recv(ctx, s, s.step.Seq)
		}
		if err == nil {
			return j.checkCode(s)
		}
		if err := j.handleError(ctx, s, err, tries); err != nil {
			return err
		}
		s.err = j.send(ctx, s)
	}
}

// recv waits for the reply to s.step. Base is the number of the step that was
// sent; in a run the engine goes on by itself, and a reply from beyond the one
// awaited shows that replies are missing, which the engine can give again.
func (j *run) recv(ctx context.Context, s *stage, base uint64) error {
	for {
		if err := s.stream.Recv(ctx, j.timeoutOf(s), &j.reply); err != nil {
			return err
		}
		r := &j.reply
		// A reply of a run that was asked for again counts from elsewhere.
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

// timeoutOf is how long the stage may take for a step.
func (j *run) timeoutOf(s *stage) time.Duration {
	wait := j.stepTimeout
	if s.seq == 0 {
		wait = j.prefillTimeout
	}
	if wait <= 0 {
		return defaultStepTimeout
	}
	return wait
}

// matches reports whether the reply is of this run and of the stage's present
// state. One of another request or an older attempt would put foreign layers
// into the answer.
func (j *run) matches(s *stage) bool {
	r := &j.reply
	return r.Req == j.reqID && r.Try == s.try && r.From == s.from()
}

// checkCode turns the reply's code into what it means for the stage.
func (j *run) checkCode(s *stage) error {
	switch j.reply.Code {
	case frame.CodeOK:
		return nil
	case frame.CodeGap, frame.CodeStale:
		// The engine lives but its state is not the one that was left there,
		// for it expired or was dropped.
		return j.rebuild(s)
	case frame.CodeLeave, frame.CodeFull:
		return j.markLost(s, domain.CauseLeaving)
	default:
		return j.markLost(s, domain.CauseStateLost)
	}
}

// handleError returns nil if the step may be sent again under its number: the engine
// answers a step that it did already from memory.
func (j *run) handleError(ctx context.Context, s *stage, err error, tries int) error {
	switch {
	case ctx.Err() != nil:
		return canceled(ctx)
	case errors.Is(err, engine.ErrRefused):
		return j.markLost(s, domain.CauseRefused)
	case errors.Is(err, engine.ErrBroken):
		if tries >= maxResends {
			return j.markLost(s, domain.CauseBroken)
		}
		return j.reconnect(ctx, s)
	case errors.Is(err, engine.ErrOverflow):
		if tries >= maxStalls {
			return j.markLost(s, domain.CauseStateLost)
		}
		j.meters.resends.Inc()
		return nil
	case errors.Is(err, engine.ErrTimeout):
		if tries >= maxResends {
			return j.markLost(s, domain.CauseTimeout)
		}
		j.meters.resends.Inc()
		return nil
	default:
		return j.markLost(s, domain.CauseStateLost)
	}
}

// reconnect opens the stage's stream again on an engine that still has its
// state. An engine that restarted has not, and what killed it may be this
// very request: nothing is sent to it before the routing logic knows.
func (j *run) reconnect(ctx context.Context, s *stage) error {
	wait, cancel := context.WithTimeout(ctx, reconnectTimeout)
	defer cancel()
	if s.stream != nil {
		s.stream.Leave()
	}
	s.stream = nil
	on, err := j.Engines.Open(wait, s.spec.Engine(), j.reqID, s.try, s.from())
	if err != nil {
		if ctx.Err() != nil {
			return canceled(ctx)
		}
		return j.markLost(s, domain.CauseBroken)
	}
	s.stream = on
	if on.Incarnation() != s.incarnation || s.incarnation == 0 {
		return j.markLost(s, domain.CauseBroken)
	}
	j.meters.reconnects.Inc()
	return nil
}
