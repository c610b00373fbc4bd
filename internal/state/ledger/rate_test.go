package ledger_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fulmarwick/internal/fakes/infra"
	"fulmarwick/internal/state/ledger"
	"fulmarwick/internal/state/store"
)

const (
	// The first second spends what the budget saved up.
	warmupTime        = time.Second
	measuredTime      = time.Second
	concurrentCallers = 400
)

// measureThroughput is calls by 400 clerks, each sending the next payment when the last
// one is answered, through n instances; it returns the calls a second of which
// the end is on record, at two rows each.
func measureThroughput(t *testing.T, n int, batch bool) (rate float64, table *infra.Table) {
	table = &infra.Table{}
	table.Fault(infra.Faults{Slow: 5 * time.Millisecond})
	ctx, cancel := context.WithTimeout(t.Context(), warmupTime+measuredTime)
	defer cancel()
	var all sync.WaitGroup
	for i := range n {
		budget := &store.Budget{}
		budget.SetInstances(n)
		var rows ledger.Table = budget.Limit(store.RankRecord, table)
		if batch {
			rows = &store.Batcher{Table: budget.Limit(store.RankRecord, table)}
		}
		l := &ledger.Ledger{Table: rows, Sender: &fakeService{delay: 20 * time.Millisecond}}
		for j := range concurrentCallers / n {
			all.Go(func() {
				for k := 0; ctx.Err() == nil; k++ {
					_, _ = l.Do(ctx, ledger.NewCall("t", "payment", "payments", fmt.Sprint(i, j, k), "", nil))
				}
			})
		}
	}
	time.Sleep(warmupTime)
	_, before := table.Counts()
	time.Sleep(measuredTime)
	_, after := table.Counts()
	rate = float64(after-before) / 2 / measuredTime.Seconds()
	all.Wait()
	time.Sleep(time.Minute)
	return rate, table
}

// The platform takes 300 commits a second. With one write per step the clerks
// wait for their turn or are refused; with batches they do not notice.
func TestRecordedCallThroughput(t *testing.T) {
	for _, n := range []int{4, 40} {
		synctest.Test(t, func(t *testing.T) {
			alone, _ := measureThroughput(t, n, false)
			joint, table := measureThroughput(t, n, true)
			_, rows := table.Counts()
			t.Logf("%d instances: %.0f calls/s with one write per step, %.0f calls/s batched, %.1f rows a commit",
				n, alone, joint, float64(rows)/float64(table.Commits()))
			if alone < 100 || alone > 160 {
				t.Errorf("got %.0f calls/s with one write per step, want about half of 300", alone)
			}
			// A batch has no more rows than the instance has callers.
			if gain := joint / alone; gain < min(10, 0.4*concurrentCallers/float64(n)) {
				t.Errorf("got %.0f calls/s batched, %.1f times those alone; want 10, or 0.4 for each caller", joint, gain)
			}
		})
	}
}

// What one call costs the platform, by how it goes.
func TestStoreCallsPerCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, svc := &infra.Table{}, &fakeService{}
		a, b := &ledger.Ledger{Table: table, Sender: svc}, &ledger.Ledger{Table: table, Sender: svc}
		reads, writes := 0, 0
		step := func(what string, wantReads, wantWrites int, f func()) {
			f()
			r, w := table.Counts()
			t.Logf("%s: %d reads, %d writes", what, r-reads, w-writes)
			checkEqual(t, "reads of "+what, r-reads, wantReads)
			checkEqual(t, "writes of "+what, w-writes, wantWrites)
			reads, writes = r, w
		}
		step("a call", 0, 2, func() { mustDo(t, a, "1") })
		step("a repeat at another instance", 1, 0, func() { mustDo(t, b, "1") })
		step("a look-up of a done call", 1, 0, func() { mustLookup(t, b) })
		step("a look-up of an unknown key", 1, 1, func() {
			_, err := a.Lookup(t.Context(), "t", "payment", "k9")
			checkEqual(t, "the error", err, nil)
		})
		step("a call whose first answer was lost", 1, 2, func() {
			table.Fault(infra.Faults{Lose: 1})
			_, err := a.Do(t.Context(), ledger.NewCall("t", "payment", "payments", "k2", "", nil))
			checkEqual(t, "the error", err, nil)
		})
	})
}
