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
	defaultFails = 5
	defaultFirst = 500 * time.Millisecond
	defaultMost  = 10 * time.Second
	// fullFlow is how many calls at once end the slow start.
	fullFlow = 64
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
	// Fails is how many failures in a row open it; zero is 5.
	Fails int
	// First and Most bound the pause before a try; zero are 0.5 s and 10 s.
	First, Most time.Duration
	// Rand jitters the pause, by a half either way; nil does not.
	Rand *rand.Rand
	// Now is the clock; nil is time.Now.
	Now func() time.Time
	// Meters takes the metrics; nil makes a private set.
	Meters *metrics.Set

	once   sync.Once
	mu     sync.Mutex
	fails  int
	opened int
	until  time.Time
	// flow is how many calls may be on their way; zero is any number.
	flow   int
	flying int
}

// Get is Table's.
func (b *Breaker) Get(ctx context.Context, key string) (Row, error) {
	if err := b.enter(); err != nil {
		return Row{}, err
	}
	row, err := b.Table.Get(ctx, key)
	b.leave(ctx, err)
	return row, err
}

// Scan is Table's.
func (b *Breaker) Scan(ctx context.Context, prefix string, since uint64, limit int) ([]Row, error) {
	if err := b.enter(); err != nil {
		return nil, err
	}
	rows, err := b.Table.Scan(ctx, prefix, since, limit)
	b.leave(ctx, err)
	return rows, err
}

// Commit is Table's.
func (b *Breaker) Commit(ctx context.Context, writes []Write) (uint64, error) {
	if err := b.enter(); err != nil {
		return 0, err
	}
	version, err := b.Table.Commit(ctx, writes)
	b.leave(ctx, err)
	return version, err
}

// Open reports whether calls are refused because the table failed.
func (b *Breaker) Open() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.opened > 0
}

func (b *Breaker) start() {
	if b.Meters == nil {
		b.Meters = metrics.NewSet()
	}
	b.Meters.GetOrCreateGauge("fulmarwick_table_open", func() float64 {
		if b.Open() {
			return 1
		}
		return 0
	})
}

func (b *Breaker) enter() error {
	b.once.Do(b.start)
	err := b.admit()
	if err != nil {
		b.Meters.GetOrCreateCounter("fulmarwick_table_refused_total").Inc()
	}
	return err
}

func (b *Breaker) admit() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.opened > 0 && b.now().Before(b.until) {
		return errors.Wrap(ErrDown, "breaker is open")
	}
	if b.flow > 0 && b.flying >= b.flow {
		return errors.Wrap(ErrDown, "table is recovering")
	}
	b.flying++
	return nil
}

func (b *Breaker) leave(ctx context.Context, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.flying--
	failed := errors.Is(err, ErrDown) || errors.Is(err, ErrUnsure)
	if failed {
		b.Meters.GetOrCreateCounter("fulmarwick_table_failures_total").Inc()
	}
	switch {
	case !failed:
		b.worked()
	case ctx.Err() == nil:
		b.failed()
	}
}

func (b *Breaker) worked() {
	b.fails, b.opened = 0, 0
	if b.flow == 0 {
		return
	}
	b.flow *= 2
	if b.flow > fullFlow {
		b.flow = 0
	}
}

// failed opens the breaker, or keeps it open for longer after a failed try. A
// failure that began before it opened does not count again.
func (b *Breaker) failed() {
	b.fails++
	most := b.Fails
	if most == 0 {
		most = defaultFails
	}
	now := b.now()
	if b.opened == 0 && b.fails < most || b.opened > 0 && now.Before(b.until) {
		return
	}
	b.until = now.Add(b.pause())
	b.opened++
	b.flow = 1
}

func (b *Breaker) pause() time.Duration {
	first, most := b.First, b.Most
	if first == 0 {
		first = defaultFirst
	}
	if most == 0 {
		most = defaultMost
	}
	d := min(most, first<<min(b.opened, 16))
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
