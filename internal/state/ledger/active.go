package ledger

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"
)

// activeCall is a call that this process is running. Duplicates in the same process
// wait for its outcome without reading the store.
type activeCall struct {
	call     Call
	bodyHash uint64
	resolved chan struct{}
	outcome  Outcome
	err      error
}

// joinCall returns the active call with the key of c, which it adds if there is none.
// It also reports whether it added the call.
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

// startAttempt runs the attempt to its end in its own goroutine, so that a caller
// who disconnects interrupts neither the send nor the write of the record. The
// goroutine keeps only the values of the caller's ctx, among them the trace.
func (l *Ledger) startAttempt(ctx context.Context, f *activeCall, a *Attempt) {
	ctx = context.WithoutCancel(ctx)
	l.attempts.Go(func() {
		if l.isBacklogFull() {
			f.err = errors.Wrap(ErrStoreUnavailable, "too many records to settle")
			l.removeCall(f)
			return
		}
		published := false
		for {
			act := a.NextAction()
			if !published && l.publishOutcome(f, a) {
				published = true
				defer l.addUnsettled(-1)
			}
			if act.kind == ActEnd {
				return
			}
			a.ApplyResult(l.perform(ctx, l.Table, f.call, act))
		}
	})
}

// publishOutcome releases the waiting callers if the attempt is resolved, and reports
// whether it is.
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

// wait waits until the call is resolved and then returns true. A duplicate, whose
// first is false, waits for maxJoinWait at most and then gets false.
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
