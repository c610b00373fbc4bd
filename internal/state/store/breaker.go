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
	// maxSlowStartCalls is how many calls at once end the slow start.
	maxSlowStartCalls = 64
)

// Breaker is a Table that stops calling one that fails. Set the exported
// fields before use.
//
// While it is open every call fails at once with ErrDown, which is true: it
// had no effect. Without it each caller would wait out a timeout, and a table
// that comes back would meet all waiting retries of the fleet at once. After a
// jittered pause, longer each time, one call tries; after its success the calls
// allowed at once double with each further success.
type Breaker struct {
	Table Table
	// MaxFailures is how many failures in a row open it; zero is 5.
	MaxFailures int
	// MinBackoff and Most bound the pause before a try; zero are 0.5 s and 10 s.
	MinBackoff, MaxBackoff time.Duration
	// Rand jitters the pause, by a half either way; nil does not.
	Rand *rand.Rand
	// Now is the clock; nil is time.Now.
	Now func() time.Time
	// Meters takes the metrics; nil makes a private set.
	Meters *metrics.Set

	once      sync.Once
	mu        sync.Mutex
	failures  int
	openings  int
	openUntil time.Time
	// maxInFlight is how many calls may be on their way; zero is any number.
	maxInFlight int
	inFlight    int
}

// Get is Table's.
func (b *Breaker) Get(ctx context.Context, key string) (Row, error) {
	if err := b.beginCall(); err != nil {
		return Row{}, err
	}
	row, err := b.Table.Get(ctx, key)
	b.endCall(ctx, err)
	return row, err
}

// Scan is Table's.
func (b *Breaker) Scan(ctx context.Context, prefix string, since uint64, limit int) ([]Row, error) {
	if err := b.beginCall(); err != nil {
		return nil, err
	}
	rows, err := b.Table.Scan(ctx, prefix, since, limit)
	b.endCall(ctx, err)
	return rows, err
}

// Commit is Table's.
func (b *Breaker) Commit(ctx context.Context, writes []Write) (uint64, error) {
	if err := b.beginCall(); err != nil {
		return 0, err
	}
	version, err := b.Table.Commit(ctx, writes)
	b.endCall(ctx, err)
	return version, err
}

// IsOpen reports whether calls are refused because the table failed.
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

// recordFailure opens the breaker, or keeps it open for longer after a failed try. A
// failure that began before it opened does not count again.
func (b *Breaker) recordFailure() {
	b.failures++
	most := b.MaxFailures
	if most == 0 {
		most = defaultMaxFailures
	}
	now := b.now()
	if b.openings == 0 && b.failures < most || b.openings > 0 && now.Before(b.openUntil) {
		return
	}
	b.openUntil = now.Add(b.nextBackoff())
	b.openings++
	b.maxInFlight = 1
}

func (b *Breaker) nextBackoff() time.Duration {
	first, most := b.MinBackoff, b.MaxBackoff
	if first == 0 {
		first = defaultMinBackoff
	}
	if most == 0 {
		most = defaultMaxBackoff
	}
	d := min(most, first<<min(b.openings, 16))
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
