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
	// behindPollInterval is the pause before a head that was heard of is looked for
	// again in a table that does not show it yet.
	behindPollInterval = 500 * time.Millisecond
	// maxHintJitter keeps a fleet that hears of a head at once from reading the
	// table in the same moment.
	maxHintJitter = 500 * time.Millisecond
	rowsPerPage   = 500
)

// Table is the part of the platform's table that followers read.
type Table interface {
	Get(ctx context.Context, key string) (store.Row, error)
	Scan(ctx context.Context, prefix string, since uint64, limit int) ([]store.Row, error)
}

// Peers gives encoded snapshots of other instances.
type Peers interface {
	Snapshots(ctx context.Context) ([][]byte, error)
}

// Follower keeps a Book up to date. Set the exported fields before use.
//
// It costs one read per Every, and one or more pages when something changed.
// The version in force only rises: heads that are lower, mixtures of changes
// and snapshots of old peers are dropped.
type Follower struct {
	Table  Table
	Active *Active
	// Peers is asked while the table is out and something is missing; nil asks
	// nobody.
	Peers Peers
	// OnChange is called with each snapshot after it is in force.
	OnChange func(*Snapshot)
	// OnError is called with what Run meets; nil drops it.
	OnError func(error)
	// PollInterval is the time between looks at the head; zero is 5 s.
	PollInterval time.Duration
	// Jitter returns a factor around 1 for waits; nil is always 1.
	Jitter func() float64
	// Meters takes the metrics; nil makes a private set.
	Meters *metrics.Set

	once   sync.Once
	wake   chan struct{}
	pollMu sync.Mutex

	mu          sync.Mutex
	state       *state
	highestSeen uint64
	// activateMu keeps OnChange in the order of versions.
	activateMu sync.Mutex
}

// Run follows until ctx ends.
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

// sleep waits for d, or for a hint and then a little more; it reports whether
// ctx goes on.
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

// NotifyVersion tells that version was seen in force somewhere. The table is looked at
// soon, with jitter, since all instances hear of it at about the same time.
func (f *Follower) NotifyVersion(version uint64) {
	f.once.Do(f.setDefaults)
	f.mu.Lock()
	news := version > f.highestSeen
	f.highestSeen = max(f.highestSeen, version)
	f.mu.Unlock()
	if !news || version <= f.Version() {
		return
	}
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Version is the version in force here; zero is none.
func (f *Follower) Version() uint64 { return f.currentState().head.Version }

// Ready reports whether a configuration is in force here that is as new as
// any that this instance has heard of, by the table or by a peer. An instance
// that reached neither is not ready.
func (f *Follower) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state != nil && f.state.head.Version >= f.highestSeen
}

// Poll looks at the head once and takes what changed.
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

// fetch reads the rows after the last known one and, if they do not fit
// together, all of them.
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

// activate puts a state in force unless one at least as high is.
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

// isBehind reports whether a newer version is known to exist, or none is known.
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
