package ledger

import (
	"fulmarwick/internal/state/store"

	"github.com/go-faster/errors"
)

// applySettle handles the write of the final record after the send. The outcome is
// reported to the caller after the first try, even if the write failed: the result
// of the send is true without the row, and a row in state running is not wrong,
// only imprecise, until a later try succeeds.
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

// handleSettleRead finds out why the row does not have the expected version. Either
// an earlier try took effect and its response was lost, or another instance
// declared this process dead while it was paused.
func (a *Attempt) handleSettleRead(r Result) {
	rec, err := decodeResult(r)
	isOwn := err == nil && rec.Attempt == a.ownRecord.Attempt
	switch {
	case err != nil, r.Row.Version() <= a.version:
		a.retry(phaseSettleWait)
	case !isOwn, rec.State == StateDone, rec.State == a.ownRecord.State:
		a.phase = phaseFinished
	default:
		a.version = r.Row.Version()
		a.phase = phaseSettle
	}
}

// applyClear sets the row of an attempt that never sends to notrun. If the first
// commit is still in flight, this write has the same condition, so that the first
// commit fails if this one is applied before it.
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
