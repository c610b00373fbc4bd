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
	// warmupTime is the time in which the burst of the budget is used up.
	warmupTime        = time.Second
	measuredTime      = time.Second
	concurrentCallers = 400
)

// measureThroughput runs 400 callers at n instances. Each caller sends its next payment
// when the last one is answered. It returns the completed calls a second, counted as
// half of the written rows, since a call writes two rows.
func measureThroughput(t *testing.T, n int, batch bool) (rate float64, table *infra.Table) {
	table = &infra.Table{}
	table.SetFaults(infra.Faults{Latency: 5 * time.Millisecond})
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

// The platform accepts 300 commits a second. With one commit per step callers wait for
// the budget or are rejected; with batches the budget does not limit them.
func TestRecordedCallThroughput(t *testing.T) {
	for _, n := range []int{4, 40} {
		synctest.Test(t, func(t *testing.T) {
			single, _ := measureThroughput(t, n, false)
			batched, table := measureThroughput(t, n, true)
			_, rows := table.Counts()
			t.Logf("%d instances: %.0f calls/s with one write per step, %.0f calls/s batched, %.1f rows a commit",
				n, single, batched, float64(rows)/float64(table.Commits()))
			if single < 100 || single > 160 {
				t.Errorf("got %.0f calls/s with one write per step, want about half of 300", single)
			}
			// A batch has at most as many rows as the instance has callers.
			if gain := batched / single; gain < min(10, 0.4*concurrentCallers/float64(n)) {
				t.Errorf("got %.0f calls/s batched, %.1f times those without batches; want 10 times, or 0.4 for each caller", batched, gain)
			}
		})
	}
}

// The number of reads and writes that one call costs the platform, by case.
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
		step("a retry at another instance", 1, 0, func() { mustDo(t, b, "1") })
		step("a lookup of a done call", 1, 0, func() { mustLookup(t, b) })
		step("a lookup of an unknown key", 1, 1, func() {
			_, err := a.Lookup(t.Context(), "t", "payment", "k9")
			checkEqual(t, "the error", err, nil)
		})
		step("a call whose first response was lost", 1, 2, func() {
			table.SetFaults(infra.Faults{LoseReplies: 1})
			_, err := a.Do(t.Context(), ledger.NewCall("t", "payment", "payments", "k2", "", nil))
			checkEqual(t, "the error", err, nil)
		})
	})
}
