package lease_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/state/lease"
	"fulmarwick/internal/state/store"
)

// restorableTable is a table that can be put back to an older copy. Each restore begins a new era, in
// which versions are given out again.
type restorableTable struct {
	era     uint64
	version uint64
	rows    map[string]store.Row
	// isDown makes all calls fail without an effect.
	isDown bool
	// copies are the table's contents after each commit.
	copies []tableCopy
}

type tableCopy struct {
	at      time.Time
	version uint64
	rows    map[string]store.Row
}

func (t *restorableTable) Get(_ context.Context, key string) (store.Row, error) {
	if t.isDown {
		return store.Row{}, store.ErrUnavailable
	}
	row, ok := t.rows[key]
	revision := uint64(spec.NewRevision(t.era, row.Version()))
	if !ok {
		return store.NewRow(key, revision, nil), store.ErrNotFound
	}
	return store.NewRow(key, revision, row.Value()), nil
}

func (t *restorableTable) Commit(_ context.Context, writes []store.Write) (uint64, error) {
	if t.isDown {
		return 0, store.ErrUnavailable
	}
	for _, w := range writes {
		read := spec.Revision(w.IfVersion())
		if w.IfVersion() != 0 && read.Era() != t.era || t.rows[w.Key()].Version() != read.Version() {
			return 0, store.ErrConflict
		}
	}
	t.version++
	rows := map[string]store.Row{}
	for key, row := range t.rows {
		rows[key] = row
	}
	for _, w := range writes {
		rows[w.Key()] = store.NewRow(w.Key(), t.version, w.Value())
	}
	t.rows = rows
	t.copies = append(t.copies, tableCopy{at: time.Now(), version: t.version, rows: rows})
	return uint64(spec.NewRevision(t.era, t.version)), nil
}

// restore puts the table back to its content at a time.
func (t *restorableTable) restore(at time.Time) {
	n := 0
	for n < len(t.copies) && !t.copies[n].at.After(at) {
		n++
	}
	t.copies, t.version, t.rows = t.copies[:n], 0, nil
	if n > 0 {
		t.version, t.rows = t.copies[n-1].version, t.copies[n-1].rows
	}
	t.era++
}

// restoreRun is a group of instances that contend for a lease while the table is restored.
type restoreRun struct {
	t       *testing.T
	random  *rand.Rand
	table   *restorableTable
	leases  []*lease.Lease
	highest uint64
	holder  *lease.Lease
}

func (r *restoreRun) start(n int) {
	for range n {
		r.leases = append(r.leases, newLease(r.table, fmt.Sprintf("instance-%d", len(r.leases))))
	}
}

// run lets all instances renew or acquire the lease for a time, each at its own pace. It checks that one
// of them holds it at most, and that each new holder has a higher token than all before.
func (r *restoreRun) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Second / 2) {
		for _, l := range r.leases {
			if r.random.IntN(8) == 0 {
				_ = l.RenewOrAcquire(r.t.Context())
			}
			r.check()
		}
	}
}

func (r *restoreRun) check() {
	r.t.Helper()
	var holder *lease.Lease
	for _, l := range r.leases {
		switch {
		case !l.Held():
		case holder != nil:
			r.t.Fatalf("got two holders in era %d, want one at most", r.table.era)
		default:
			holder = l
		}
	}
	if holder == nil {
		return
	}
	if fence := holder.Fence(); r.holder != nil && holder != r.holder && fence <= r.highest {
		r.t.Fatalf("got token %d of a new holder in era %d, want more than %d", fence, r.table.era, r.highest)
	}
	r.holder, r.highest = holder, max(r.highest, holder.Fence())
}

// Guards against two planners at once, and against fencing tokens that are given out again or fall below
// one that engines have seen, after the store came back from an older copy.
func TestOneHolderAndRisingFencesAcrossRestores(t *testing.T) {
	for seed := range uint64(200) {
		synctest.Test(t, func(t *testing.T) {
			r := &restoreRun{t: t, random: rand.New(rand.NewPCG(seed, 7)), table: &restorableTable{}}
			r.start(3)
			r.run(40 * time.Second)
			first := time.Now()
			for range 4 {
				r.run(time.Duration(r.random.IntN(90)) * time.Second)
				r.table.isDown = r.random.IntN(2) == 0
				r.run(time.Duration(r.random.IntN(20)) * time.Second)
				r.table.isDown = false
				at := time.Now().Add(-time.Duration(r.random.IntN(60)) * time.Second)
				if at.Before(first) {
					at = first
				}
				r.table.restore(at)
				if r.random.IntN(2) == 0 {
					r.start(1)
				}
				if r.random.IntN(3) == 0 {
					r.leases[r.random.IntN(len(r.leases))].Release(t.Context())
				}
			}
			r.holder = nil
			for end := time.Now().Add(2 * time.Minute); r.holder == nil && time.Now().Before(end); {
				r.run(time.Second)
			}
			if r.holder == nil {
				t.Errorf("seed %d: got no holder within two minutes of the last restore, want one", seed)
			}
		})
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

// Guards against a new holder while the former one goes on, when the copy is from before the lease was
// first acquired.
func TestHolderStaysWhenCopyHasNoLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &restorableTable{}
		before := time.Now()
		a, b := newLease(table, "a"), newLease(table, "b")
		time.Sleep(second)
		renewOrAcquire(t, a)
		renewOrAcquire(t, b)
		fence := a.Fence()
		table.restore(before)
		renewOrAcquire(t, b)
		if b.Held() {
			t.Fatal("got the lease acquired while its holder may go on, want it left to the holder")
		}
		renewOrAcquire(t, a)
		if !a.Held() || a.Fence() <= fence {
			t.Errorf("got held %t with token %d, want the holder to go on with a token above %d", a.Held(), a.Fence(), fence)
		}
	})
}
