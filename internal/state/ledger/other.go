package ledger

import (
	"fulmarwick/internal/state/store"

	"github.com/go-faster/errors"
)

// NewLookup returns an attempt that only finds the state of a call and never sends
// it. The body of the call is ignored.
func NewLookup(p Params) *Attempt {
	return &Attempt{params: p, phase: phaseRead}
}

// isLookup reports whether the attempt is a lookup. The record of a lookup has no
// attempt ID.
func (a *Attempt) isLookup() bool { return a.ownRecord.Attempt == "" }

func (a *Attempt) nextOtherAction() Action {
	if a.phase == phaseConfirm && a.otherRecord.State == StateNone {
		// Removing a row that must not exist changes nothing; it only checks
		// that there is no row.
		return Action{kind: ActCommit, write: store.Remove(a.key(), 0)}
	}
	return a.commit(a.otherRecord, a.version)
}

// applyOther handles results about a row that another attempt, or an earlier one,
// wrote.
func (a *Attempt) applyOther(r Result) {
	switch a.phase {
	case phaseRead:
		a.handleRead(r)
	case phaseWait:
		a.phase = phaseRead
	case phaseMarkUnsure:
		a.handleMark(r)
	case phaseQueryOther:
		a.handleQueryOther(r)
	case phaseStoreOutcome:
		a.handleStore(r)
	case phaseConfirm:
		a.handleConfirm(r)
	}
}

func (a *Attempt) handleRead(r Result) {
	rec, err := decodeResult(r)
	switch {
	case err == nil:
		a.handleRecord(rec, r.Row.Version())
	case errors.Is(err, store.ErrNotFound):
		a.handleMissing()
	default:
		a.resolveUnreadable(err)
	}
}

// handleRecord continues according to a record that another attempt wrote.
func (a *Attempt) handleRecord(rec record, version uint64) {
	a.otherRecord, a.version = rec, version
	if !a.isLookup() && rec.BodyHash != a.ownRecord.BodyHash {
		a.resolveError(ErrBodyMismatch)
		a.phase = phaseFinished
		return
	}
	switch rec.State {
	case StateDone:
		a.finish(rec.outcome())
	case StateNotRun:
		a.handleNotRun(version)
	case StateUnsure:
		a.handleUnsure()
	default:
		a.handleRunning()
	}
}

// handleNotRun starts over on a row whose attempt did not run. A lookup confirms
// the row by a commit instead: with a stale read it would report "not run" for a
// call that ran in a later attempt.
func (a *Attempt) handleNotRun(version uint64) {
	if a.isLookup() {
		a.phase = phaseConfirm
		return
	}
	a.restart(version)
}

func (a *Attempt) handleMissing() {
	if a.isLookup() {
		a.otherRecord = record{}
		a.phase = phaseConfirm
		return
	}
	a.restart(0)
}

func (a *Attempt) restart(base uint64) {
	if !a.countRestart() {
		return
	}
	a.baseVersion = base
	a.phase = phaseBegin
}

// countRestart counts a restart and reports whether it is allowed. It ends the
// attempt if there were too many.
func (a *Attempt) countRestart() bool {
	a.restarts++
	if a.restarts > maxRestarts {
		a.resolveUnreadable(errors.New("ledger: reads are stale"))
		return false
	}
	return true
}

// resolveUnreadable ends an attempt that knows that a row exists but cannot read it.
// The call with this key may have run before, so "not run" is not reported.
func (a *Attempt) resolveUnreadable(cause error) {
	if a.isLookup() {
		a.resolveError(errors.Wrap(ErrRecordUnreadable, cause.Error()))
		a.phase = phaseFinished
		return
	}
	a.finish(Outcome{state: StateUnsure, reason: "the record exists and could not be read"})
}

// handleRunning waits for the attempt that holds the row, or marks the record unsure
// if the process of that attempt is known to have exited.
func (a *Attempt) handleRunning() {
	switch {
	case a.params.HasExited(a.otherRecord.Owner):
		a.otherRecord = a.otherRecord.withState(StateUnsure, Answer{}, "the instance that sent the call is gone")
		a.phase = phaseMarkUnsure
	case a.isQueryDue():
		a.queriedAtPoll = a.polls
		a.phase = phaseQueryOther
	default:
		a.schedulePoll()
	}
}

// isQueryDue reports whether it is time to query the upstream about a call that
// runs on another instance. If that instance died after the service answered, the
// row stays in state running; without the query the caller would wait until the
// death is certain.
func (a *Attempt) isQueryDue() bool {
	after := a.params.PollsBeforeQuery
	due := after > 0 && a.polls >= after && (a.polls-after)%pollsPerQuery == 0
	return a.params.SupportsOutcomes && due && a.queriedAtPoll != a.polls
}

func (a *Attempt) schedulePoll() {
	if a.polls >= a.params.MaxPolls {
		a.finish(Outcome{state: StateRunning})
		return
	}
	a.polls++
	a.phase = phaseWait
}

func (a *Attempt) handleMark(r Result) {
	switch {
	case r.Err == nil:
		a.version = r.Version
		a.handleUnsure()
	case errors.Is(r.Err, store.ErrConflict) && a.countRestart():
		a.phase = phaseRead
	case !a.resolved:
		a.finish(a.otherRecord.outcome())
	}
}

func (a *Attempt) handleUnsure() {
	if !a.params.SupportsOutcomes {
		a.finish(a.otherRecord.outcome())
		return
	}
	a.phase = phaseQueryOther
}

// handleQueryOther stores the outcome that the upstream reports for a call that is
// unsure or runs on another instance. If the upstream does not answer or knows no
// outcome, the call is not marked as not run: its sender may be paused before the
// send, and "not run" would become false when it resumes.
func (a *Attempt) handleQueryOther(r Result) {
	if r.Err != nil && a.otherRecord.State == StateRunning {
		a.schedulePoll()
		return
	}
	if r.Err != nil {
		a.finish(a.otherRecord.outcome())
		return
	}
	a.otherRecord = a.otherRecord.withState(StateDone, r.Answer, "")
	a.phase = phaseStoreOutcome
}

// handleStore reports done only if the row has that state now, so that all callers
// get the same answer.
func (a *Attempt) handleStore(r Result) {
	switch {
	case r.Err == nil:
		a.finish(a.otherRecord.outcome())
	case errors.Is(r.Err, store.ErrConflict) && a.countRestart():
		a.phase = phaseRead
	case !a.resolved:
		a.finish(Outcome{state: StateUnsure, reason: "the outcome could not be stored"})
	}
}

func (a *Attempt) handleConfirm(r Result) {
	switch {
	case r.Err == nil:
		a.finish(a.otherRecord.outcome())
	case errors.Is(r.Err, store.ErrConflict):
		if a.countRestart() {
			a.phase = phaseRead
		}
	default:
		a.resolveUnreadable(r.Err)
	}
}
