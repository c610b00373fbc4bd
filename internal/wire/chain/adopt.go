package chain

import (
	"context"
	"time"

	"fulmarwick/internal/base/frame"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
)

// minMovePositions is the smallest KV cache, in positions, that is moved
// between engines. A shorter one is replayed in one step, which takes less
// time than the two calls of a move.
const minMovePositions = 64

// adopt switches the run to the chain of c. It keeps the stages that are
// unchanged in the new chain and closes the others. A lost stage is never
// kept.
func (j *run) adopt(ctx context.Context, c domain.Start) error {
	if err := c.Chain.Check(c.Depth); err != nil {
		return err
	}
	old := j.stages
	j.attempt, j.rebuilds, j.depth, j.prio = c.Attempt, 0, c.Depth, c.Priority
	j.stepTimeout, j.prefillTimeout = c.StepTimeout, c.PrefillTimeout
	// Report progress with the next token: it clears a request that is
	// suspected of crashing engines.
	j.lastProgress = time.Time{}
	j.stages = make([]*stage, 0, len(c.Chain))
	for _, s := range c.Chain {
		j.stages = append(j.stages, j.reuseStage(&old, s))
	}
	j.dropInputs(c.Chain)
	j.moveCaches(ctx, old)
	for _, s := range old {
		s.close()
	}
	j.repair()
	return nil
}

// waitAgain keeps the chain although a stage was lost. The pending step is sent
// again under its sequence number.
func (j *run) waitAgain(c domain.Wait) {
	j.stepTimeout, j.prefillTimeout = c.StepTimeout, c.PrefillTimeout
	for _, s := range j.stages {
		s.lost, s.stalls = false, 0
	}
}

func (j *run) reuseStage(old *[]*stage, want spec.Stage) *stage {
	for i, s := range *old {
		if s.spec == want && !s.lost {
			*old = append((*old)[:i], (*old)[i+1:]...)
			return s
		}
	}
	return j.newStage(want)
}

// dropInputs drops the inputs at boundaries that the new chain does not have.
func (j *run) dropInputs(c spec.Chain) {
	boundaries := map[int]bool{}
	for _, s := range c {
		boundaries[s.Layers().From()] = true
	}
	for boundary := range j.inputs.journals {
		if !boundaries[boundary] {
			j.inputs.drop(boundary)
		}
	}
}

// repair resets stages whose outputs are needed by a later stage but are no
// longer kept. It goes from the last stage to the first, since a stage that is
// reset needs its own inputs from the start.
func (j *run) repair() {
	for i := len(j.stages) - 1; i > 0; i-- {
		s, previous := j.stages[i], j.stages[i-1]
		if j.inputs.covers(s.from(), s.done, previous.done) {
			continue
		}
		j.inputs.drop(s.from())
		if s.done < previous.done {
			j.reset(previous)
		}
	}
}

// moveCaches fills new stages from the KV caches of replaced stages whose
// engines still hold them. It does so only where this saves a replay: the
// stage after must not need outputs that only a replay produces.
func (j *run) moveCaches(ctx context.Context, old []*stage) {
	if j.KV == nil {
		return
	}
	for i := len(j.stages) - 1; i >= 0; i-- {
		s := j.stages[i]
		from := cacheSource(old, s)
		if s.done > 0 || from == nil {
			continue
		}
		if i+1 < len(j.stages) && !j.inputs.covers(s.spec.Layers().To(), j.stages[i+1].done, from.done) {
			continue
		}
		j.moveCache(ctx, from, s)
	}
}

// cacheSource returns a replaced stage whose KV cache covers the layers of s,
// or nil.
func cacheSource(old []*stage, s *stage) *stage {
	for _, o := range old {
		if !o.lost && o.done >= minMovePositions && o.spec.Layers().Covers(s.spec.Layers()) {
			return o
		}
	}
	return nil
}

// moveCache copies the KV cache of from to the engine of to. The copy is not
// used if it holds another number of positions than this run has recorded: it
// may contain a step whose output was lost.
func (j *run) moveCache(ctx context.Context, from, to *stage) {
	want := frame.KV{
		Req: j.reqID, Model: string(j.job.Arrived.Model), Try: to.try,
		From: to.from(), To: to.spec.Layers().To(),
	}
	pos, err := j.KV.Move(ctx, from.spec.Engine(), to.spec.Engine(), want)
	if err != nil || pos != from.done {
		j.rebuilds++
		to.try = j.attempt<<rebuildBits | j.rebuilds
		return
	}
	j.meters.moves.Inc()
	to.done = pos
}
