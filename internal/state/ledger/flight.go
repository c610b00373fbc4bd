package ledger

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"
)

// activeCall is a call that this process runs; duplicates here wait for its end
// without reading the store.
type activeCall struct {
	call     Call
	bodyHash uint64
	resolved chan struct{}
	outcome  Outcome
	err      error
}

// joinCall returns the flight of the call and whether the caller is its first.
func (l *Ledger) joinCall(c Call) (*activeCall, bool) {
	key := rowKey(c.team, c.class, c.key)
	l.mu.Lock()
	defer l.mu.Unlock()
	if f, ok := l.activeCalls[key]; ok {
		return f, false
	}
	f := &activeCall{call: c, bodyHash: c.bodyHash(), resolved: make(chan struct{})}
	l.activeCalls[key] = f
	return f, true
}

// startAttempt brings the attempt to its end in a goroutine of its own, so that a
// caller who leaves cuts neither the send nor the record. Of the caller's ctx
// only the values go on, among them the trace.
func (l *Ledger) startAttempt(ctx context.Context, f *activeCall, a *Attempt) {
	ctx = context.WithoutCancel(ctx)
	l.attempts.Go(func() {
		if l.isBacklogFull() {
			f.err = errors.Wrap(ErrStoreUnavailable, "too many records to settle")
			l.removeCall(f)
			return
		}
		told := false
		for {
			act := a.NextAction()
			if !told && l.publishOutcome(f, a) {
				told = true
				defer l.addUnsettled(-1)
			}
			if act.kind == ActEnd {
				return
			}
			a.ApplyResult(l.perform(ctx, l.Table, f.call, act))
		}
	})
}

// publishOutcome lets the flight's callers go if the attempt has an answer.
func (l *Ledger) publishOutcome(f *activeCall, a *Attempt) bool {
	out, ok, err := a.Outcome()
	if !ok {
		return false
	}
	f.outcome, f.err = out, err
	if err == nil && out.state != StateNotRun {
		l.begunKeys.add(rowKey(f.call.team, f.call.class, f.call.key))
	}
	l.addUnsettled(1)
	l.removeCall(f)
	return true
}

// wait waits until the call has its answer; a duplicate does not wait for long
// and gets false.
func (f *activeCall) wait(ctx context.Context, first bool) (bool, error) {
	var bound <-chan time.Time
	if !first {
		timer := time.NewTimer(maxJoinWait)
		defer timer.Stop()
		bound = timer.C
	}
	select {
	case <-f.resolved:
		return true, nil
	case <-bound:
		return false, nil
	case <-ctx.Done():
		return false, fmt.Errorf("%w: %w", ErrCallerLeft, ctx.Err())
	}
}

func (l *Ledger) removeCall(f *activeCall) {
	l.mu.Lock()
	delete(l.activeCalls, rowKey(f.call.team, f.call.class, f.call.key))
	l.mu.Unlock()
	close(f.resolved)
}

func (l *Ledger) isBacklogFull() bool { return l.Unsettled() >= l.Backlog }

func (l *Ledger) addUnsettled(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unsettled += n
}
