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
	// ErrBody means that the key was used with another body.
	ErrBody = errors.New("ledger: key was used with another body")
	// ErrStore means that the record could not be written or read back; a
	// call that ends so was not sent and will not be.
	ErrStore = errors.New("ledger: records out of reach")
	// ErrUnread means that a look-up could not read the record. It tells
	// nothing about the call.
	ErrUnread = errors.New("ledger: record could not be read")
	// ErrLeft means that the caller left. The call goes on without it.
	ErrLeft = errors.New("ledger: caller left")
)

const (
	defaultPolls = 12
	// defaultAsk is about 0.6 s of polls: a call that takes longer is slow, or
	// its instance is dead.
	defaultAsk     = 5
	defaultBacklog = 10000
	pollFirst      = 20 * time.Millisecond
	pollMost       = 2 * time.Second
	retryFirst     = 100 * time.Millisecond
	retryMost      = 30 * time.Second
	askTimeout     = 5 * time.Second
	// joinMost is how long a duplicate waits for a call that runs here, about
	// as long as the polls of one that runs elsewhere.
	joinMost = 12 * time.Second
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

// Asker asks an upstream for the outcome of a call by its key. Any error
// leaves the outcome open.
type Asker interface {
	Ask(ctx context.Context, c Call) (Answer, error)
}

// Ledger runs calls at most once. Set the exported fields before use; Table
// and Sender are needed.
type Ledger struct {
	Table  Table
	Sender Sender
	// Looks is the table for look-ups, so that they can have a lower rank in
	// the budget: one that finds nothing costs a commit. Nil is Table.
	Looks Table
	// Asker is for services of which Asks is true; nil asks nobody.
	Asker Asker
	Asks  func(spec.ServiceName) bool
	// Services names the service of a class, so that a look-up can ask it; nil
	// asks none at look-ups.
	Services func(spec.ClassName) spec.ServiceName
	// Repeats says which classes may run more than once. Their calls are sent
	// without a record; nil means none.
	Repeats func(spec.ClassName) bool
	// Owner names this incarnation of the process; empty makes a name up.
	Owner string
	// Gone reports evidence that another incarnation ended; nil knows none.
	Gone func(owner string) bool
	// Jitter returns a factor around 1 for waits; nil is always 1.
	Jitter func() float64
	// Backlog bounds the records to settle or clear in the background; at the
	// bound new calls are refused. Zero is 10,000.
	Backlog int
	// Meters takes the metrics; nil makes a private set.
	Meters *metrics.Set

	once    sync.Once
	running sync.WaitGroup
	mu      sync.Mutex
	flights map[string]*flight
	begun   recent
	late    int
}

// Do runs the call unless its record says that it was started before. It may
// return ErrBody, ErrStore or ErrLeft; whatever the caller does, a call that
// was begun is brought to its end.
func (l *Ledger) Do(ctx context.Context, c Call) (Outcome, error) {
	l.once.Do(l.start)
	if l.Repeats != nil && l.Repeats(c.class) {
		return l.plain(ctx, c)
	}
	for {
		f, first := l.enter(c)
		if first {
			l.run(ctx, f, NewAttempt(l.params(c)))
		} else if f.sum != c.sum() {
			return Outcome{}, ErrBody
		}
		if told, err := f.wait(ctx, first); err != nil || !told {
			return Outcome{state: StateRunning}, err
		}
		if first {
			l.told(f.outcome.state, f.err)
		}
		if first || f.err == nil && f.outcome.state != StateNotRun {
			return f.outcome, f.err
		}
	}
}

// Look returns what is known of the call under key; StateNone means that
// there is no record. Its error is ErrUnread.
func (l *Ledger) Look(ctx context.Context, team spec.TeamID, class spec.ClassName, key string) (Outcome, error) {
	l.once.Do(l.start)
	var service spec.ServiceName
	if l.Services != nil {
		service = l.Services(class)
	}
	c := NewCall(team, class, service, key, "", nil)
	p := l.params(c)
	p.Polls = 0
	a := NewLook(p)
	for {
		act := a.Next()
		if act.kind == ActEnd {
			out, _, err := a.Told()
			return out, err
		}
		a.Take(l.perform(ctx, l.Looks, c, act))
	}
}

// Wait returns when every call is at its end and its record settled, or with
// the error of ctx. After that error records stay at running, and others will
// call them unsure.
func (l *Ledger) Wait(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		l.running.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "ledger: records left unsettled")
	}
}

// Late is how many records wait in the background to be settled or cleared.
func (l *Ledger) Late() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.late
}

func (l *Ledger) start() {
	if l.Owner == "" {
		l.Owner = uuid.NewString()
	}
	if l.Looks == nil {
		l.Looks = l.Table
	}
	if l.Gone == nil {
		l.Gone = func(string) bool { return false }
	}
	if l.Jitter == nil {
		l.Jitter = func() float64 { return 1 }
	}
	if l.Backlog == 0 {
		l.Backlog = defaultBacklog
	}
	l.flights = map[string]*flight{}
	l.gauges()
}

func (l *Ledger) params(c Call) Params {
	return Params{
		Call: c, ID: uuid.NewString(), Owner: l.Owner, Gone: l.Gone, Polls: defaultPolls, AskAfter: defaultAsk,
		Begun: l.begun.has(rowKey(c.team, c.class, c.key)),
		Asks:  l.Asker != nil && l.Asks != nil && l.Asks(c.service),
	}
}

// plain sends a call that may be repeated, without a record.
func (l *Ledger) plain(ctx context.Context, c Call) (Outcome, error) {
	answer, err := l.Sender.Send(ctx, c)
	switch {
	case err == nil:
		return Outcome{state: StateDone, answer: answer}, nil
	case errors.Is(err, ErrNotSent):
		return Outcome{state: StateNotRun, why: err.Error()}, nil
	default:
		return Outcome{state: StateUnsure, why: err.Error()}, nil
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
	case ActAsk:
		ctx, cancel := context.WithTimeout(ctx, askTimeout)
		defer cancel()
		r.Answer, r.Err = l.Asker.Ask(ctx, c)
	case ActWait:
		l.pause(pollFirst, pollMost, act.tries)
	case ActRetry:
		l.pause(retryFirst, retryMost, act.tries)
	}
	return r
}

// pause waits twice as long with each try, up to most.
func (l *Ledger) pause(first, most time.Duration, tries int) {
	d := most
	if tries < 16 {
		d = min(most, first<<max(0, tries-1))
	}
	time.Sleep(time.Duration(float64(d) * l.Jitter()))
}
