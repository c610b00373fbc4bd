package ledger

import (
	"fulmarwick/internal/state/store"

	"github.com/go-faster/errors"
)

// applySettle writes the end of a call after its send. The caller is told after
// the first try, whether it worked or not: what the send showed is true
// without the row, and the row at running is true but vague until a later try.
func (a *Attempt) applySettle(r Result) {
	switch a.phase {
	case phaseSettle:
		a.handleSettle(r)
	case phaseSettleRead:
		a.handleSettleRead(r)
	default:
		a.phase = phaseSettle
	}
}

func (a *Attempt) handleSettle(r Result) {
	a.resolve(a.ownRecord.outcome())
	switch {
	case r.Err == nil:
		a.phase = phaseFinished
	case errors.Is(r.Err, store.ErrConflict):
		a.phase = phaseSettleRead
	default:
		a.retry(phaseSettleWait)
	}
}

// handleSettleRead looks why the row has not the version that was expected: an
// earlier try took effect and lost its answer, or somebody took this process
// for dead while it was paused.
func (a *Attempt) handleSettleRead(r Result) {
	rec, err := decodeResult(r)
	mine := err == nil && rec.Attempt == a.ownRecord.Attempt
	switch {
	case err != nil, r.Row.Version() <= a.version:
		a.retry(phaseSettleWait)
	case !mine, rec.State == StateDone, rec.State == a.ownRecord.State:
		a.phase = phaseFinished
	default:
		a.version = r.Row.Version()
		a.phase = phaseSettle
	}
}

// applyClear turns the row of an attempt that never sends to notrun. If the
// first commit is still on its way, writing the row on the same condition
// first makes it fail.
func (a *Attempt) applyClear(r Result) {
	switch a.phase {
	case phaseClear:
		a.handleClear(r)
	case phaseClearRead:
		a.handleClearRead(r)
	default:
		a.phase = phaseClear
	}
}

func (a *Attempt) handleClear(r Result) {
	switch {
	case r.Err == nil:
		a.phase = phaseFinished
	case errors.Is(r.Err, store.ErrConflict):
		a.phase = phaseClearRead
	default:
		a.retry(phaseClearWait)
	}
}

func (a *Attempt) handleClearRead(r Result) {
	rec, err := decodeResult(r)
	switch {
	case err != nil, r.Row.Version() <= a.version:
		a.retry(phaseClearWait)
	case rec.Attempt != a.ownRecord.Attempt, rec.State == StateNotRun:
		a.phase = phaseFinished
	default:
		a.version = r.Row.Version()
		a.phase = phaseClear
	}
}

func (a *Attempt) retry(p phase) {
	a.retries++
	a.phase = p
}
