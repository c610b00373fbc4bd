// Package infra is a stand-in for the platform. It keeps the platform's table, its
// object store and its list of instances in memory, and can inject faults.
//
// It imports state/store for the encoding on the wire. The trial command and
// tests run it, over HTTP or in process.
package infra

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"fulmarwick/internal/state/store"
)

// Table is the platform's table in memory. The zero value is ready to use.
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

// Faults are the faults that a Table injects.
type Faults struct {
	// Unavailable makes every call fail without effect.
	Unavailable bool
	// Latency is the delay of every call.
	Latency time.Duration
	// LoseReplies is how many commits take effect but lose their response.
	LoseReplies int
	// DropCommits is how many commits get lost without effect and without a response.
	DropCommits int
	// DelayCommits is how many commits get no response and are kept until
	// ApplyDelayed applies them.
	DelayCommits int
	// StaleReads makes reads return each row as it was before its last change.
	StaleReads bool
}

// SetFaults replaces the faults that the table injects.
func (t *Table) SetFaults(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// Counts returns the number of reads and of rows written so far.
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

// Calls returns how many calls were received so far, including failed ones.
func (t *Table) Calls() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.calls
}

// ApplyDelayed applies the delayed commits whose conditions hold now and drops the others.
func (t *Table) ApplyDelayed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, writes := range t.delayed {
		if t.conditionsHold(writes) {
			t.apply(writes)
		}
	}
	t.delayed = nil
}

// Get returns the row under key, or store.ErrNotFound.
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

// Scan returns at most limit rows whose key has the prefix and whose version is
// above since, in order of version.
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

// Commit applies all writes or none, and returns the new version of the table.
func (t *Table) Commit(ctx context.Context, writes []store.Write) (uint64, error) {
	if err := t.begin(ctx); err != nil {
		return 0, err
	}
	defer t.mu.Unlock()
	if t.faults.DropCommits > 0 {
		t.faults.DropCommits--
		return 0, store.ErrOutcomeUnknown
	}
	if t.faults.DelayCommits > 0 {
		t.faults.DelayCommits--
		t.delayed = append(t.delayed, writes)
		return 0, store.ErrOutcomeUnknown
	}
	if !t.conditionsHold(writes) {
		return 0, store.ErrConflict
	}
	t.apply(writes)
	if t.faults.LoseReplies > 0 {
		t.faults.LoseReplies--
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

// savePrevious keeps the current row under key for stale reads.
func (t *Table) savePrevious(key string) {
	if r, ok := t.rows[key]; ok {
		t.previous[key] = r
		return
	}
	delete(t.previous, key)
}

func (t *Table) visibleRows() map[string]store.Row {
	if t.faults.StaleReads {
		return t.previous
	}
	return t.rows
}

// begin counts a call, waits for its delay and returns with the lock held. If it
// returns an error, the lock is not held.
func (t *Table) begin(ctx context.Context) error {
	t.mu.Lock()
	delay := t.faults.Latency
	t.calls++
	t.mu.Unlock()
	if err := sleep(ctx, delay); err != nil {
		return err
	}
	t.mu.Lock()
	if t.faults.Unavailable {
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
