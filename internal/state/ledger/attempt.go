package ledger

import (
	"fulmarwick/internal/state/store"

	"github.com/go-faster/errors"
)

// phase is the current step of an attempt's state machine.
type phase int

const (
	phaseFinished phase = iota
	phaseBegin
	phaseReadBack
	phaseSend
	phaseQuery
	phaseSettle
	phaseSettleRead
	phaseSettleWait
	phaseClear
	phaseClearRead
	phaseClearWait
	phaseRead
	phaseWait
	phaseMarkUnsure
	phaseQueryOther
	phaseStoreOutcome
	phaseConfirm
)

// pollsPerQuery is the number of polls of a running row between two queries to
// the upstream.
const pollsPerQuery = 3

// maxRestarts bounds how often an attempt starts over. It has to start over when
// a read contradicts the condition of a commit, as happens with stale reads.
const maxRestarts = 4

// Attempt is the protocol of one call as a state machine: NextAction returns
// the action to perform and ApplyResult receives its result, until NextAction
// returns ActEnd. An attempt does no I/O and reads no clock, so that a test can
// drive every interleaving of several attempts.
//
// The rules that keep a call from running twice:
//   - ActSend is returned at most once, and only after a commit or a read that
//     shows this attempt in the row, in state running.
//   - Only the attempt itself changes its state from running to notrun. Other
//     attempts cannot know whether a paused process will resume and send. They
//     change it to unsure, or to done if the upstream reports the answer.
//   - A new attempt replaces a row only if its state is notrun.
type Attempt struct {
	params    Params
	ownRecord record
	phase     phase
	// baseVersion is the row version that the first write was conditioned on.
	baseVersion uint64
	// version is the version of the row as this attempt last knew it.
	version       uint64
	otherRecord   record
	polls         int
	queriedAtPoll int
	restarts      int
	retries       int
	resolved      bool
	outcome       Outcome
	err           error
}

// NewAttempt returns an attempt to run the call of p.
func NewAttempt(p Params) *Attempt {
	rec := record{BodyHash: p.Call.bodyHash(), Attempt: p.ID, State: StateRunning, Owner: p.Owner}
	return &Attempt{params: p, ownRecord: rec, phase: phaseBegin}
}

// Outcome returns the outcome or the error for the caller, and reports whether it
// is known yet. The attempt may have further actions after it is known.
func (a *Attempt) Outcome() (Outcome, bool, error) {
	return a.outcome, a.resolved, a.err
}

// NextAction returns the action to perform now.
func (a *Attempt) NextAction() Action {
	switch a.phase {
	case phaseBegin:
		return a.commit(a.ownRecord, a.baseVersion)
	case phaseClear, phaseSettle:
		return a.commit(a.ownRecord, a.version)
	case phaseMarkUnsure, phaseStoreOutcome, phaseConfirm:
		return a.nextOtherAction()
	case phaseReadBack, phaseSettleRead, phaseClearRead, phaseRead:
		return Action{kind: ActRead}
	case phaseSend:
		return Action{kind: ActSend}
	case phaseQuery, phaseQueryOther:
		return Action{kind: ActQuery}
	case phaseWait:
		return Action{kind: ActWait, retries: a.polls}
	case phaseSettleWait, phaseClearWait:
		return Action{kind: ActRetry, retries: a.retries}
	default:
		return Action{kind: ActEnd}
	}
}

// ApplyResult advances the attempt with the result of its last action.
func (a *Attempt) ApplyResult(r Result) {
	switch a.phase {
	case phaseBegin:
		a.handleBegin(r)
	case phaseReadBack:
		a.handleReadBack(r)
	case phaseSend:
		a.handleSend(r)
	case phaseQuery:
		a.handleQuery(r)
	case phaseSettle, phaseSettleRead, phaseSettleWait:
		a.applySettle(r)
	case phaseClear, phaseClearRead, phaseClearWait:
		a.applyClear(r)
	default:
		a.applyOther(r)
	}
}

func (a *Attempt) commit(r record, version uint64) Action {
	return Action{kind: ActCommit, write: r.toWrite(a.key(), version)}
}

func (a *Attempt) key() string {
	c := a.params.Call
	return rowKey(c.team, c.class, c.key)
}

// handleBegin handles the result of the commit that must precede any send.
func (a *Attempt) handleBegin(r Result) {
	switch {
	case r.Err == nil:
		a.version = r.Version
		a.phase = phaseSend
	case errors.Is(r.Err, store.ErrConflict):
		a.phase = phaseRead
	case errors.Is(r.Err, store.ErrUnavailable):
		a.resolveNotSent(r.Err)
		a.phase = phaseFinished
	default:
		a.phase = phaseReadBack
	}
}

// handleReadBack handles the read after a first commit whose response was lost.
// The commit may have taken effect, may have failed, or may still be in flight,
// and the read may be stale. The call is sent only if the row shows this attempt
// in state running. If the row stays unknown the call is never sent, so that
// "not run" stays true even if the commit takes effect later.
func (a *Attempt) handleReadBack(r Result) {
	rec, err := decodeResult(r)
	if err != nil {
		a.abandon(err)
		return
	}
	row := r.Row
	switch {
	case rec.Attempt == a.ownRecord.Attempt && rec.State == StateRunning:
		a.version = row.Version()
		a.phase = phaseSend
	case rec.Attempt == a.ownRecord.Attempt:
		// Another instance declared this process dead and wrote unsure. Only
		// this attempt knows that the call was not sent.
		a.version = row.Version()
		a.ownRecord = a.ownRecord.withState(StateNotRun, Answer{}, "the record was taken over before the call was sent")
		a.resolve(a.ownRecord.outcome())
		a.phase = phaseSettle
	case row.Version() <= a.baseVersion:
		a.abandon(errors.New("ledger: stale read"))
	default:
		a.handleRecord(rec, row.Version())
	}
}

// abandon ends a call whose first commit has an unknown outcome. The call is never
// sent, the caller gets this result now, and the row is set to notrun as soon as the
// store allows it.
func (a *Attempt) abandon(cause error) {
	a.resolveNotSent(cause)
	a.ownRecord = a.ownRecord.withState(StateNotRun, Answer{}, "the record could not be read back")
	a.version = a.baseVersion
	a.phase = phaseClear
}

// resolveNotSent reports that this attempt has not sent and will not send the call.
// If an earlier call under the key is known, that call may have run, so the
// outcome is unsure instead of "not run".
func (a *Attempt) resolveNotSent(cause error) {
	if a.params.SeenBefore {
		a.resolve(Outcome{state: StateUnsure, reason: "an earlier call under the key was begun and the store is out"})
		return
	}
	a.resolveError(errors.Wrap(ErrStoreUnavailable, cause.Error()))
}

// handleSend handles the result of the only send.
func (a *Attempt) handleSend(r Result) {
	a.phase = phaseSettle
	switch {
	case r.Err == nil:
		a.ownRecord = a.ownRecord.withState(StateDone, r.Answer, "")
	case errors.Is(r.Err, ErrNotSent):
		a.ownRecord = a.ownRecord.withState(StateNotRun, Answer{}, r.Err.Error())
	default:
		a.ownRecord = a.ownRecord.withState(StateUnsure, Answer{}, r.Err.Error())
		if a.params.SupportsOutcomes {
			a.phase = phaseQuery
		}
	}
}

// handleQuery handles the upstream's reply about a call whose answer was lost. A
// reply without an outcome proves nothing, since the call may still be in flight.
func (a *Attempt) handleQuery(r Result) {
	if r.Err == nil {
		a.ownRecord = a.ownRecord.withState(StateDone, r.Answer, "")
	}
	a.phase = phaseSettle
}

func (a *Attempt) resolve(o Outcome) {
	if !a.resolved {
		a.outcome, a.resolved = o, true
	}
}

func (a *Attempt) resolveError(err error) {
	if !a.resolved {
		a.err, a.resolved = err, true
	}
}

// finish resolves the attempt with o and ends it.
func (a *Attempt) finish(o Outcome) {
	a.resolve(o)
	a.phase = phaseFinished
}

func decodeResult(r Result) (record, error) {
	if r.Err != nil {
		return record{}, r.Err
	}
	return decodeRecord(r.Row)
}
