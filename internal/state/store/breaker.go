package store

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
)

const (
	defaultMaxFailures = 5
	defaultMinBackoff  = 500 * time.Millisecond
	defaultMaxBackoff  = 10 * time.Second
	// maxSlowStartCalls is the number of concurrent calls above which the slow start
	// ends.
	maxSlowStartCalls = 64
)

// Breaker is a Table with a circuit breaker: it stops calls to a table that fails.
// Set the exported fields before use.
//
// While the breaker is open every call fails immediately with ErrUnavailable, and
// the call has no effect. Without the breaker each caller would wait for a timeout,
// and a recovering table would get all pending retries of the fleet at once. After
// a jittered backoff, which grows with each failure, one call is tried. When it
// succeeds, the number of concurrent calls that are allowed doubles with each
// further success.
type Breaker struct {
	Table Table
	// MaxFailures is the number of consecutive failures that open the breaker;
	// zero means 5.
	MaxFailures int
	// MinBackoff and MaxBackoff bound the backoff before a try; zero means 0.5 s
	// and 10 s.
	MinBackoff, MaxBackoff time.Duration
	// Rand jitters the backoff by up to half of it in either direction; nil means
	// no jitter.
	Rand *rand.Rand
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Meters is the metrics set to register in; nil means a private set.
	Meters *metrics.Set

	once      sync.Once
	mu        sync.Mutex
	failures  int
	openings  int
	openUntil time.Time
	// maxInFlight is the number of calls that may be in flight; zero means no limit.
	maxInFlight int
	inFlight    int
}

// Get calls Table.Get unless the breaker rejects the call.
func (b *Breaker) Get(ctx context.Context, key string) (Row, error) {
	if err := b.beginCall(); err != nil {
		return Row{}, err
	}
	row, err := b.Table.Get(ctx, key)
	b.endCall(ctx, err)
	return row, err
}

// Scan calls Table.Scan unless the breaker rejects the call.
func (b *Breaker) Scan(ctx context.Context, prefix string, since uint64, limit int) ([]Row, error) {
	if err := b.beginCall(); err != nil {
		return nil, err
	}
	rows, err := b.Table.Scan(ctx, prefix, since, limit)
	b.endCall(ctx, err)
	return rows, err
}

// Commit calls Table.Commit unless the breaker rejects the call.
func (b *Breaker) Commit(ctx context.Context, writes []Write) (uint64, error) {
	if err := b.beginCall(); err != nil {
		return 0, err
	}
	version, err := b.Table.Commit(ctx, writes)
	b.endCall(ctx, err)
	return version, err
}

// IsOpen reports whether the breaker is open because the table failed.
func (b *Breaker) IsOpen() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.openings > 0
}

func (b *Breaker) registerMetrics() {
	if b.Meters == nil {
		b.Meters = metrics.NewSet()
	}
	b.Meters.GetOrCreateGauge("fulmarwick_table_open", func() float64 {
		if b.IsOpen() {
			return 1
		}
		return 0
	})
}

func (b *Breaker) beginCall() error {
	b.once.Do(b.registerMetrics)
	err := b.admit()
	if err != nil {
		b.Meters.GetOrCreateCounter("fulmarwick_table_refused_total").Inc()
	}
	return err
}

func (b *Breaker) admit() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.openings > 0 && b.now().Before(b.openUntil) {
		return errors.Wrap(ErrUnavailable, "breaker is open")
	}
	if b.maxInFlight > 0 && b.inFlight >= b.maxInFlight {
		return errors.Wrap(ErrUnavailable, "table is recovering")
	}
	b.inFlight++
	return nil
}

func (b *Breaker) endCall(ctx context.Context, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight--
	failed := errors.Is(err, ErrUnavailable) || errors.Is(err, ErrOutcomeUnknown)
	if failed {
		b.Meters.GetOrCreateCounter("fulmarwick_table_failures_total").Inc()
	}
	switch {
	case !failed:
		b.recordSuccess()
	case ctx.Err() == nil:
		b.recordFailure()
	}
}

func (b *Breaker) recordSuccess() {
	b.failures, b.openings = 0, 0
	if b.maxInFlight == 0 {
		return
	}
	b.maxInFlight *= 2
	if b.maxInFlight > maxSlowStartCalls {
		b.maxInFlight = 0
	}
}

// recordFailure opens the breaker, or extends the backoff after a failed try. A failed
// call that started before the breaker opened does not extend the backoff.
func (b *Breaker) recordFailure() {
	b.failures++
	maxFailures := b.MaxFailures
	if maxFailures == 0 {
		maxFailures = defaultMaxFailures
	}
	now := b.now()
	if b.openings == 0 && b.failures < maxFailures || b.openings > 0 && now.Before(b.openUntil) {
		return
	}
	b.openUntil = now.Add(b.nextBackoff())
	b.openings++
	b.maxInFlight = 1
}

func (b *Breaker) nextBackoff() time.Duration {
	minBackoff, maxBackoff := b.MinBackoff, b.MaxBackoff
	if minBackoff == 0 {
		minBackoff = defaultMinBackoff
	}
	if maxBackoff == 0 {
		maxBackoff = defaultMaxBackoff
	}
	d := min(maxBackoff, minBackoff<<min(b.openings, 16))
	if b.Rand != nil {
		d = time.Duration(float64(d) * (0.5 + b.Rand.Float64()))
	}
	return d
}

func (b *Breaker) now() time.Time {
	if b.Now == nil {
		return time.Now()
	}
	return b.Now()
}
