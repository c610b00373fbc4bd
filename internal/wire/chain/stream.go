package chain

import (
	"context"

	"fulmarwick/internal/base/frame"
	"fulmarwick/internal/route/domain"
)

// stream runs a stage that covers the whole model: one step is sent, and each
// token is a reply.
func (j *run) stream(ctx context.Context, s *stage) error {
	if !j.buildStep(s) {
		return j.markLost(s, domain.CauseStateLost)
	}
	if s.done == 0 {
		// No hidden values are returned, so the size of a reply does not
		// matter and the whole prompt is sent in one step.
		s.step.Tokens = j.inputs.tokens
	}
	left := j.job.Arrived.MaxTokens - j.count()
	s.step.Verb, s.step.Count = frame.VerbRun, left
	base := s.step.Seq
	j.startStep(ctx, s)
	if err := j.awaitReply(ctx, s); err != nil {
		return err
	}
	for i := 0; ; i++ {
		if err := j.applyRunReply(s, i); err != nil {
			return err
		}
		if err := j.emitToken(); err != nil {
			return err
		}
		if j.ended() || j.reply.End {
			return nil
		}
		j.setNextStep(s)
		if err := j.recv(ctx, s, base); err != nil {
			return j.resume(ctx, s, err)
		}
		if err := j.checkCode(s); err != nil {
			return err
		}
	}
}

// setNextStep sets s.step to the step that the engine derives from its last
// token.
func (j *run) setNextStep(s *stage) {
	s.step.Seq++
	s.step.Pos = j.reply.Next
	s.step.Text = ""
	s.step.Tokens = j.inputs.tokens[j.count()-1:]
}

// applyRunReply checks reply i of a run and updates the stage. If an end
// reports another number of tokens than were received, replies are missing and
// the rest of the run is requested again.
func (j *run) applyRunReply(s *stage, i int) error {
	r := &j.reply
	if r.Left != 0 || !j.coversStep(s) {
		return j.markLost(s, domain.CauseStateLost)
	}
	want := i + 1
	if r.Last {
		want = i
	}
	if r.Index != i || r.Last && !r.End || r.End && r.Total != want {
		return j.countStall(s)
	}
	j.setPromptSize(s)
	s.seq, s.done, s.rebuilds, s.stalls = r.Seq, r.Next, 0, 0
	return nil
}

// resume handles err and makes the loop request the run again from the next
// token on.
func (j *run) resume(ctx context.Context, s *stage, err error) error {
	s.stalls++
	if err := j.handleError(ctx, s, err, s.stalls-1); err != nil {
		return err
	}
	return errStageReset
}

func (j *run) countStall(s *stage) error {
	s.stalls++
	if s.stalls > maxStalls {
		return j.markLost(s, domain.CauseStateLost)
	}
	j.meters.resends.Inc()
	return errStageReset
}
