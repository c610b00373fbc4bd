package chain

import (
	"context"
	"time"

	"fulmarwick/internal/base/frame"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
)

// movePositions is the least cache worth moving; a shorter one is replayed in
// one step for less than the two calls of a move.
const movePositions = 64

// adopt keeps the stages that stand unchanged in the new chain and drops the
// others. A stage that was lost never stands unchanged.
func (j *run) adopt(ctx context.Context, c domain.Start) error {
	if err := c.Chain.Check(c.Depth); err != nil {
		return err
	}
	old := j.stages
	j.attempt, j.rebuilds, j.depth, j.prio = c.Attempt, 0, c.Depth, c.Priority
	j.patience, j.prefill = c.StepTimeout, c.PrefillTimeout
	// The next token is told at once: it clears a suspect of poison.
	j.told = time.Time{}
	j.stages = make([]*stage, 0, len(c.Chain))
	for _, s := range c.Chain {
		j.stages = append(j.stages, j.keep(&old, s))
	}
	j.forget(c.Chain)
	j.move(ctx, old)
	for _, s := range old {
		s.close()
	}
	j.repair()
	return nil
}

func (j *run) keep(old *[]*stage, want spec.Stage) *stage {
	for i, s := range *old {
		if s.is == want && !s.lost {
			*old = append((*old)[:i], (*old)[i+1:]...)
			return s
		}
	}
	return j.stageOf(want)
}

// forget drops the inputs at boundaries that the chain no longer has.
func (j *run) forget(c spec.Chain) {
	now := map[int]bool{}
	for _, s := range c {
		now[s.Layers().From()] = true
	}
	for boundary := range j.inputs.journal {
		if !now[boundary] {
			j.inputs.drop(boundary)
		}
	}
}

// repair makes stages run again whose outputs a later stage needs and that
// are not kept. It goes from the last stage to the first, since a stage that
// runs again needs its own inputs from the start.
func (j *run) repair() {
	for i := len(j.stages) - 1; i > 0; i-- {
		s, before := j.stages[i], j.stages[i-1]
		if j.inputs.serve(s.from(), s.done, before.done) {
			continue
		}
		j.inputs.drop(s.from())
		if s.done < before.done {
			j.reset(before)
		}
	}
}

// move fills new stages from the caches of replaced ones whose engines still
// have them, where that saves a replay: the stage after must not need outputs
// that only a replay gives.
func (j *run) move(ctx context.Context, old []*stage) {
	if j.KV == nil {
		return
	}
	for i := len(j.stages) - 1; i >= 0; i-- {
		s := j.stages[i]
		from := donor(old, s)
		if s.done > 0 || from == nil {
			continue
		}
		if i+1 < len(j.stages) && !j.inputs.serve(s.is.Layers().To(), j.stages[i+1].done, from.done) {
			continue
		}
		j.bring(ctx, from, s)
	}
}

// donor is the replaced stage whose cache covers that of s.
func donor(old []*stage, s *stage) *stage {
	for _, o := range old {
		if !o.lost && o.done >= movePositions && o.is.Layers().Covers(s.is.Layers()) {
			return o
		}
	}
	return nil
}

// bring copies the cache. A cache that holds another number of positions than
// this run knows of is not used: it may hold a step whose output was lost.
func (j *run) bring(ctx context.Context, from, to *stage) {
	want := frame.KV{
		Req: j.name, Model: string(j.job.Arrived.Model), Try: to.try,
		From: to.from(), To: to.is.Layers().To(),
	}
	pos, err := j.KV.Move(ctx, from.is.Engine(), to.is.Engine(), want)
	if err != nil || pos != from.done {
		j.rebuilds++
		to.try = j.attempt<<rebuildBits | j.rebuilds
		return
	}
	j.meters.moves.Inc()
	to.done = pos
}
