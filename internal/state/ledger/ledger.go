// Package ledger makes calls run at most once, with an idempotency record for
// each call.
//
// It imports base/spec and state/store. Package entry calls Do and Lookup; the
// daemon calls Wait on shutdown and Trimmer.Trim as a duty.
//
// One conditional commit writes the record before anything is sent. Only the
// attempt that wrote the record sends the call, once; all other attempts read the
// record. Attempt implements the protocol, Ledger runs it against the store and
// the service.
package ledger

import (
	"context"
	"sync"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/state/store"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"github.com/google/uuid"
)

// Errors of this package.
var (
	// ErrNotSent means that no byte of the call was sent, so it did not run.
	ErrNotSent = errors.New("ledger: not sent")
	// ErrBodyMismatch means that the key was used with another body.
	ErrBodyMismatch = errors.New("ledger: key was used with another body")
	// ErrStoreUnavailable means that the record could not be written or read back.
	// A call with this error was not sent and will not be sent.
	ErrStoreUnavailable = errors.New("ledger: record store unavailable")
	// ErrRecordUnreadable means that a lookup could not read the record. It says
	// nothing about the state of the call.
	ErrRecordUnreadable = errors.New("ledger: record could not be read")
	// ErrCallerLeft means that the caller disconnected. The call continues.
	ErrCallerLeft = errors.New("ledger: caller left")
)

const (
	defaultMaxPolls = 12
	// defaultPollsBeforeQuery is about 0.6 s of polls. A call that takes longer is
	// slow, or its instance is dead.
	defaultPollsBeforeQuery = 5
	defaultBacklog          = 10000
	minPollDelay            = 20 * time.Millisecond
	maxPollDelay            = 2 * time.Second
	minRetryDelay           = 100 * time.Millisecond
	maxRetryDelay           = 30 * time.Second
	outcomeTimeout          = 5 * time.Second
	// maxJoinWait is how long a duplicate waits for a call that runs in this process.
	// It is about as long as all polls for a call that runs on another instance.
	maxJoinWait = 12 * time.Second
)

// Table is the part of the platform's table that the ledger needs.
type Table interface {
	Get(ctx context.Context, key string) (store.Row, error)
	Commit(ctx context.Context, writes []store.Write) (uint64, error)
}

// Sender sends a call at most once. It returns ErrNotSent only if the call did not
// run.
type Sender interface {
	Send(ctx context.Context, c Call) (Answer, error)
}

// OutcomeQuerier asks an upstream for the outcome of a call by its key. After an
// error the outcome is unknown.
type OutcomeQuerier interface {
	QueryOutcome(ctx context.Context, c Call) (Answer, error)
}

// Ledger runs calls at most once. Set the exported fields before use; Table
// and Sender are required.
type Ledger struct {
	Table  Table
	Sender Sender
	// LookupTable is the table for lookups. Lookups can thus have a lower rank in
	// the budget, since a lookup of an unknown key costs a commit. Nil means Table.
	LookupTable Table
	// Querier queries the services for which SupportsOutcomes returns true; nil
	// means that none is queried.
	Querier          OutcomeQuerier
	SupportsOutcomes func(spec.ServiceName) bool
	// ServiceOf returns the service of a class, so that a lookup can query it. Nil
	// means that lookups query no service.
	ServiceOf func(spec.ClassName) spec.ServiceName
	// Repeatable reports whether the calls of a class may run more than once. They
	// are sent without a record. Nil means no class.
	Repeatable func(spec.ClassName) bool
	// Owner is the name of this incarnation of the process; a random name is
	// generated if it is empty.
	Owner string
	// HasExited reports whether there is evidence that another incarnation exited.
	// Nil means that there never is.
	HasExited func(owner string) bool
	// Jitter returns a factor around 1 for wait times; nil means always 1.
	Jitter func() float64
	// Backlog bounds the number of records to settle or clear in the background. At
	// the bound new calls are rejected. Zero means 10,000.
	Backlog int
	// Meters is the metrics set to register in; nil means a private set.
	Meters *metrics.Set

	once        sync.Once
	attempts    sync.WaitGroup
	mu          sync.Mutex
	activeCalls map[string]*activeCall
	begunKeys   recentKeys
	unsettled   int
}

// Do runs the call unless its record says that it was started before. Its error
// may be ErrBodyMismatch, ErrStoreUnavailable or ErrCallerLeft. A call that was
// started runs to its end even if the caller disconnects.
func (l *Ledger) Do(ctx context.Context, c Call) (Outcome, error) {
	l.once.Do(l.setDefaults)
	if l.Repeatable != nil && l.Repeatable(c.class) {
		return l.sendUnrecorded(ctx, c)
	}
	for {
		f, first := l.joinCall(c)
		if first {
			l.startAttempt(ctx, f, NewAttempt(l.newParams(c)))
		} else if f.bodyHash != c.bodyHash() {
			return Outcome{}, ErrBodyMismatch
		}
		if resolved, err := f.wait(ctx, first); err != nil || !resolved {
			return Outcome{state: StateRunning}, err
		}
		if first {
			l.countOutcome(f.outcome.state, f.err)
		}
		if first || f.err == nil && f.outcome.state != StateNotRun {
			return f.outcome, f.err
		}
	}
}

// Lookup returns the outcome of the call with the key. StateNone means that there
// is no record. The error is ErrRecordUnreadable.
func (l *Ledger) Lookup(ctx context.Context, team spec.TeamID, class spec.ClassName, key string) (Outcome, error) {
	l.once.Do(l.setDefaults)
	var service spec.ServiceName
	if l.ServiceOf != nil {
		service = l.ServiceOf(class)
	}
	c := NewCall(team, class, service, key, "", nil)
	p := l.newParams(c)
	p.MaxPolls = 0
	a := NewLookup(p)
	for {
		act := a.NextAction()
		if act.kind == ActEnd {
			out, _, err := a.Outcome()
			return out, err
		}
		a.ApplyResult(l.perform(ctx, l.LookupTable, c, act))
	}
}

// Wait waits until every call has ended and its record is settled, or returns the
// error of ctx. After that error some records stay in state running, and other
// instances will mark them unsure.
func (l *Ledger) Wait(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		l.attempts.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "ledger: some records are not settled")
	}
}

// Unsettled returns the number of records that are being settled or cleared in the
// background.
func (l *Ledger) Unsettled() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unsettled
}

func (l *Ledger) setDefaults() {
	if l.Owner == "" {
		l.Owner = uuid.NewString()
	}
	if l.LookupTable == nil {
		l.LookupTable = l.Table
	}
	if l.HasExited == nil {
		l.HasExited = func(string) bool { return false }
	}
	if l.Jitter == nil {
		l.Jitter = func() float64 { return 1 }
	}
	if l.Backlog == 0 {
		l.Backlog = defaultBacklog
	}
	l.activeCalls = map[string]*activeCall{}
	l.registerMetrics()
}

func (l *Ledger) newParams(c Call) Params {
	return Params{
		Call: c, ID: uuid.NewString(), Owner: l.Owner, HasExited: l.HasExited, MaxPolls: defaultMaxPolls, PollsBeforeQuery: defaultPollsBeforeQuery,
		SeenBefore:       l.begunKeys.has(rowKey(c.team, c.class, c.key)),
		SupportsOutcomes: l.Querier != nil && l.SupportsOutcomes != nil && l.SupportsOutcomes(c.service),
	}
}

// sendUnrecorded sends a repeatable call without a record.
func (l *Ledger) sendUnrecorded(ctx context.Context, c Call) (Outcome, error) {
	answer, err := l.Sender.Send(ctx, c)
	switch {
	case err == nil:
		return Outcome{state: StateDone, answer: answer}, nil
	case errors.Is(err, ErrNotSent):
		return Outcome{state: StateNotRun, reason: err.Error()}, nil
	default:
		return Outcome{state: StateUnsure, reason: err.Error()}, nil
	}
}

// perform performs one action and returns its result.
func (l *Ledger) perform(ctx context.Context, t Table, c Call, act Action) Result {
	var r Result
	switch act.kind {
	case ActCommit:
		r.Version, r.Err = t.Commit(ctx, []store.Write{act.write})
	case ActRead:
		r.Row, r.Err = t.Get(ctx, rowKey(c.team, c.class, c.key))
	case ActSend:
		r.Answer, r.Err = l.Sender.Send(ctx, c)
	case ActQuery:
		ctx, cancel := context.WithTimeout(ctx, outcomeTimeout)
		defer cancel()
		r.Answer, r.Err = l.Querier.QueryOutcome(ctx, c)
	case ActWait:
		l.backOff(minPollDelay, maxPollDelay, act.retries)
	case ActRetry:
		l.backOff(minRetryDelay, maxRetryDelay, act.retries)
	}
	return r
}

// backOff sleeps with exponential backoff: minDelay at the first try, doubled with
// each further try, up to maxDelay.
func (l *Ledger) backOff(minDelay, maxDelay time.Duration, tries int) {
	d := maxDelay
	if tries < 16 {
		d = min(maxDelay, minDelay<<max(0, tries-1))
	}
	time.Sleep(time.Duration(float64(d) * l.Jitter()))
}
