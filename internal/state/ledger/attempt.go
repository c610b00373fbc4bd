package ledger

import (
	"fulmarwick/internal/state/store"

	"github.com/go-faster/errors"
)

// phase is where an attempt stands.
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

// pollsPerQuery is after how many more polls of a running row the upstream is asked
// again.
const pollsPerQuery = 3

// maxRestarts bounds how often an attempt starts over since reads and conditions
// of the store contradict each other, as stale reads do.
const maxRestarts = 4

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
	params    Params
	ownRecord record
	phase     phase
	// baseVersion is the version on which the first write was conditioned, version
	// that of the row when it last held what this attempt knows.
	baseVersion   uint64
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

// Outcome reports whether the caller can be answered, and with what. The attempt
// may have more to do after.
func (a *Attempt) Outcome() (Outcome, bool, error) {
	return a.outcome, a.resolved, a.err
}

// NextAction is what the attempt wants done now.
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

// ApplyResult moves the attempt on with the result of its last action.
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

// handleBegin takes the result of the commit that must come before any send.
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

// handleReadBack settles a first commit whose answer was lost. The commit may have
// taken effect, may have not, or may still be on its way, and a read may be
// stale. The call is sent only if the row shows this very attempt at running;
// if the row stays unknown the call is never sent, so that "not run" is true
// whatever the commit does later.
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
		// Another instance took this process for dead and wrote unsure. Only
		// this attempt knows that it has not sent.
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

// abandon ends a call whose first commit stays unknown: never send, tell the
// truth now, and turn the row to notrun as soon as the store allows.
func (a *Attempt) abandon(cause error) {
	a.resolveNotSent(cause)
	a.ownRecord = a.ownRecord.withState(StateNotRun, Answer{}, "the record could not be read back")
	a.version = a.baseVersion
	a.phase = phaseClear
}

// resolveNotSent tells that nothing was or will be sent. If an earlier call under the
// key is known, it may have run, and "not run" would mislead its caller.
func (a *Attempt) resolveNotSent(cause error) {
	if a.params.SeenBefore {
		a.resolve(Outcome{state: StateUnsure, reason: "an earlier call under the key was begun and the store is out"})
		return
	}
	a.resolveError(errors.Wrap(ErrStoreUnavailable, cause.Error()))
}

// handleSend takes the end of the only send.
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

// handleQuery takes the upstream's word on a call whose answer was lost. That it
// knows nothing proves nothing: the call may be on its way still.
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

// finish tells o and ends the attempt.
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
