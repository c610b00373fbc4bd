package ledger

import (
	"fulmarwick/internal/state/store"

	"github.com/go-faster/errors"
)

// NewLook returns an attempt that only finds out what is known of a call. The
// body of the call does not count.
func NewLook(p Params) *Attempt {
	return &Attempt{params: p, phase: phaseRead}
}

// looks reports whether the attempt only looks: its record names no attempt.
func (a *Attempt) looks() bool { return a.rec.Attempt == "" }

func (a *Attempt) nextOther() Action {
	if a.phase == phaseConfirm && a.seen.State == StateNone {
		// Removing a row that must not exist changes nothing: it checks.
		return Action{kind: ActCommit, write: store.Remove(a.key(), 0)}
	}
	return a.commit(a.seen, a.version)
}

// takeOther handles the row of another attempt, or of an earlier one.
func (a *Attempt) takeOther(r Result) {
	switch a.phase {
	case phaseRead:
		a.read(r)
	case phaseWait:
		a.phase = phaseRead
	case phaseMark:
		a.marked(r)
	case phaseAskOther:
		a.askedOther(r)
	case phaseStore:
		a.stored(r)
	case phaseConfirm:
		a.confirmed(r)
	}
}

func (a *Attempt) read(r Result) {
	rec, err := decodeResult(r)
	switch {
	case err == nil:
		a.exists(rec, r.Row.Version())
	case errors.Is(err, store.ErrMissing):
		a.missing()
	default:
		a.unread(err)
	}
}

// exists goes on from a row that another attempt wrote.
func (a *Attempt) exists(rec record, version uint64) {
	a.seen, a.version = rec, version
	if !a.looks() && rec.Sum != a.rec.Sum {
		a.fail(ErrBody)
		a.phase = phaseEnd
		return
	}
	switch rec.State {
	case StateDone:
		a.end(rec.outcome())
	case StateNotRun:
		a.notRun(version)
	case StateUnsure:
		a.unsure()
	default:
		a.running()
	}
}

// notRun starts over on a row whose attempt did not run. A look-up confirms
// the row by a commit instead, since a stale read would tell a caller "not
// run" of a call that ran under a later attempt.
func (a *Attempt) notRun(version uint64) {
	if a.looks() {
		a.phase = phaseConfirm
		return
	}
	a.again(version)
}

func (a *Attempt) missing() {
	if a.looks() {
		a.seen = record{}
		a.phase = phaseConfirm
		return
	}
	a.again(0)
}

func (a *Attempt) again(base uint64) {
	if !a.loop() {
		return
	}
	a.base = base
	a.phase = phaseBegin
}

// loop counts one more start; it ends the attempt when there were too many.
func (a *Attempt) loop() bool {
	a.loops++
	if a.loops > maxLoops {
		a.unread(errors.New("ledger: reads are stale"))
		return false
	}
	return true
}

// unread ends an attempt that knows of a row and not what it says. The call
// under this key may have run before, so it is not told "not run".
func (a *Attempt) unread(cause error) {
	if a.looks() {
		a.fail(errors.Wrap(ErrUnread, cause.Error()))
		a.phase = phaseEnd
		return
	}
	a.end(Outcome{state: StateUnsure, why: "the record exists and could not be read"})
}

// running waits for the attempt that holds the row, or marks it unsure if its
// process is known to be gone.
func (a *Attempt) running() {
	switch {
	case a.params.Gone(a.seen.Owner):
		a.seen = a.seen.with(StateUnsure, Answer{}, "the instance that sent the call is gone")
		a.phase = phaseMark
	case a.asks():
		a.inquired = a.polls
		a.phase = phaseAskOther
	default:
		a.await()
	}
}

// asks reports whether it is time to ask the upstream about a call that runs
// elsewhere. If its instance died after the service answered, the row stays at
// running, and its caller would else wait until the death is certain.
func (a *Attempt) asks() bool {
	after := a.params.AskAfter
	due := after > 0 && a.polls >= after && (a.polls-after)%askEvery == 0
	return a.params.Asks && due && a.inquired != a.polls
}

func (a *Attempt) await() {
	if a.polls >= a.params.Polls {
		a.end(Outcome{state: StateRunning})
		return
	}
	a.polls++
	a.phase = phaseWait
}

func (a *Attempt) marked(r Result) {
	switch {
	case r.Err == nil:
		a.version = r.Version
		a.unsure()
	case errors.Is(r.Err, store.ErrConflict) && a.loop():
		a.phase = phaseRead
	case !a.told:
		a.end(a.seen.outcome())
	}
}

func (a *Attempt) unsure() {
	if !a.params.Asks {
		a.end(a.seen.outcome())
		return
	}
	a.phase = phaseAskOther
}

// askedOther stores what the upstream says of a call that is unsure, or that
// runs elsewhere. Silence
// or ignorance of the upstream leaves it unsure: its sender may be paused
// before the send, and "not run" would become false when it wakes.
func (a *Attempt) askedOther(r Result) {
	if r.Err != nil && a.seen.State == StateRunning {
		a.await()
		return
	}
	if r.Err != nil {
		a.end(a.seen.outcome())
		return
	}
	a.seen = a.seen.with(StateDone, r.Answer, "")
	a.phase = phaseStore
}

// stored tells done only if the row says so now, so that all callers get one
// stored answer.
func (a *Attempt) stored(r Result) {
	switch {
	case r.Err == nil:
		a.end(a.seen.outcome())
	case errors.Is(r.Err, store.ErrConflict) && a.loop():
		a.phase = phaseRead
	case !a.told:
		a.end(Outcome{state: StateUnsure, why: "the outcome could not be stored"})
	}
}

func (a *Attempt) confirmed(r Result) {
	switch {
	case r.Err == nil:
		a.end(a.seen.outcome())
	case errors.Is(r.Err, store.ErrConflict):
		if a.loop() {
			a.phase = phaseRead
		}
	default:
		a.unread(r.Err)
	}
}
