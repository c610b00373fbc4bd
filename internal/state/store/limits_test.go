package store_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fulmarwick/internal/fakes/infra"
	"fulmarwick/internal/state/store"

	"github.com/go-faster/errors"
)

// slowTable is a table that takes 5 ms for a commit and accepts 300 commits a second,
// one after another, as the platform's table does at its limit.
type slowTable struct {
	*infra.Table
	mu             sync.Mutex
	nextFree       time.Time
	commitInterval time.Duration
}

func (p *slowTable) Commit(ctx context.Context, w []store.Write) (uint64, error) {
	p.mu.Lock()
	now := time.Now()
	if p.nextFree.Before(now) {
		p.nextFree = now
	}
	p.nextFree = p.nextFree.Add(p.commitInterval)
	wait := p.nextFree.Sub(now) + 5*time.Millisecond
	p.mu.Unlock()
	time.Sleep(wait)
	return p.Table.Commit(ctx, w)
}

// The condition of one of many concurrent commits does not hold, as happens for a
// duplicate call. Only that commit fails; the others take effect.
func TestConflictFailsOnlyItsCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &slowTable{Table: &infra.Table{}, commitInterval: time.Second / 300}
		b := &store.Batcher{Table: table}
		var all sync.WaitGroup
		errs := make([]error, 40)
		for i := range errs {
			all.Go(func() {
				version := uint64(0)
				if i == 17 {
					version = 99
				}
				_, errs[i] = b.Commit(t.Context(), []store.Write{store.Put(fmt.Sprint("k", i), version, nil)})
			})
		}
		all.Wait()
		for i, err := range errs {
			if got, want := errors.Is(err, store.ErrConflict), i == 17; got != want {
				t.Errorf("got conflict %v for commit %d, want %v", got, i, want)
			}
		}
		if got := table.Commits(); got > 15 {
			t.Errorf("got %d commits for 40 callers, want at most 15", got)
		}
	})
}

// Large values do not make a batch that is too large for the table.
func TestBatchIsBoundedInBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &infra.Table{}
		table.SetFaults(infra.Faults{Latency: time.Millisecond})
		b := &store.Batcher{Table: table, MaxBytes: 1000}
		var all sync.WaitGroup
		for i := range 9 {
			all.Go(func() {
				if _, err := b.Commit(t.Context(), []store.Write{store.Put(fmt.Sprint(i), 0, make([]byte, 300))}); err != nil {
					t.Error(err)
				}
			})
		}
		all.Wait()
		if got := table.Commits(); got < 3 || got > 4 {
			t.Errorf("got %d commits for 9 rows with 3 rows a batch, want 3 or 4", got)
		}
	})
}

// If the response to a commit is lost, its caller gets ErrOutcomeUnknown. A commit
// whose caller gives up while it is queued has no effect. A commit to a row that is
// already being written waits for the next batch.
func TestBatchedCommitFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &infra.Table{}
		table.SetFaults(infra.Faults{Latency: time.Second, LoseReplies: 1})
		b := &store.Batcher{Table: table}
		put := func(ctx context.Context, version uint64) error {
			_, err := b.Commit(ctx, []store.Write{store.Put("k", version, nil)})
			return err
		}
		errs := make(chan error, 1)
		go func() { errs <- put(t.Context(), 0) }()
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		if err := put(ctx, 0); !errors.Is(err, store.ErrUnavailable) {
			t.Errorf("got %v for a commit that was not sent, want ErrUnavailable", err)
		}
		if err := <-errs; !errors.Is(err, store.ErrOutcomeUnknown) {
			t.Errorf("got %v for the lost response, want ErrOutcomeUnknown", err)
		}
		ctx, cancel = context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		if err := put(ctx, 1); !errors.Is(err, store.ErrOutcomeUnknown) {
			t.Errorf("got %v for a caller that gave up after the send, want ErrOutcomeUnknown", err)
		}
		time.Sleep(time.Minute)
	})
}

// Payments use up the platform's 300 commits a second: almost nothing is left for the
// other ranks. Without payments, leases have priority over the last rank. In both
// cases forty instances together stay within the fleet's budget.
func TestBudgetRanks(t *testing.T) {
	for _, first := range []store.Rank{store.RankRecord, store.RankLease} {
		synctest.Test(t, func(t *testing.T) {
			counts := commitInAllRanks(t, first)
			total := counts[0] + counts[1] + counts[2]
			if most := 300*10 + 40*7; total > most || total < 2700 {
				t.Errorf("got %d commits in 10 s, want about 3000 and at most %d", total, most)
			}
			// The other ranks get only the initial burst.
			if got := counts[first]; got < total*85/100 {
				t.Errorf("got %v commits by rank, want at least 85%% of rank %s", counts, first)
			}
		})
	}
}

// commitInAllRanks lets 40 instances commit as fast as they can for 10 s, in all ranks
// from first. It returns the number of commits by rank.
func commitInAllRanks(t *testing.T, first store.Rank) [3]int {
	counts := [3]int{}
	var mu sync.Mutex
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	var all sync.WaitGroup
	for range 40 {
		budget := &store.Budget{}
		budget.SetInstances(40)
		table := &infra.Table{}
		for rank := first; rank <= store.RankOther; rank++ {
			limited := budget.Limit(rank, table)
			for i := range 8 {
				all.Go(func() {
					for ctx.Err() == nil {
						_, err := limited.Commit(ctx, []store.Write{store.Remove(fmt.Sprint(i), 0)})
						mu.Lock()
						if err == nil {
							counts[rank]++
						}
						mu.Unlock()
					}
				})
			}
		}
	}
	all.Wait()
	return counts
}

// The budget counts rows instead of commits. A caller that gets no tokens in time is
// rejected without effect.
func TestBudgetCountsRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := &store.Budget{WritesPerSecond: 10, CountRows: true}
		table := &infra.Table{}
		limited := budget.Limit(store.RankRecord, table)
		var writes []store.Write
		for i := range 10 {
			writes = append(writes, store.Put(fmt.Sprint(i), 0, nil))
		}
		if _, err := limited.Commit(t.Context(), writes); err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		if _, err := limited.Commit(t.Context(), writes[:1]); !errors.Is(err, store.ErrConflict) || time.Since(start) < 100*time.Millisecond {
			t.Errorf("got %v after %v, want the next token after 100ms", err, time.Since(start))
		}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		if _, err := limited.Commit(ctx, writes[:1]); !errors.Is(err, store.ErrUnavailable) {
			t.Errorf("got %v without a token, want ErrUnavailable", err)
		}
	})
}

// The table is down for ten minutes under steady calls of 4 or 40 instances. Callers
// do not wait for timeouts, and few calls reach the table. After the outage all
// instances recover within seconds, without a retry storm.
func TestBreakerRecoversWithoutRetryStorm(t *testing.T) {
	for _, n := range []int{4, 40} {
		synctest.Test(t, func(t *testing.T) {
			recovery, tries, peak := runOutage(t, n)
			t.Logf("%d instances: recovered after %v, %d tries in 10 min, peak %d calls in 100 ms (steady %d)", n, recovery, tries, peak, n)
			if recovery > 16*time.Second {
				t.Errorf("got recovery after %v, want within 16s", recovery)
			}
			if most := n * 70; tries > most {
				t.Errorf("got %d tries during the outage, want at most %d", tries, most)
			}
			if peak > 3*n {
				t.Errorf("got %d calls within 100 ms, want no more than three times the steady %d", peak, n)
			}
		})
	}
}

// runOutage runs n instances with 10 calls a second each through an outage. It returns
// the recovery time, the calls to the table during the outage, and the peak of calls
// in 100 ms after the outage.
func runOutage(t *testing.T, n int) (recovery time.Duration, tries, peak int) {
	table := &infra.Table{}
	var breakers []*store.Breaker
	for i := range n {
		breakers = append(breakers, &store.Breaker{Table: table, Rand: rand.New(rand.NewPCG(1, uint64(i)))})
	}
	tick := func() int {
		before := table.Calls()
		for _, b := range breakers {
			_, _ = b.Get(t.Context(), "k")
		}
		time.Sleep(100 * time.Millisecond)
		return table.Calls() - before
	}
	table.SetFaults(infra.Faults{Unavailable: true})
	for range 6000 {
		tries += tick()
	}
	table.SetFaults(infra.Faults{})
	start := time.Now()
	for {
		peak = max(peak, tick())
		open := 0
		for _, b := range breakers {
			if b.IsOpen() {
				open++
			}
		}
		if open == 0 {
			return time.Since(start), tries, peak
		}
	}
}
