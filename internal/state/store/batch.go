package store

import (
	"context"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
)

const (
	defaultMaxRows  = 64
	defaultMaxBytes = 1 << 20
)

// Batcher is a Table that joins commits of concurrent callers into few. Set
// the exported fields before use.
//
// While one commit is on its way the next ones gather; when it returns they
// leave together. Nothing waits on purpose: on an idle table each commit goes
// alone, and the batches grow just as the table or the budget gets slower.
//
// A commit whose condition fails has no effect as a whole, so it is split in
// two until the caller that failed is alone; the others never see it. When the
// answer is lost, all of a batch are unsure.
type Batcher struct {
	Table Table
	// MaxRows is the most rows of a joint commit; zero is 64.
	MaxRows int
	// MaxBytes is the most content of a joint commit; zero is 1 MiB. A larger
	// commit goes alone.
	MaxBytes int
	// Meters takes the metrics; nil makes a private set.
	Meters *metrics.Set

	mu       sync.Mutex
	queue    []*pendingCommit
	flushing bool
}

// pendingCommit is one caller's commit.
type pendingCommit struct {
	writes  []Write
	done    chan struct{}
	started bool
	version uint64
	err     error
}

// Get is Table's.
func (b *Batcher) Get(ctx context.Context, key string) (Row, error) { return b.Table.Get(ctx, key) }

// Scan is Table's.
func (b *Batcher) Scan(ctx context.Context, prefix string, since uint64, limit int) ([]Row, error) {
	return b.Table.Scan(ctx, prefix, since, limit)
}

// Commit is Table's. A caller who leaves before its commit left gets ErrDown,
// one who leaves after it ErrUnsure.
func (b *Batcher) Commit(ctx context.Context, writes []Write) (uint64, error) {
	e := &pendingCommit{writes: writes, done: make(chan struct{})}
	b.enqueue(e)
	select {
	case <-e.done:
		return e.version, e.err
	case <-ctx.Done():
		if b.withdraw(e) {
			return 0, errors.Wrap(ErrUnavailable, ctx.Err().Error())
		}
		return 0, errors.Wrap(ErrOutcomeUnknown, ctx.Err().Error())
	}
}

func (b *Batcher) enqueue(e *pendingCommit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.Meters == nil {
		b.Meters = metrics.NewSet()
	}
	b.queue = append(b.queue, e)
	if !b.flushing {
		b.flushing = true
		go b.flush()
	}
}

// withdraw takes an entry out of the queue, if it is in it still.
func (b *Batcher) withdraw(e *pendingCommit) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e.started {
		return false
	}
	for i, q := range b.queue {
		if q == e {
			b.queue = append(b.queue[:i:i], b.queue[i+1:]...)
			return true
		}
	}
	return false
}

// flush commits what gathered until nothing is left.
func (b *Batcher) flush() {
	for {
		group := b.nextBatch()
		if len(group) == 0 {
			return
		}
		b.commitBatch(group)
		for _, e := range group {
			close(e.done)
		}
	}
}

// nextBatch returns the next entries: up to Rows rows, and no row twice, since the
// second write of a row needs the version of the first.
func (b *Batcher) nextBatch() []*pendingCommit {
	b.mu.Lock()
	defer b.mu.Unlock()
	var group, rest []*pendingCommit
	l := batchSize{rows: map[string]bool{}}
	for _, e := range b.queue {
		if len(group) > 0 && !b.fits(l, e) {
			rest = append(rest, e)
			continue
		}
		l.add(e)
		e.started = true
		group = append(group, e)
	}
	b.queue = rest
	b.flushing = len(group) > 0
	return group
}

// batchSize is what a joint commit has so far.
type batchSize struct {
	rows  map[string]bool
	bytes int
}

func (l *batchSize) add(e *pendingCommit) {
	for _, w := range e.writes {
		l.rows[w.key] = true
		l.bytes += len(w.value)
	}
}

func (b *Batcher) fits(l batchSize, e *pendingCommit) bool {
	rows, size := b.MaxRows, b.MaxBytes
	if rows == 0 {
		rows = defaultMaxRows
	}
	if size == 0 {
		size = defaultMaxBytes
	}
	if len(l.rows)+len(e.writes) > rows {
		return false
	}
	for _, w := range e.writes {
		if l.rows[w.key] {
			return false
		}
		l.bytes += len(w.value)
	}
	return l.bytes <= size
}

func (b *Batcher) commitBatch(group []*pendingCommit) {
	var writes []Write
	for _, e := range group {
		writes = append(writes, e.writes...)
	}
	b.Meters.GetOrCreateCounter("fulmarwick_table_commits_total").Inc()
	b.Meters.GetOrCreateCounter("fulmarwick_table_rows_total").Add(len(writes))
	version, err := b.Table.Commit(context.Background(), writes)
	if len(group) > 1 && errors.Is(err, ErrConflict) {
		half := len(group) / 2
		b.commitBatch(group[:half])
		b.commitBatch(group[half:])
		return
	}
	for _, e := range group {
		e.version, e.err = version, err
	}
}
