package config

import (
	"context"
	"sync"
	"time"

	"fulmarwick/internal/state/store"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
)

const (
	defaultPollInterval = 5 * time.Second
	// behindPollInterval is the time between polls while the table does not yet
	// return a head that other instances announced.
	behindPollInterval = 500 * time.Millisecond
	// maxHintJitter spreads the reads of a fleet whose instances all receive a new
	// head at about the same time.
	maxHintJitter = 500 * time.Millisecond
	rowsPerPage   = 500
)

// Table is the part of the platform's table that followers read.
type Table interface {
	Get(ctx context.Context, key string) (store.Row, error)
	Scan(ctx context.Context, prefix string, since uint64, limit int) ([]store.Row, error)
}

// Peers fetches encoded snapshots from other instances.
type Peers interface {
	Snapshots(ctx context.Context) ([][]byte, error)
}

// Follower keeps an Active up to date. Set the exported fields before use.
//
// It makes one read per PollInterval, and reads one or more pages after a change.
// The active version only increases: lower heads, inconsistent rows and snapshots of
// outdated peers are ignored.
type Follower struct {
	Table  Table
	Active *Active
	// Peers provides snapshots while the table is unavailable and this instance has
	// no configuration or an outdated one. Nil means no peers.
	Peers Peers
	// OnChange is called with each snapshot after it becomes active.
	OnChange func(*Snapshot)
	// OnError is called with the errors of Run; nil means that they are ignored.
	OnError func(error)
	// PollInterval is the time between reads of the head; zero means 5 s.
	PollInterval time.Duration
	// Jitter returns a factor around 1 for wait times; nil means always 1.
	Jitter func() float64
	// Meters is the metrics set to register in; nil means a private set.
	Meters *metrics.Set

	once   sync.Once
	wake   chan struct{}
	pollMu sync.Mutex

	mu          sync.Mutex
	state       *state
	highestSeen uint64
	// activateMu makes the calls of OnChange follow the order of versions.
	activateMu sync.Mutex
}

// Run polls the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.once.Do(f.setDefaults)
	for {
		if err := f.Poll(ctx); err != nil && f.OnError != nil {
			f.OnError(err)
		}
		if !f.sleep(ctx, f.pollDelay(), f.wake) {
			return
		}
	}
}

// sleep waits for d, or until wake and then a jittered delay. It returns false if
// ctx ended.
func (f *Follower) sleep(ctx context.Context, d time.Duration, wake <-chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	case <-wake:
		return f.sleep(ctx, time.Duration(float64(maxHintJitter)*f.Jitter()), nil)
	}
}

// NotifyVersion reports that another instance has this version. If it is new, the
// table is polled soon. The delay is jittered, since all instances receive the version
// at about the same time.
func (f *Follower) NotifyVersion(version uint64) {
	f.once.Do(f.setDefaults)
	f.mu.Lock()
	isNew := version > f.highestSeen
	f.highestSeen = max(f.highestSeen, version)
	f.mu.Unlock()
	if !isNew || version <= f.Version() {
		return
	}
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Version returns the version that is active on this instance, or zero if there is
// none.
func (f *Follower) Version() uint64 { return f.currentState().head.Version }

// Ready reports whether the configuration that is active on this instance is as new
// as any version it has seen in the table or received from a peer. An instance that
// has reached neither the table nor a peer is not ready.
func (f *Follower) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state != nil && f.state.head.Version >= f.highestSeen
}

// Poll reads the head once, and reads and activates the changes if it is newer.
func (f *Follower) Poll(ctx context.Context) error {
	f.once.Do(f.setDefaults)
	f.pollMu.Lock()
	defer f.pollMu.Unlock()
	row, err := f.Table.Get(ctx, headKey)
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	if err != nil {
		return f.fetchFromPeers(ctx, errors.Wrap(ErrStoreUnavailable, err.Error()))
	}
	h, err := decodeHead(row.Value())
	if err != nil {
		return err
	}
	if h.Version <= f.Version() {
		return nil
	}
	return f.fetch(ctx)
}

// fetch reads the rows after the last known version. If the result is inconsistent it
// reads all rows.
func (f *Follower) fetch(ctx context.Context) error {
	next := f.currentState().clone()
	if err := f.readRows(ctx, next); err != nil {
		return err
	}
	if !next.isConsistent() {
		f.Meters.GetOrCreateCounter("fulmarwick_config_mixtures_total").Inc()
		next = newState()
		if err := f.readRows(ctx, next); err != nil {
			return err
		}
	}
	if !next.isConsistent() {
		return errors.Wrap(ErrBadRows, "the table's rows do not match its head")
	}
	f.activate(next)
	return nil
}

func (f *Follower) readRows(ctx context.Context, into *state) error {
	var bad error
	err := store.ScanAll(ctx, f.Table, rowPrefix, into.maxVersion, rowsPerPage, func(r store.Row) {
		if err := into.put(r); err != nil {
			bad = err
		}
	})
	if err != nil {
		return errors.Wrap(ErrStoreUnavailable, err.Error())
	}
	return bad
}

// activate makes next the active state unless the active version is at least as high.
func (f *Follower) activate(next *state) {
	f.activateMu.Lock()
	defer f.activateMu.Unlock()
	if f.Version() >= next.head.Version {
		return
	}
	f.mu.Lock()
	f.state = next
	f.mu.Unlock()
	s := next.snapshot()
	if f.Active.SetIfNewer(s) && f.OnChange != nil {
		f.OnChange(s)
	}
}

func (f *Follower) currentState() *state {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state == nil {
		return newState()
	}
	return f.state
}

func (f *Follower) pollDelay() time.Duration {
	d := f.PollInterval
	if f.isBehind() {
		d = min(d, behindPollInterval)
	}
	return time.Duration(float64(d) * f.Jitter())
}

// isBehind reports whether there is no active version or a newer one is known to exist.
func (f *Follower) isBehind() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state == nil || f.state.head.Version < f.highestSeen
}

func (f *Follower) setDefaults() {
	f.wake = make(chan struct{}, 1)
	if f.Meters == nil {
		f.Meters = metrics.NewSet()
	}
	f.Meters.GetOrCreateGauge("fulmarwick_config_version", func() float64 { return float64(f.Version()) })
	if f.PollInterval == 0 {
		f.PollInterval = defaultPollInterval
	}
	if f.Jitter == nil {
		f.Jitter = func() float64 { return 1 }
	}
}
