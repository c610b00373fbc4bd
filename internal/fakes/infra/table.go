// Package infra is a stand-in for the platform: its table, its object store
// and its list of instances, in memory, with faults to order.
//
// It imports state/store for the bodies on the wire. The trial command and
// tests run it, over HTTP or in the process.
package infra

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"fulmarwick/internal/state/store"
)

// Table is the platform's table in memory. The zero value is ready.
type Table struct {
	mu       sync.Mutex
	rows     map[string]store.Row
	previous map[string]store.Row
	version  uint64
	faults   Faults
	reads    int
	writes   int
	commits  int
	calls    int
	delayed  [][]store.Write
}

// Faults are what the platform does wrong, until set anew.
type Faults struct {
	// Down refuses every call without effect.
	Down bool
	// Slow delays every call.
	Slow time.Duration
	// Lose drops the answers of this many commits after they took effect.
	Lose int
	// Drop loses this many commits before they take effect, with no answer.
	Drop int
	// Late answers this many commits not at all and takes them at Land.
	Late int
	// Stale answers reads with what each row was before its last change.
	Stale bool
}

// Fault sets the faults from now on.
func (t *Table) Fault(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// Counts returns the reads and the rows written so far.
func (t *Table) Counts() (reads, writes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reads, t.writes
}

// Commits returns how many commits took effect so far.
func (t *Table) Commits() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.commits
}

// Calls returns how many calls came so far, refused ones included.
func (t *Table) Calls() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.calls
}

// Land takes the late commits whose conditions hold now.
func (t *Table) Land() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, w := range t.delayed {
		if t.conditionsHold(w) {
			t.apply(w)
		}
	}
	t.delayed = nil
}

// Get returns the row under key, or store.ErrMissing.
func (t *Table) Get(ctx context.Context, key string) (store.Row, error) {
	if err := t.begin(ctx); err != nil {
		return store.Row{}, err
	}
	defer t.mu.Unlock()
	t.reads++
	r, ok := t.visibleRows()[key]
	if !ok {
		return store.Row{}, store.ErrNotFound
	}
	return r, nil
}

// Scan returns rows under prefix above version since, in order of version.
func (t *Table) Scan(ctx context.Context, prefix string, since uint64, limit int) ([]store.Row, error) {
	if err := t.begin(ctx); err != nil {
		return nil, err
	}
	defer t.mu.Unlock()
	t.reads++
	var out []store.Row
	for k, r := range t.visibleRows() {
		if strings.HasPrefix(k, prefix) && r.Version() > since {
			out = append(out, r)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Version() != out[j].Version() {
			return out[i].Version() < out[j].Version()
		}
		return out[i].Key() < out[j].Key()
	})
	return out[:min(limit, len(out))], nil
}

// Commit takes all writes or none.
func (t *Table) Commit(ctx context.Context, writes []store.Write) (uint64, error) {
	if err := t.begin(ctx); err != nil {
		return 0, err
	}
	defer t.mu.Unlock()
	if t.faults.Drop > 0 {
		t.faults.Drop--
		return 0, store.ErrOutcomeUnknown
	}
	if t.faults.Late > 0 {
		t.faults.Late--
		t.delayed = append(t.delayed, writes)
		return 0, store.ErrOutcomeUnknown
	}
	if !t.conditionsHold(writes) {
		return 0, store.ErrConflict
	}
	t.apply(writes)
	if t.faults.Lose > 0 {
		t.faults.Lose--
		return 0, store.ErrOutcomeUnknown
	}
	return t.version, nil
}

func (t *Table) conditionsHold(writes []store.Write) bool {
	for _, w := range writes {
		if t.rows[w.Key()].Version() != w.IfVersion() {
			return false
		}
	}
	return true
}

func (t *Table) apply(writes []store.Write) {
	if t.rows == nil {
		t.rows = map[string]store.Row{}
		t.previous = map[string]store.Row{}
	}
	t.version++
	t.commits++
	for _, w := range writes {
		t.writes++
		t.savePrevious(w.Key())
		if w.Removes() {
			delete(t.rows, w.Key())
			continue
		}
		t.rows[w.Key()] = store.NewRow(w.Key(), t.version, append([]byte(nil), w.Value()...))
	}
}

// savePrevious keeps what a stale read answers.
func (t *Table) savePrevious(key string) {
	if r, ok := t.rows[key]; ok {
		t.previous[key] = r
		return
	}
	delete(t.previous, key)
}

func (t *Table) visibleRows() map[string]store.Row {
	if t.faults.Stale {
		return t.previous
	}
	return t.rows
}

// begin waits out the faults and returns with the lock held, or an error.
func (t *Table) begin(ctx context.Context) error {
	t.mu.Lock()
	slow := t.faults.Slow
	t.calls++
	t.mu.Unlock()
	if err := sleep(ctx, slow); err != nil {
		return err
	}
	t.mu.Lock()
	if t.faults.Down {
		t.mu.Unlock()
		return store.ErrUnavailable
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	if d == 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return store.ErrUnavailable
	}
}
