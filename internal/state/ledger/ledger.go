// Package ledger keeps the records that make a call run at most once.
//
// It imports base/spec and state/store. Package entry calls Do and Look; the
// daemon calls Wait at a stop and Trim as a duty.
//
// One conditional commit writes the record before anything is sent. Whoever
// wrote it sends, once; everybody else reads the record. Attempt has the
// protocol, Ledger runs it against the store and the service.
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
	// ErrNotSent means that no byte of the call left, so it did not run.
	ErrNotSent = errors.New("ledger: not sent")
	// ErrBodyMismatch means that the key was used with another body.
	ErrBodyMismatch = errors.New("ledger: key was used with another body")
	// ErrStoreUnavailable means that the record could not be written or read back; a
	// call that ends so was not sent and will not be.
	ErrStoreUnavailable = errors.New("ledger: records out of reach")
	// ErrRecordUnreadable means that a look-up could not read the record. It tells
	// nothing about the call.
	ErrRecordUnreadable = errors.New("ledger: record could not be read")
	// ErrCallerLeft means that the caller left. The call goes on without it.
	ErrCallerLeft = errors.New("ledger: caller left")
)

const (
	defaultMaxPolls = 12
	// defaultPollsBeforeQuery is about 0.6 s of polls: a call that takes longer is slow, or
	// its instance is dead.
	defaultPollsBeforeQuery = 5
	defaultBacklog          = 10000
	minPollDelay            = 20 * time.Millisecond
	maxPollDelay            = 2 * time.Second
	minRetryDelay           = 100 * time.Millisecond
	maxRetryDelay           = 30 * time.Second
	outcomeTimeout          = 5 * time.Second
	// maxJoinWait is how long a duplicate waits for a call that runs here, about
	// as long as the polls of one that runs elsewhere.
	maxJoinWait = 12 * time.Second
)

// Table is the part of the platform's table that the ledger needs.
type Table interface {
	Get(ctx context.Context, key string) (store.Row, error)
	Commit(ctx context.Context, writes []store.Write) (uint64, error)
}

// Sender sends a call at most once. ErrNotSent promises that it did not run.
type Sender interface {
	Send(ctx context.Context, c Call) (Answer, error)
}

// OutcomeQuerier asks an upstream for the outcome of a call by its key. Any error
// leaves the outcome open.
type OutcomeQuerier interface {
	QueryOutcome(ctx context.Context, c Call) (Answer, error)
}

// Ledger runs calls at most once. Set the exported fields before use; Table
// and Sender are needed.
type Ledger struct {
	Table  Table
	Sender Sender
	// LookupTable is the table for look-ups, so that they can have a lower rank in
	// the budget: one that finds nothing costs a commit. Nil is Table.
	LookupTable Table
	// Querier is for services of which Asks is true; nil asks nobody.
	Querier          OutcomeQuerier
	SupportsOutcomes func(spec.ServiceName) bool
	// ServiceOf names the service of a class, so that a look-up can ask it; nil
	// asks none at look-ups.
	ServiceOf func(spec.ClassName) spec.ServiceName
	// Repeatable says which classes may run more than once. Their calls are sent
	// without a record; nil means none.
	Repeatable func(spec.ClassName) bool
	// Owner names this incarnation of the process; empty makes a name up.
	Owner string
	// HasExited reports evidence that another incarnation ended; nil knows none.
	HasExited func(owner string) bool
	// Jitter returns a factor around 1 for waits; nil is always 1.
	Jitter func() float64
	// Backlog bounds the records to settle or clear in the background; at the
	// bound new calls are refused. Zero is 10,000.
	Backlog int
	// Meters takes the metrics; nil makes a private set.
	Meters *metrics.Set

	once        sync.Once
	attempts    sync.WaitGroup
	mu          sync.Mutex
	activeCalls map[string]*activeCall
	begunKeys   recentKeys
	unsettled   int
}

// Do runs the call unless its record says that it was started before. It may
// return ErrBody, ErrStore or ErrLeft; whatever the caller does, a call that
// was begun is brought to its end.
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
		if told, err := f.wait(ctx, first); err != nil || !told {
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

// Lookup returns what is known of the call under key; StateNone means that
// there is no record. Its error is ErrUnread.
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

// Wait returns when every call is at its end and its record settled, or with
// the error of ctx. After that error records stay at running, and others will
// call them unsure.
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
		return errors.Wrap(ctx.Err(), "ledger: records left unsettled")
	}
}

// Unsettled is how many records wait in the background to be settled or cleared.
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

// sendUnrecorded sends a call that may be repeated, without a record.
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

// perform does one action and returns its result.
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

// backOff waits twice as long with each try, up to most.
func (l *Ledger) backOff(first, most time.Duration, tries int) {
	d := most
	if tries < 16 {
		d = min(most, first<<max(0, tries-1))
	}
	time.Sleep(time.Duration(float64(d) * l.Jitter()))
}
