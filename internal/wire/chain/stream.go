package chain

import (
	"context"

	"fulmarwick/internal/base/frame"
	"fulmarwick/internal/route/domain"
)

// stream runs a whole-model stage: one step, a reply per token.
func (j *run) stream(ctx context.Context, s *stage) error {
	if !j.build(s) {
		return j.lose(s, domain.CauseStateLost)
	}
	if s.done == 0 {
		// No hidden values come back, so the whole prompt goes in one step.
		s.step.Tokens = j.inputs.tokens
	}
	left := j.job.Arrived.MaxTokens - j.count()
	s.step.Verb, s.step.Count = frame.VerbRun, left
	base := s.step.Seq
	j.begin(ctx, s)
	if err := j.call(ctx, s); err != nil {
		return err
	}
	for i := 0; ; i++ {
		if err := j.counted(s, i); err != nil {
			return err
		}
		if err := j.token(); err != nil {
			return err
		}
		if j.ended() || j.reply.End {
			return nil
		}
		j.proceed(s)
		if err := j.recv(ctx, s, base); err != nil {
			return j.resume(ctx, s, err)
		}
		if err := j.checked(s); err != nil {
			return err
		}
	}
}

// proceed sets s.step to the one that the engine makes of its last token.
func (j *run) proceed(s *stage) {
	s.step.Seq++
	s.step.Pos = j.reply.Next
	s.step.Text = ""
	s.step.Tokens = j.inputs.tokens[j.count()-1:]
}

// counted takes reply i of a run into the stage's numbers. An end whose count
// differs from what came is not an end: the rest is asked for again.
func (j *run) counted(s *stage, i int) error {
	r := &j.reply
	if r.Left != 0 || !j.accounts(s) {
		return j.lose(s, domain.CauseStateLost)
	}
	want := i + 1
	if r.Last {
		want = i
	}
	if r.Index != i || r.Last && !r.End || r.End && r.Total != want {
		return j.stalled(s)
	}
	j.sized(s)
	s.seq, s.done, s.anew, s.stalls = r.Seq, r.Next, 0, 0
	return nil
}

// resume has the run asked for again from the next token on.
func (j *run) resume(ctx context.Context, s *stage, err error) error {
	s.stalls++
	if err := j.mend(ctx, s, err, s.stalls-1); err != nil {
		return err
	}
	return errAgain
}

func (j *run) stalled(s *stage) error {
	s.stalls++
	if s.stalls > maxStalls {
		return j.lose(s, domain.CauseStateLost)
	}
	j.meters.resends.Inc()
	return errAgain
}
