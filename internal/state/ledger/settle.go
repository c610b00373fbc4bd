package ledger

import (
	"fulmarwick/internal/state/store"

	"github.com/go-faster/errors"
)

// takeSettle writes the end of a call after its send. The caller is told after
// the first try, whether it worked or not: what the send showed is true
// without the row, and the row at running is true but vague until a later try.
func (a *Attempt) takeSettle(r Result) {
	switch a.phase {
	case phaseSettle:
		a.settled(r)
	case phaseSettleRead:
		a.settleRead(r)
	default:
		a.phase = phaseSettle
	}
}

func (a *Attempt) settled(r Result) {
	a.tell(a.rec.outcome())
	switch {
	case r.Err == nil:
		a.phase = phaseEnd
	case errors.Is(r.Err, store.ErrConflict):
		a.phase = phaseSettleRead
	default:
		a.retry(phaseSettleWait)
	}
}

// settleRead looks why the row has not the version that was expected: an
// earlier try took effect and lost its answer, or somebody took this process
// for dead while it was paused.
func (a *Attempt) settleRead(r Result) {
	rec, err := decodeResult(r)
	mine := err == nil && rec.Attempt == a.rec.Attempt
	switch {
	case err != nil, r.Row.Version() <= a.version:
		a.retry(phaseSettleWait)
	case !mine, rec.State == StateDone, rec.State == a.rec.State:
		a.phase = phaseEnd
	default:
		a.version = r.Row.Version()
		a.phase = phaseSettle
	}
}

// takeClear turns the row of an attempt that never sends to notrun. If the
// first commit is still on its way, writing the row on the same condition
// first makes it fail.
func (a *Attempt) takeClear(r Result) {
	switch a.phase {
	case phaseClear:
		a.cleared(r)
	case phaseClearRead:
		a.clearRead(r)
	default:
		a.phase = phaseClear
	}
}

func (a *Attempt) cleared(r Result) {
	switch {
	case r.Err == nil:
		a.phase = phaseEnd
	case errors.Is(r.Err, store.ErrConflict):
		a.phase = phaseClearRead
	default:
		a.retry(phaseClearWait)
	}
}

func (a *Attempt) clearRead(r Result) {
	rec, err := decodeResult(r)
	switch {
	case err != nil, r.Row.Version() <= a.version:
		a.retry(phaseClearWait)
	case rec.Attempt != a.rec.Attempt, rec.State == StateNotRun:
		a.phase = phaseEnd
	default:
		a.version = r.Row.Version()
		a.phase = phaseClear
	}
}

func (a *Attempt) retry(p phase) {
	a.tries++
	a.phase = p
}
