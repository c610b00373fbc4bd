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

// Batcher is a Table that batches the commits of concurrent callers. Set the
// exported fields before use.
//
// While one commit is in flight, further commits are queued; when it returns,
// the queue is sent as one batch. There is no deliberate delay: on an idle table
// each commit is sent alone, and batches grow as the table or the budget gets
// slower.
//
// A batch in which one condition fails has no effect as a whole. It is split in
// half until the failing commit is alone; the other callers do not notice. When
// the response is lost, the outcome of every commit of the batch is unknown.
type Batcher struct {
	Table Table
	// MaxRows is the maximum number of rows in a batch; zero means 64.
	MaxRows int
	// MaxBytes is the maximum size of the values in a batch; zero means 1 MiB.
	// A larger commit is sent alone.
	MaxBytes int
	// Meters is the metrics set to register in; nil means a private set.
	Meters *metrics.Set

	mu       sync.Mutex
	queue    []*pendingCommit
	flushing bool
}

// pendingCommit is the commit of one caller.
type pendingCommit struct {
	writes  []Write
	done    chan struct{}
	started bool
	version uint64
	err     error
}

// Get calls Table.Get.
func (b *Batcher) Get(ctx context.Context, key string) (Row, error) { return b.Table.Get(ctx, key) }

// Scan calls Table.Scan.
func (b *Batcher) Scan(ctx context.Context, prefix string, since uint64, limit int) ([]Row, error) {
	return b.Table.Scan(ctx, prefix, since, limit)
}

// Commit commits the writes, possibly in a batch with other commits. If ctx ends
// before the commit is sent the error is ErrUnavailable, after that it is
// ErrOutcomeUnknown.
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

// withdraw removes e from the queue and reports whether it was still in the queue.
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

// flush commits batches until the queue is empty.
func (b *Batcher) flush() {
	for {
		batch := b.nextBatch()
		if len(batch) == 0 {
			return
		}
		b.commitBatch(batch)
		for _, e := range batch {
			close(e.done)
		}
	}
}

// nextBatch takes the next batch from the queue. It has up to MaxRows rows and no row
// twice, since the second write of a row needs the version of the first.
func (b *Batcher) nextBatch() []*pendingCommit {
	b.mu.Lock()
	defer b.mu.Unlock()
	var batch, remaining []*pendingCommit
	l := batchSize{rows: map[string]bool{}}
	for _, e := range b.queue {
		if len(batch) > 0 && !b.fits(l, e) {
			remaining = append(remaining, e)
			continue
		}
		l.add(e)
		e.started = true
		batch = append(batch, e)
	}
	b.queue = remaining
	b.flushing = len(batch) > 0
	return batch
}

// batchSize is the content of a batch so far: its row keys and bytes.
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

func (b *Batcher) commitBatch(batch []*pendingCommit) {
	var writes []Write
	for _, e := range batch {
		writes = append(writes, e.writes...)
	}
	b.Meters.GetOrCreateCounter("fulmarwick_table_commits_total").Inc()
	b.Meters.GetOrCreateCounter("fulmarwick_table_rows_total").Add(len(writes))
	version, err := b.Table.Commit(context.Background(), writes)
	if len(batch) > 1 && errors.Is(err, ErrConflict) {
		half := len(batch) / 2
		b.commitBatch(batch[:half])
		b.commitBatch(batch[half:])
		return
	}
	for _, e := range batch {
		e.version, e.err = version, err
	}
}
