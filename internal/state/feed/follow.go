package feed

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

// Source is the part of the platform's store that a Follower reads.
type Source interface {
	// ReadTable returns all rows of a table.
	ReadTable(ctx context.Context, table string) (Page, error)
	// ReadChanges returns the changes after version since; the store may hold the
	// call for up to wait if there are none.
	ReadChanges(ctx context.Context, table string, since uint64, wait time.Duration) (Page, error)
}

// Sink receives what a Follower reads. Its version also rises with changes that peers
// send.
type Sink interface {
	Version(table string) uint64
	ApplySnapshot(table string, p Page)
	ApplyChanges(table string, since uint64, p Page)
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

	needSnapshot     bool
	reachedOnce      bool
	unreachable      bool
	unreachableSince time.Time
	backoff          time.Duration
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.needSnapshot = true
	for ctx.Err() == nil {
		if !f.needSnapshot && f.IsPassive != nil && f.IsPassive() {
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
			f.Log.Warn("feed: change history lost, reading the whole table", zap.String("table", f.Table), zap.Uint64("since", f.Sink.Version(f.Table)))
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

func (f *Follower) poll(ctx context.Context) (changed bool, err error) {
	if f.needSnapshot {
		page, err := f.Source.ReadTable(ctx, f.Table)
		if err != nil {
			return false, err
		}
		f.needSnapshot = false
		if known := f.Sink.Version(f.Table); page.Version < known {
			f.Log.Warn("feed: table read is older than the local copy, ignored", zap.String("table", f.Table), zap.Uint64("version", page.Version), zap.Uint64("local", known))
		}
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
		f.Log.Warn("feed: store unreachable", zap.String("table", f.Table), zap.Uint64("version", f.Sink.Version(f.Table)), zap.Error(err))
		f.Sink.SetReachable(f.Table, false)
	}
	f.backoff = min(maxBackoff, max(minBackoff, 2*f.backoff))
	return f.backoff/2 + rand.N(f.backoff)
}

func (f *Follower) recordSuccess() {
	f.backoff = 0
	if f.unreachable || !f.reachedOnce {
		f.Log.Info("feed: store reachable", zap.String("table", f.Table), zap.Uint64("version", f.Sink.Version(f.Table)), zap.Duration("lost", f.outageDuration()))
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
