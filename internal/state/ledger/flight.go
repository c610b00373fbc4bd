package ledger

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"
)

// flight is a call that this process runs; duplicates here wait for its end
// without reading the store.
type flight struct {
	call    Call
	sum     uint64
	told    chan struct{}
	outcome Outcome
	err     error
}

// enter returns the flight of the call and whether the caller is its first.
func (l *Ledger) enter(c Call) (*flight, bool) {
	key := rowKey(c.team, c.class, c.key)
	l.mu.Lock()
	defer l.mu.Unlock()
	if f, ok := l.flights[key]; ok {
		return f, false
	}
	f := &flight{call: c, sum: c.sum(), told: make(chan struct{})}
	l.flights[key] = f
	return f, true
}

// run brings the attempt to its end in a goroutine of its own, so that a
// caller who leaves cuts neither the send nor the record. Of the caller's ctx
// only the values go on, among them the trace.
func (l *Ledger) run(ctx context.Context, f *flight, a *Attempt) {
	ctx = context.WithoutCancel(ctx)
	l.running.Go(func() {
		if l.full() {
			f.err = errors.Wrap(ErrStore, "too many records to settle")
			l.leave(f)
			return
		}
		told := false
		for {
			act := a.Next()
			if !told && l.publish(f, a) {
				told = true
				defer l.addLate(-1)
			}
			if act.kind == ActEnd {
				return
			}
			a.Take(l.perform(ctx, l.Table, f.call, act))
		}
	})
}

// publish lets the flight's callers go if the attempt has an answer.
func (l *Ledger) publish(f *flight, a *Attempt) bool {
	out, ok, err := a.Told()
	if !ok {
		return false
	}
	f.outcome, f.err = out, err
	if err == nil && out.state != StateNotRun {
		l.begun.add(rowKey(f.call.team, f.call.class, f.call.key))
	}
	l.addLate(1)
	l.leave(f)
	return true
}

// wait waits until the call has its answer; a duplicate does not wait for long
// and gets false.
func (f *flight) wait(ctx context.Context, first bool) (bool, error) {
	var bound <-chan time.Time
	if !first {
		timer := time.NewTimer(joinMost)
		defer timer.Stop()
		bound = timer.C
	}
	select {
	case <-f.told:
		return true, nil
	case <-bound:
		return false, nil
	case <-ctx.Done():
		return false, fmt.Errorf("%w: %w", ErrLeft, ctx.Err())
	}
}

func (l *Ledger) leave(f *flight) {
	l.mu.Lock()
	delete(l.flights, rowKey(f.call.team, f.call.class, f.call.key))
	l.mu.Unlock()
	close(f.told)
}

func (l *Ledger) full() bool { return l.Late() >= l.Backlog }

func (l *Ledger) addLate(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.late += n
}
