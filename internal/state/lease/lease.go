// Package lease assigns each duty to at most one instance at a time, with leases
// in rows of the table.
//
// It imports state/store. The daemon keeps a Lease for each duty that its instance
// may run; package order checks the lease before each order.
//
// Leases use no wall clock and never compare two clocks. A holder measures the
// lease duration from before the commit that renewed the lease. A contender
// measures a whole lease duration from after a read of the row, on its own
// monotonic clock, and takes over only if the row has not changed since. The
// holder's commit comes before the contender's read, so the holder's lease
// expires first, as long as both clocks run at about the same rate.
//
// A table that was restored from an older copy says nothing about who holds the
// lease. For one lease duration only the holder may write the row, and takes a
// new fencing token: tokens carry the table's era, so that they rise across
// restores.
package lease

import (
	"context"
	"fmt"
	"sync"
	"time"

	"fulmarwick/internal/state/store"

	"github.com/VictoriaMetrics/metrics"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// Errors of this package.
var (
	// ErrNotHeld means that the lease is not held, or expires too soon.
	ErrNotHeld = errors.New("lease: not held")
	// ErrStoreUnavailable means that the table could not be read or written.
	ErrStoreUnavailable = errors.New("lease: table unavailable")
)

const (
	defaultDuration = 15 * time.Second
	defaultMargin   = 4 * time.Second
	// driftDivisor sets how much longer than a lease duration a contender waits: a
	// tenth of it, for clocks whose rates differ by up to 10%.
	driftDivisor = 10
	// renewalsPerLease is how often a holder renews within a lease duration.
	renewalsPerLease = 3
)

// Table is the part of the platform's table that leases need. A table with eras returns, together with
// store.ErrNotFound, the version of a missing row in the current era.
type Table interface {
	Get(ctx context.Context, key string) (store.Row, error)
	Commit(ctx context.Context, writes []store.Write) (uint64, error)
}

// Lease holds or contends for one lease on behalf of this instance. Set the
// exported fields before use. RenewOrAcquire must be called by one goroutine only;
// the other methods are safe for concurrent use.
type Lease struct {
	Table Table
	// Duty is the name of the duty; the key of the row is "lease/" and the name.
	Duty string
	// Owner is the name of this incarnation; a restarted process is another owner.
	Owner string
	// Duration is the lease duration, the same on all instances; zero means 15 s.
	Duration time.Duration
	// Margin is the time that must be left on the lease to start an operation. An
	// operation must end within half of it. Zero means 4 s.
	Margin time.Duration
	// Now is the monotonic clock; nil means time.Now.
	Now func() time.Time
	// Jitter returns a factor around 1 for wait times; nil means always 1.
	Jitter func() float64
	// Meters is the metrics set to register in; nil means no metrics.
	Meters *metrics.Set

	mu       sync.Mutex
	holding  holdState
	observed observation
	// era is the latest era of the table that is known, eraKnown whether any is. restoredAt is when
	// a later one was first seen.
	era        uint64
	eraKnown   bool
	restoredAt time.Time
	// storeFailedAt is when the table was last unavailable.
	storeFailedAt time.Time
}

// row is the content of a lease's row. Seq changes with each renewal.
type row struct {
	Owner    string `cbor:"1,keyasint"`
	Fence    uint64 `cbor:"2,keyasint"`
	Seq      uint64 `cbor:"3,keyasint"`
	Released bool   `cbor:"4,keyasint,omitempty"`
}

// holdState is the holder's state of the lease.
type holdState struct {
	held      bool
	row       row
	version   uint64
	expiresAt time.Time
	heldSince time.Time
}

// observation is the row version that a contender waits on, and when it was first
// seen.
type observation struct {
	version   uint64
	firstSeen time.Time
}

// Guard checks that the lease is held with enough time left for an operation. It
// returns the fencing token for the operation and a context that expires well
// before the lease does. Call Guard right before each operation, since a process
// may be paused anywhere.
//
// A pause between Guard and the operation itself cannot be excluded. Upstreams
// that check the fencing token reject such an operation. For the other upstreams
// package order sends the desired state again until the upstream reports it.
func (l *Lease) Guard(ctx context.Context) (context.Context, context.CancelFunc, uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.holding.held || l.holding.expiresAt.Sub(l.now()) <= l.margin() {
		return nil, nil, 0, ErrNotHeld
	}
	ctx, cancel := context.WithTimeout(ctx, l.margin()/2)
	return ctx, cancel, l.holding.row.Fence, nil
}

// Held reports whether the lease is held with time left for an operation.
func (l *Lease) Held() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holding.held && l.holding.expiresAt.Sub(l.now()) > l.margin()
}

// LastFence returns the fencing token while the lease is held with time left for an
// operation, and afterwards for as long as the table is unavailable and nothing else
// is known about the lease. Another instance may hold the lease by then. LastFence
// may therefore be used only for operations of which receivers accept one of two
// conflicting ones.
func (l *Lease) LastFence() (fence uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	inTime, isUnavailable := l.holding.expiresAt.Sub(now) > l.margin(), now.Sub(l.storeFailedAt) < 2*l.duration()/renewalsPerLease
	return l.holding.row.Fence, l.holding.held && (inTime || isUnavailable)
}

// HeldFor returns how long the lease has been held, or zero if it is not held.
func (l *Lease) HeldFor() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.holding.held {
		return 0
	}
	return l.now().Sub(l.holding.heldSince)
}

// Fence returns the fencing token of the lease, or zero if it is not held.
func (l *Lease) Fence() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.holding.held {
		return 0
	}
	return l.holding.row.Fence
}

// Run acquires and renews the lease until ctx ends, then releases it. In every
// third of the lease duration it costs the holder one write and each contender one
// read.
func (l *Lease) Run(ctx context.Context) {
	if l.Meters != nil {
		name := fmt.Sprintf(`fulmarwick_lease_number{duty=%q}`, l.Duty)
		l.Meters.GetOrCreateGauge(name, func() float64 { return float64(l.Fence()) })
	}
	for {
		_ = l.RenewOrAcquire(ctx)
		timer := time.NewTimer(l.renewDelay())
		select {
		case <-ctx.Done():
			timer.Stop()
			l.Release(context.WithoutCancel(ctx))
			return
		case <-timer.C:
		}
	}
}

func (l *Lease) renewDelay() time.Duration {
	d := float64(l.duration() / renewalsPerLease)
	if l.Jitter != nil {
		d *= l.Jitter()
	}
	return time.Duration(d)
}

// Release releases the lease, so that another instance need not wait until it
// expires. From the start of Release no operation is allowed, even if the commit
// fails.
func (l *Lease) Release(ctx context.Context) {
	l.mu.Lock()
	h := l.holding
	l.holding = holdState{}
	l.observed = observation{}
	l.mu.Unlock()
	if !h.held {
		return
	}
	h.row.Released = true
	h.row.Seq++
	_, _ = l.Table.Commit(ctx, []store.Write{store.Put(l.key(), h.version, encode(h.row))})
}

func (l *Lease) key() string { return "lease/" + l.Duty }

func (l *Lease) now() time.Time {
	if l.Now == nil {
		return time.Now()
	}
	return l.Now()
}

func (l *Lease) duration() time.Duration {
	if l.Duration == 0 {
		return defaultDuration
	}
	return l.Duration
}

func (l *Lease) margin() time.Duration {
	if l.Margin == 0 {
		return defaultMargin
	}
	return l.Margin
}

func encode(r row) []byte {
	data, err := cbor.Marshal(r)
	if err != nil {
		// Encoding cannot fail for any field of row.
		panic(err)
	}
	return data
}
