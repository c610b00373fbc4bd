package feed

import (
	"context"
	"math/rand/v2"
	"time"

	"fulmarwick/internal/base/spec"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

// errOldTable means that a whole table is of an earlier era than the local copy of it.
var errOldTable = errors.New("feed: table read is of an earlier era")

// Source is the part of the platform's store that a Follower reads.
type Source interface {
	// Era returns the latest era of the store that is known, from any call.
	Era() uint64
	// ReadTable returns all rows of a table.
	ReadTable(ctx context.Context, table string) (Page, error)
	// ReadChanges returns the changes after version since; the store may hold the
	// call for up to wait if there are none.
	ReadChanges(ctx context.Context, table string, since spec.Revision, wait time.Duration) (Page, error)
}

// Sink receives what a Follower reads. Its version also rises with changes that peers
// send.
type Sink interface {
	Version(table string) spec.Revision
	ApplySnapshot(table string, p Page)
	ApplyChanges(table string, since spec.Revision, p Page)
	// SetReachable reports whether the store is reachable, each time this changes. While
	// other instances read the store for this one, it is.
	SetReachable(table string, reachable bool)
}

// Limits of the backoff after a failed call: the store may refuse because it is busy,
// and all instances call again when it returns.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
)

// passivePollInterval is the pause between two calls of IsPassive.
const passivePollInterval = 100 * time.Millisecond

// restoreSettleTime is how long after a new era began the whole table is read once more. By then
// live upstreams have written their rows again, and those of dead ones have expired: what the view
// held against the store until then is decided.
const restoreSettleTime = 5 * time.Second

// Follower follows one table of the store. Set the exported fields before Run.
type Follower struct {
	Table  string
	Source Source
	Sink   Sink
	// PollTimeout is how long the store may hold a call without changes. A dead
	// connection is noticed only after this time.
	PollTimeout time.Duration
	// PollInterval is the pause after a call that returned changes, so that changes
	// of many rows are batched in one call.
	PollInterval time.Duration
	// IsPassive reports whether other instances currently read the store for this
	// one; nil means never.
	IsPassive func() bool
	Log       *zap.Logger

	needSnapshot bool
	// era is the era of the sink's version when it was last looked at, eraKnown whether the table had
	// been read by then. settleAt is when the table is read once more after a new era began; zero if
	// it need not be.
	era              uint64
	eraKnown         bool
	settleAt         time.Time
	reachedOnce      bool
	unreachable      bool
	unreachableSince time.Time
	backoff          time.Duration
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.needSnapshot = true
	for ctx.Err() == nil {
		f.followEra()
		if !f.needSnapshot && f.isPassive() {
			f.recordSuccess()
			if !Sleep(ctx, passivePollInterval) {
				return
			}
			continue
		}
		changed, err := f.poll(ctx)
		pause := f.PollInterval
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrHistoryLost):
			f.needSnapshot = true
			f.Log.Warn("feed: change history lost, reading the whole table", zap.String("table", f.Table), zap.Stringer("since", f.Sink.Version(f.Table)))
			pause = 0
		case err != nil:
			pause = f.recordFailure(err)
		case !changed:
			pause = 0
		}
		if err == nil {
			f.recordSuccess()
		}
		if !Sleep(ctx, pause) {
			return
		}
	}
}

// followEra has the whole table read when the store has begun a new era that this instance has not
// learned from others, and once more when its rows have settled.
func (f *Follower) followEra() {
	era := f.Sink.Version(f.Table).Era()
	if era > f.era && f.eraKnown {
		f.settleAt = time.Now().Add(restoreSettleTime)
	}
	f.era, f.eraKnown = era, f.reachedOnce
	isSettled := !f.settleAt.IsZero() && !time.Now().Before(f.settleAt) && !f.isPassive()
	if isSettled {
		f.settleAt = time.Time{}
	}
	f.needSnapshot = f.needSnapshot || isSettled || f.Source.Era() > era
}

func (f *Follower) isPassive() bool { return f.IsPassive != nil && f.IsPassive() }

func (f *Follower) poll(ctx context.Context) (changed bool, err error) {
	if f.needSnapshot {
		page, err := f.Source.ReadTable(ctx, f.Table)
		if err != nil {
			return false, err
		}
		if known := f.Sink.Version(f.Table); page.Version.Era() < known.Era() {
			return false, errors.Wrapf(errOldTable, "version %s, local %s", page.Version, known)
		}
		f.needSnapshot = false
		f.Sink.ApplySnapshot(f.Table, page)
		return true, nil
	}
	since := f.Sink.Version(f.Table)
	page, err := f.Source.ReadChanges(ctx, f.Table, since, f.PollTimeout)
	if err != nil {
		return false, err
	}
	f.Sink.ApplyChanges(f.Table, since, page)
	return len(page.Rows) > 0, nil
}

func (f *Follower) recordFailure(err error) time.Duration {
	if !f.unreachable {
		f.unreachable = true
		f.unreachableSince = time.Now()
		f.Log.Warn("feed: store unreachable", zap.String("table", f.Table), zap.Stringer("version", f.Sink.Version(f.Table)), zap.Error(err))
		f.Sink.SetReachable(f.Table, false)
	}
	f.backoff = min(maxBackoff, max(minBackoff, 2*f.backoff))
	return f.backoff/2 + rand.N(f.backoff)
}

func (f *Follower) recordSuccess() {
	f.backoff = 0
	if f.unreachable || !f.reachedOnce {
		f.Log.Info("feed: store reachable", zap.String("table", f.Table), zap.Stringer("version", f.Sink.Version(f.Table)), zap.Duration("lost", f.outageDuration()))
		f.Sink.SetReachable(f.Table, true)
	}
	f.unreachable = false
	f.reachedOnce = true
}

func (f *Follower) outageDuration() time.Duration {
	if !f.unreachable {
		return 0
	}
	return time.Since(f.unreachableSince)
}

// Sleep waits for a duration; it returns false if ctx ended first.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
