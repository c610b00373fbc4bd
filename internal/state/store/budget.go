package store

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"golang.org/x/time/rate"
)

//go:generate stringer -type=Rank -linecomment -output=rank_string.go

// Rank is the priority of a user of the budget.
type Rank int

// The ranks, highest priority first.
const (
	RankRecord Rank = iota // record
	RankLease              // lease
	RankOther              // rest
)

const (
	defaultWritesPerSecond = 300
	defaultReadsPerSecond  = 1500
	// minBurst lets instances of a large fleet, whose shares are small, make a few
	// calls at once.
	minBurst = 4
)

// reservedFraction is the fraction of the burst that each rank leaves to the ranks
// before it.
var reservedFraction = [...]float64{RankRecord: 0, RankLease: 0.25, RankOther: 0.5}

// maxWait is how long a call of each rank waits for tokens before it is rejected.
var maxWait = [...]time.Duration{RankRecord: 2 * time.Second, RankLease: 2 * time.Second, RankOther: 10 * time.Second}

// Budget keeps the fleet within the rate that the platform accepts: each instance
// uses its share, which is the fleet's rate divided by the number of live instances.
// The instances need no messages for this. While they disagree on their number for
// a few seconds, the sum of the shares is wrong in the same proportion, which the
// margin below the platform's limit covers. Set the exported fields before use.
type Budget struct {
	// WritesPerSecond and ReadsPerSecond are the rates of the whole fleet; zero
	// means 300 and 1,500.
	WritesPerSecond, ReadsPerSecond float64
	// CountRows is set if the platform counts rows instead of commits.
	CountRows bool
	// Meters is the metrics set to register in; nil means a private set.
	Meters *metrics.Set

	once         sync.Once
	writeLimiter *rate.Limiter
	readLimiter  *rate.Limiter
}

// SetInstances sets the number of instances that share the budget.
func (b *Budget) SetInstances(n int) {
	b.once.Do(b.setDefaults)
	setShare(b.writeLimiter, b.WritesPerSecond/float64(max(1, n)))
	setShare(b.readLimiter, b.ReadsPerSecond/float64(max(1, n)))
}

// Limit returns a table that calls t within the budget, for a user of the given rank.
// A call that gets no tokens in time fails with ErrUnavailable and has no effect.
func (b *Budget) Limit(rank Rank, t Table) Table {
	b.once.Do(b.setDefaults)
	return &limitedTable{budget: b, rank: rank, table: t}
}

func (b *Budget) setDefaults() {
	if b.Meters == nil {
		b.Meters = metrics.NewSet()
	}
	if b.WritesPerSecond == 0 {
		b.WritesPerSecond = defaultWritesPerSecond
	}
	if b.ReadsPerSecond == 0 {
		b.ReadsPerSecond = defaultReadsPerSecond
	}
	b.writeLimiter = rate.NewLimiter(rate.Limit(b.WritesPerSecond), burstTokens(b.WritesPerSecond))
	b.readLimiter = rate.NewLimiter(rate.Limit(b.ReadsPerSecond), burstTokens(b.ReadsPerSecond))
}

func setShare(l *rate.Limiter, share float64) {
	l.SetLimit(rate.Limit(share))
	l.SetBurst(burstTokens(share))
}

// burstTokens returns the tokens of one second, but at least minBurst.
func burstTokens(share float64) int { return max(minBurst, int(share)) }

// limitedTable is a table whose calls are limited by the budget.
type limitedTable struct {
	budget *Budget
	rank   Rank
	table  Table
}

func (l *limitedTable) Get(ctx context.Context, key string) (Row, error) {
	if err := l.waitTokens(ctx, l.budget.readLimiter, 1); err != nil {
		return Row{}, err
	}
	return l.table.Get(ctx, key)
}

func (l *limitedTable) Scan(ctx context.Context, prefix string, since uint64, limit int) ([]Row, error) {
	if err := l.waitTokens(ctx, l.budget.readLimiter, 1); err != nil {
		return nil, err
	}
	return l.table.Scan(ctx, prefix, since, limit)
}

func (l *limitedTable) Commit(ctx context.Context, writes []Write) (uint64, error) {
	n := 1
	if l.budget.CountRows {
		n = len(writes)
	}
	if err := l.waitTokens(ctx, l.budget.writeLimiter, n); err != nil {
		return 0, err
	}
	return l.table.Commit(ctx, writes)
}

// waitTokens takes n tokens from the limiter as soon as enough tokens are left for the
// reserve of the ranks before this one. If n is larger than a burst, it takes a burst.
func (l *limitedTable) waitTokens(ctx context.Context, lim *rate.Limiter, n int) error {
	ctx, cancel := context.WithTimeout(ctx, maxWait[l.rank])
	defer cancel()
	for {
		now := time.Now()
		n = min(n, lim.Burst())
		need := max(float64(n), min(float64(n)+reservedFraction[l.rank]*float64(lim.Burst()), float64(lim.Burst())))
		short := need - lim.TokensAt(now)
		if short <= 0 && lim.AllowN(now, n) {
			return nil
		}
		d := time.Duration(max(short, minShortfallTokens) / float64(lim.Limit()) * float64(time.Second))
		timer := time.NewTimer(d)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			name := fmt.Sprintf(`fulmarwick_table_unbudgeted_total{rank=%q}`, l.rank.String())
			l.budget.Meters.GetOrCreateCounter(name).Inc()
			return errors.Wrapf(ErrUnavailable, "budget of rank %s is exhausted", l.rank)
		}
	}
}

// minShortfallTokens keeps a wait above zero when another call took the last token.
const minShortfallTokens = 0.05
