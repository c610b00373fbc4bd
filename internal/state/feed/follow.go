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
	Rows(ctx context.Context, table string) (Page, error)
	Feed(ctx context.Context, table string, since uint64, wait time.Duration) (Page, error)
}

// Sink takes what a follower reads. Its version rises also by what peers tell.
type Sink interface {
	Version(table string) uint64
	Whole(table string, p Page)
	Changes(table string, since uint64, p Page)
	// Reach tells that the store answers again, or no more.
	Reach(table string, ok bool)
}

// Pauses after a failed call: the store may refuse because it is busy, and
// all instances call again when it returns.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
)

// passivePause is the pause between two looks whether others still read.
const passivePause = 100 * time.Millisecond

// Follower keeps one table followed. Set the exported fields before Run.
type Follower struct {
	Table  string
	Source Source
	Sink   Sink
	// Wait is how long the store may hold a call without news. A silent
	// connection is noticed only when it is over.
	Wait time.Duration
	// Pause lies between two calls that bring news, so that changes of many
	// rows gather in one call.
	Pause time.Duration
	// Passive reports whether others read for this follower for now; nil is
	// never.
	Passive func() bool
	Log     *zap.Logger

	whole   bool
	known   bool
	down    bool
	since   time.Time
	backoff time.Duration
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.whole = true
	for ctx.Err() == nil {
		if !f.whole && f.Passive != nil && f.Passive() {
			if !Sleep(ctx, passivePause) {
				return
			}
			continue
		}
		news, err := f.step(ctx)
		pause := f.Pause
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrHistory):
			f.whole = true
			f.Log.Warn("feed: history lost, reading whole", zap.String("table", f.Table), zap.Uint64("since", f.Sink.Version(f.Table)))
			pause = 0
		case err != nil:
			pause = f.failed(err)
		case !news:
			pause = 0
		}
		if err == nil {
			f.worked()
		}
		if !Sleep(ctx, pause) {
			return
		}
	}
}

func (f *Follower) step(ctx context.Context) (news bool, err error) {
	if f.whole {
		p, err := f.Source.Rows(ctx, f.Table)
		if err != nil {
			return false, err
		}
		f.whole = false
		f.Sink.Whole(f.Table, p)
		return true, nil
	}
	since := f.Sink.Version(f.Table)
	p, err := f.Source.Feed(ctx, f.Table, since, f.Wait)
	if err != nil {
		return false, err
	}
	f.Sink.Changes(f.Table, since, p)
	return len(p.Rows) > 0, nil
}

func (f *Follower) failed(err error) time.Duration {
	if !f.down {
		f.down = true
		f.since = time.Now()
		f.Log.Warn("feed: store lost", zap.String("table", f.Table), zap.Uint64("version", f.Sink.Version(f.Table)), zap.Error(err))
		f.Sink.Reach(f.Table, false)
	}
	f.backoff = min(maxBackoff, max(minBackoff, 2*f.backoff))
	return f.backoff/2 + rand.N(f.backoff)
}

func (f *Follower) worked() {
	f.backoff = 0
	if f.down || !f.known {
		f.Log.Info("feed: store reached", zap.String("table", f.Table), zap.Uint64("version", f.Sink.Version(f.Table)), zap.Duration("lost", f.lost()))
		f.Sink.Reach(f.Table, true)
	}
	f.down = false
	f.known = true
}

func (f *Follower) lost() time.Duration {
	if !f.down {
		return 0
	}
	return time.Since(f.since)
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
