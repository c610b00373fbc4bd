package feed

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

// Source is the part of the platform's store that is followed.
type Source interface {
	ReadTable(ctx context.Context, table string) (Page, error)
	ReadChanges(ctx context.Context, table string, since uint64, wait time.Duration) (Page, error)
}

// Sink takes what a follower reads. Its version rises also by what peers tell.
type Sink interface {
	Version(table string) uint64
	ApplySnapshot(table string, p Page)
	ApplyChanges(table string, since uint64, p Page)
	// SetReachable tells that the store answers again, or no more.
	SetReachable(table string, ok bool)
}

// Pauses after a failed call: the store may refuse because it is busy, and
// all instances call again when it returns.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
)

// passivePollInterval is the pause between two looks whether others still read.
const passivePollInterval = 100 * time.Millisecond

// Follower keeps one table followed. Set the exported fields before Run.
type Follower struct {
	Table  string
	Source Source
	Sink   Sink
	// PollTimeout is how long the store may hold a call without news. A silent
	// connection is noticed only when it is over.
	PollTimeout time.Duration
	// PollInterval lies between two calls that bring news, so that changes of many
	// rows gather in one call.
	PollInterval time.Duration
	// IsPassive reports whether others read for this follower for now; nil is
	// never.
	IsPassive func() bool
	Log       *zap.Logger

	needSnapshot     bool
	reachedOnce      bool
	unreachable      bool
	unreachableSince time.Time
	backoff          time.Duration
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.needSnapshot = true
	for ctx.Err() == nil {
		if !f.needSnapshot && f.IsPassive != nil && f.IsPassive() {
			if !Sleep(ctx, passivePollInterval) {
				return
			}
			continue
		}
		news, err := f.poll(ctx)
		pause := f.PollInterval
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrHistoryLost):
			f.needSnapshot = true
			f.Log.Warn("feed: history lost, reading whole", zap.String("table", f.Table), zap.Uint64("since", f.Sink.Version(f.Table)))
			pause = 0
		case err != nil:
			pause = f.recordFailure(err)
		case !news:
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

func (f *Follower) poll(ctx context.Context) (news bool, err error) {
	if f.needSnapshot {
		p, err := f.Source.ReadTable(ctx, f.Table)
		if err != nil {
			return false, err
		}
		f.needSnapshot = false
		f.Sink.ApplySnapshot(f.Table, p)
		return true, nil
	}
	since := f.Sink.Version(f.Table)
	p, err := f.Source.ReadChanges(ctx, f.Table, since, f.PollTimeout)
	if err != nil {
		return false, err
	}
	f.Sink.ApplyChanges(f.Table, since, p)
	return len(p.Rows) > 0, nil
}

func (f *Follower) recordFailure(err error) time.Duration {
	if !f.unreachable {
		f.unreachable = true
		f.unreachableSince = time.Now()
		f.Log.Warn("feed: store lost", zap.String("table", f.Table), zap.Uint64("version", f.Sink.Version(f.Table)), zap.Error(err))
		f.Sink.SetReachable(f.Table, false)
	}
	f.backoff = min(maxBackoff, max(minBackoff, 2*f.backoff))
	return f.backoff/2 + rand.N(f.backoff)
}

func (f *Follower) recordSuccess() {
	f.backoff = 0
	if f.unreachable || !f.reachedOnce {
		f.Log.Info("feed: store reached", zap.String("table", f.Table), zap.Uint64("version", f.Sink.Version(f.Table)), zap.Duration("lost", f.outageDuration()))
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

// Sleep waits for a time; false if ctx ended first.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
