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

// Rank orders the users of the budget.
type Rank int

// The ranks, first to last.
const (
	RankRecord Rank = iota // record
	RankLease              // lease
	RankRest               // rest
)

const (
	defaultWrites = 300
	defaultReads  = 1500
	// minBurst lets a large fleet's small shares be spent at once.
	minBurst = 4
)

// reserve is the part of the burst that each rank leaves to those before it.
var reserve = [...]float64{RankRecord: 0, RankLease: 0.25, RankRest: 0.5}

// patience is how long each rank waits for its turn before it is refused.
var patience = [...]time.Duration{RankRecord: 2 * time.Second, RankLease: 2 * time.Second, RankRest: 10 * time.Second}

// Budget keeps the fleet within what the platform takes: each instance spends
// its share, which is the whole divided by the number of live instances. No
// message is needed for it; while instances disagree on the number for a few
// seconds the sum is off by the same part, which the margin below the
// platform's limit covers. Set the exported fields before use.
type Budget struct {
	// Writes and Reads are what the fleet may do in a second; zero are 300 and
	// 1,500.
	Writes, Reads float64
	// PerRow says that the platform counts rows and not commits.
	PerRow bool
	// Meters takes the metrics; nil makes a private set.
	Meters *metrics.Set

	once   sync.Once
	writes *rate.Limiter
	reads  *rate.Limiter
}

// SetLive tells how many instances share the budget.
func (b *Budget) SetLive(n int) {
	b.once.Do(b.start)
	set(b.writes, b.Writes/float64(max(1, n)))
	set(b.reads, b.Reads/float64(max(1, n)))
}

// Table returns t within the budget, for a user of that rank. A call whose
// turn does not come in time fails with ErrDown, without effect.
func (b *Budget) Table(rank Rank, t Table) Table {
	b.once.Do(b.start)
	return &limited{budget: b, rank: rank, table: t}
}

func (b *Budget) start() {
	if b.Meters == nil {
		b.Meters = metrics.NewSet()
	}
	if b.Writes == 0 {
		b.Writes = defaultWrites
	}
	if b.Reads == 0 {
		b.Reads = defaultReads
	}
	b.writes = rate.NewLimiter(rate.Limit(b.Writes), burst(b.Writes))
	b.reads = rate.NewLimiter(rate.Limit(b.Reads), burst(b.Reads))
}

func set(l *rate.Limiter, share float64) {
	l.SetLimit(rate.Limit(share))
	l.SetBurst(burst(share))
}

// burst is what one second gives.
func burst(share float64) int { return max(minBurst, int(share)) }

// limited is a table within the budget.
type limited struct {
	budget *Budget
	rank   Rank
	table  Table
}

func (l *limited) Get(ctx context.Context, key string) (Row, error) {
	if err := l.wait(ctx, l.budget.reads, 1); err != nil {
		return Row{}, err
	}
	return l.table.Get(ctx, key)
}

func (l *limited) Scan(ctx context.Context, prefix string, since uint64, limit int) ([]Row, error) {
	if err := l.wait(ctx, l.budget.reads, 1); err != nil {
		return nil, err
	}
	return l.table.Scan(ctx, prefix, since, limit)
}

func (l *limited) Commit(ctx context.Context, writes []Write) (uint64, error) {
	n := 1
	if l.budget.PerRow {
		n = len(writes)
	}
	if err := l.wait(ctx, l.budget.writes, n); err != nil {
		return 0, err
	}
	return l.table.Commit(ctx, writes)
}

// wait takes n from the limiter once that leaves the reserve of the ranks
// before. More than a burst at once is taken as a burst.
func (l *limited) wait(ctx context.Context, lim *rate.Limiter, n int) error {
	ctx, cancel := context.WithTimeout(ctx, patience[l.rank])
	defer cancel()
	for {
		now := time.Now()
		n = min(n, lim.Burst())
		need := max(float64(n), min(float64(n)+reserve[l.rank]*float64(lim.Burst()), float64(lim.Burst())))
		short := need - lim.TokensAt(now)
		if short <= 0 && lim.AllowN(now, n) {
			return nil
		}
		d := time.Duration(max(short, minShort) / float64(lim.Limit()) * float64(time.Second))
		timer := time.NewTimer(d)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			name := fmt.Sprintf(`fulmarwick_table_unbudgeted_total{rank=%q}`, l.rank.String())
			l.budget.Meters.GetOrCreateCounter(name).Inc()
			return errors.Wrapf(ErrDown, "budget of rank %s is spent", l.rank)
		}
	}
}

// minShort keeps a wait from being zero after a lost race for the last token.
const minShort = 0.05
