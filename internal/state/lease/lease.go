// Package lease gives duties to one instance at a time, by rows of the table.
//
// It imports state/store. The daemon keeps a Lease for each duty that falls to
// its instance; package order checks it before each order.
//
// No wall clock is trusted and no two clocks are compared. A holder counts its
// time from before the commit that renewed the lease; a contender counts a
// whole lease time from after a read that showed the row, on its own monotonic
// clock, and takes over only if the row has not changed since. What the holder
// did before the contender saw it, so the holder's time ends first, as long as
// their clocks run at about the same rate.
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
	// ErrNotHeld means that the lease is not held, or not for long enough.
	ErrNotHeld = errors.New("lease: not held")
	// ErrStoreUnavailable means that the table could not be read or written.
	ErrStoreUnavailable = errors.New("lease: table out of reach")
)

const (
	defaultDuration = 15 * time.Second
	defaultMargin   = 4 * time.Second
	// driftDivisor is the part of a lease time that a contender waits longer, for
	// clocks that run at rates up to 10% apart.
	driftDivisor = 10
	// renewalsPerLease is how often a holder renews in a lease time.
	renewalsPerLease = 3
)

// Table is the part of the platform's table that leases need.
type Table interface {
	Get(ctx context.Context, key string) (store.Row, error)
	Commit(ctx context.Context, writes []store.Write) (uint64, error)
}

// Lease is this instance's part in one lease. Set the exported fields before
// use. Step is called by one goroutine, the rest by any.
type Lease struct {
	Table Table
	// Duty names the duty; the row is "lease/" and the name.
	Duty string
	// Owner names this incarnation; a restarted process is another owner.
	Owner string
	// Duration is the lease time, the same on all instances; zero is 15 s.
	Duration time.Duration
	// Margin is how much time must be left to begin an act, and an act ends
	// within half of it; zero is 4 s.
	Margin time.Duration
	// Now is the monotonic clock; nil is time.Now.
	Now func() time.Time
	// Jitter returns a factor around 1 for waits; nil is always 1.
	Jitter func() float64
	// Meters takes the metrics; nil takes none.
	Meters *metrics.Set

	mu       sync.Mutex
	holding  holdState
	observed observation
	// storeFailedAt is when the table was last found out of reach.
	storeFailedAt time.Time
}

// row is the row of a lease. Seq makes each renewal a change.
type row struct {
	Owner    string `cbor:"1,keyasint"`
	Fence    uint64 `cbor:"2,keyasint"`
	Seq      uint64 `cbor:"3,keyasint"`
	Released bool   `cbor:"4,keyasint,omitempty"`
}

// holdState is what the holder knows.
type holdState struct {
	held      bool
	row       row
	version   uint64
	expiresAt time.Time
	heldSince time.Time
}

// observation is the row that a contender waits on.
type observation struct {
	version   uint64
	firstSeen time.Time
}

// Guard says whether this instance may act now. It returns the fencing number
// to act under and a context that ends well before the lease does. Call it
// right before each act: a process may be paused anywhere.
//
// A pause between Guard and the act itself cannot be excluded; upstreams that
// check the number refuse such an act, and for the others package order
// repeats the desired state until the upstream reports it.
func (l *Lease) Guard(ctx context.Context) (context.Context, context.CancelFunc, uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.holding.held || l.holding.expiresAt.Sub(l.now()) <= l.margin() {
		return nil, nil, 0, ErrNotHeld
	}
	ctx, cancel := context.WithTimeout(ctx, l.margin()/2)
	return ctx, cancel, l.holding.row.Fence, nil
}

// Held reports whether the lease is held with time left to act.
func (l *Lease) Held() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holding.held && l.holding.expiresAt.Sub(l.now()) > l.margin()
}

// LastFence is the number of the lease while it is held with time left to act, and after
// that for as long as all that is known is that the table is out of reach: another
// instance may hold the lease by then. Acts under it must be such that their
// receivers take only one of two.
func (l *Lease) LastFence() (fence uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	inTime, isAway := l.holding.expiresAt.Sub(now) > l.margin(), now.Sub(l.storeFailedAt) < 2*l.duration()/renewalsPerLease
	return l.holding.row.Fence, l.holding.held && (inTime || isAway)
}

// HeldFor is how long the lease is held; zero if it is not.
func (l *Lease) HeldFor() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.holding.held {
		return 0
	}
	return l.now().Sub(l.holding.heldSince)
}

// Fence is the fencing number of the lease while it is held; zero if not.
func (l *Lease) Fence() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.holding.held {
		return 0
	}
	return l.holding.row.Fence
}

// Run contends for the lease and keeps it until ctx ends, then releases it.
// It costs one write every third of the lease time for the holder, and one
// read for each contender.
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

// Release gives the lease up, so that another instance need not wait for it
// to lapse. From its start no act is allowed, whether the commit works or not.
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
		// The row has no field that can fail to encode.
		panic(err)
	}
	return data
}
