package ledger

import (
	"fulmarwick/internal/state/store"

	"github.com/go-faster/errors"
)

// phase is where an attempt stands.
type phase int

const (
	phaseEnd phase = iota
	phaseBegin
	phaseBack
	phaseSend
	phaseAsk
	phaseSettle
	phaseSettleRead
	phaseSettleWait
	phaseClear
	phaseClearRead
	phaseClearWait
	phaseRead
	phaseWait
	phaseMark
	phaseAskOther
	phaseStore
	phaseConfirm
)

// askEvery is after how many more polls of a running row the upstream is asked
// again.
const askEvery = 3

// maxLoops bounds how often an attempt starts over since reads and conditions
// of the store contradict each other, as stale reads do.
const maxLoops = 4

// Attempt is the protocol of one call as a step machine: Next says what to do
// and Take gets the result, until Next says ActEnd. It does no I/O and reads
// no clock, so that a test can drive every interleaving of several of them.
//
// The rules that keep a call from running twice:
//   - ActSend comes at most once, and only after a commit or a read that
//     shows the row holding this very attempt at running.
//   - Only the attempt itself turns its running into notrun. Others, who
//     cannot know whether a paused process will wake and send, go no further
//     than unsure, or done if the upstream says so.
//   - A new attempt takes the place of a notrun row only.
type Attempt struct {
	params Params
	rec    record
	phase  phase
	// base is the version on which the first write was conditioned, version
	// that of the row when it last held what this attempt knows.
	base     uint64
	version  uint64
	seen     record
	polls    int
	inquired int
	loops    int
	tries    int
	told     bool
	outcome  Outcome
	err      error
}

// NewAttempt returns an attempt to run the call of p.
func NewAttempt(p Params) *Attempt {
	rec := record{Sum: p.Call.sum(), Attempt: p.ID, State: StateRunning, Owner: p.Owner}
	return &Attempt{params: p, rec: rec, phase: phaseBegin}
}

// Told reports whether the caller can be answered, and with what. The attempt
// may have more to do after.
func (a *Attempt) Told() (Outcome, bool, error) {
	return a.outcome, a.told, a.err
}

// Next is what the attempt wants done now.
func (a *Attempt) Next() Action {
	switch a.phase {
	case phaseBegin:
		return a.commit(a.rec, a.base)
	case phaseClear, phaseSettle:
		return a.commit(a.rec, a.version)
	case phaseMark, phaseStore, phaseConfirm:
		return a.nextOther()
	case phaseBack, phaseSettleRead, phaseClearRead, phaseRead:
		return Action{kind: ActRead}
	case phaseSend:
		return Action{kind: ActSend}
	case phaseAsk, phaseAskOther:
		return Action{kind: ActAsk}
	case phaseWait:
		return Action{kind: ActWait, tries: a.polls}
	case phaseSettleWait, phaseClearWait:
		return Action{kind: ActRetry, tries: a.tries}
	default:
		return Action{kind: ActEnd}
	}
}

// Take moves the attempt on with the result of its last action.
func (a *Attempt) Take(r Result) {
	switch a.phase {
	case phaseBegin:
		a.begun(r)
	case phaseBack:
		a.readBack(r)
	case phaseSend:
		a.sent(r)
	case phaseAsk:
		a.asked(r)
	case phaseSettle, phaseSettleRead, phaseSettleWait:
		a.takeSettle(r)
	case phaseClear, phaseClearRead, phaseClearWait:
		a.takeClear(r)
	default:
		a.takeOther(r)
	}
}

func (a *Attempt) commit(r record, version uint64) Action {
	return Action{kind: ActCommit, write: r.put(a.key(), version)}
}

func (a *Attempt) key() string {
	c := a.params.Call
	return rowKey(c.team, c.class, c.key)
}

// begun takes the result of the commit that must come before any send.
func (a *Attempt) begun(r Result) {
	switch {
	case r.Err == nil:
		a.version = r.Version
		a.phase = phaseSend
	case errors.Is(r.Err, store.ErrConflict):
		a.phase = phaseRead
	case errors.Is(r.Err, store.ErrDown):
		a.refuse(r.Err)
		a.phase = phaseEnd
	default:
		a.phase = phaseBack
	}
}

// readBack settles a first commit whose answer was lost. The commit may have
// taken effect, may have not, or may still be on its way, and a read may be
// stale. The call is sent only if the row shows this very attempt at running;
// if the row stays unknown the call is never sent, so that "not run" is true
// whatever the commit does later.
func (a *Attempt) readBack(r Result) {
	rec, err := decodeResult(r)
	if err != nil {
		a.giveUp(err)
		return
	}
	row := r.Row
	switch {
	case rec.Attempt == a.rec.Attempt && rec.State == StateRunning:
		a.version = row.Version()
		a.phase = phaseSend
	case rec.Attempt == a.rec.Attempt:
		// Another instance took this process for dead and wrote unsure. Only
		// this attempt knows that it has not sent.
		a.version = row.Version()
		a.rec = a.rec.with(StateNotRun, Answer{}, "the record was taken over before the call was sent")
		a.tell(a.rec.outcome())
		a.phase = phaseSettle
	case row.Version() <= a.base:
		a.giveUp(errors.New("ledger: stale read"))
	default:
		a.exists(rec, row.Version())
	}
}

// giveUp ends a call whose first commit stays unknown: never send, tell the
// truth now, and turn the row to notrun as soon as the store allows.
func (a *Attempt) giveUp(cause error) {
	a.refuse(cause)
	a.rec = a.rec.with(StateNotRun, Answer{}, "the record could not be read back")
	a.version = a.base
	a.phase = phaseClear
}

// refuse tells that nothing was or will be sent. If an earlier call under the
// key is known, it may have run, and "not run" would mislead its caller.
func (a *Attempt) refuse(cause error) {
	if a.params.Begun {
		a.tell(Outcome{state: StateUnsure, why: "an earlier call under the key was begun and the store is out"})
		return
	}
	a.fail(errors.Wrap(ErrStore, cause.Error()))
}

// sent takes the end of the only send.
func (a *Attempt) sent(r Result) {
	a.phase = phaseSettle
	switch {
	case r.Err == nil:
		a.rec = a.rec.with(StateDone, r.Answer, "")
	case errors.Is(r.Err, ErrNotSent):
		a.rec = a.rec.with(StateNotRun, Answer{}, r.Err.Error())
	default:
		a.rec = a.rec.with(StateUnsure, Answer{}, r.Err.Error())
		if a.params.Asks {
			a.phase = phaseAsk
		}
	}
}

// asked takes the upstream's word on a call whose answer was lost. That it
// knows nothing proves nothing: the call may be on its way still.
func (a *Attempt) asked(r Result) {
	if r.Err == nil {
		a.rec = a.rec.with(StateDone, r.Answer, "")
	}
	a.phase = phaseSettle
}

func (a *Attempt) tell(o Outcome) {
	if !a.told {
		a.outcome, a.told = o, true
	}
}

func (a *Attempt) fail(err error) {
	if !a.told {
		a.err, a.told = err, true
	}
}

// end tells o and ends the attempt.
func (a *Attempt) end(o Outcome) {
	a.tell(o)
	a.phase = phaseEnd
}

func decodeResult(r Result) (record, error) {
	if r.Err != nil {
		return record{}, r.Err
	}
	return decode(r.Row)
}
