package edge

import (
	"context"
	"math/rand/v2"
	"time"

	"fulmarwick/internal/route/crash"
	"fulmarwick/internal/state/feed"
	"fulmarwick/internal/state/store"
	"fulmarwick/platform"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

const (
	// culpritTableName is the table with a row for each suspect that is quarantined or known to
	// crash upstreams, under its fingerprint. Instances read it when they start: if all start
	// at once, no other one can tell them. Trials are counted there, since a count must hold
	// for all instances, also those that start or are cut off.
	culpritTableName = "culprits"
	// maxPendingCulprits is how many changes of rows may wait to be written.
	maxPendingCulprits = 64
	// maxCulpritRemovals is how many rows are removed at once: a call to the store changes
	// a hundred at most.
	maxCulpritRemovals = 100
	// culpritSweepInterval is the shortest time between two reads of the table, which remove the
	// rows that no longer hold. Each instance waits up to twice as long, so that the instances
	// do not read it together.
	culpritSweepInterval = crash.RestrictionTTL
	// trialTimeout limits how long a request waits for the store to grant a trial.
	trialTimeout = 250 * time.Millisecond
)

// culpritRow is a row of the table.
type culpritRow struct {
	// FoundMs is when the restriction was found, in Unix milliseconds.
	FoundMs int64 `cbor:"1,keyasint"`
	// IsQuarantine means that the request is quarantined, not known to crash upstreams.
	IsQuarantine bool `cbor:"2,keyasint,omitempty"`
	// Trials is how many trials were granted, LastTrialMs when the last one was, in Unix
	// milliseconds.
	Trials      int   `cbor:"3,keyasint,omitempty"`
	LastTrialMs int64 `cbor:"4,keyasint,omitempty"`
}

// grantsTrial reports whether one more trial may be granted an interval after the last one.
func (row culpritRow) grantsTrial(now time.Time, interval time.Duration) bool {
	since := time.Duration(now.UnixMilli()-row.LastTrialMs) * time.Millisecond
	// A trial in the future was written by an instance whose clock is ahead.
	isTooSoon := since >= 0 && since < interval
	return row.IsQuarantine && row.Trials < crash.MaxTrials && !isTooSoon
}

// event returns what the row says of a suspect. After the last trial a request stays quarantined
// until its outcome is due. Of trials of a part some may have crashed upstreams for another part of
// their requests, so that it stays quarantined.
func (row culpritRow) event(key crash.Key, now time.Time) crash.Event {
	e := crash.Event{Fingerprint: key.Fingerprint, IsPart: key.IsPart, Kind: crash.EventVerdict, AgeMs: max(0, now.UnixMilli()-row.FoundMs)}
	sinceTrial := time.Duration(now.UnixMilli()-row.LastTrialMs) * time.Millisecond
	if row.IsQuarantine && (key.IsPart || !crash.AreTrialsOver(row.Trials, sinceTrial)) {
		e.Kind = crash.EventQuarantine
	}
	return e
}

// culpritChange is a change of the standing of a suspect.
type culpritChange struct {
	key      crash.Key
	standing crash.Standing
	// found is when the standing was reached.
	found time.Time
}

// culpritTable keeps the suspects that are quarantined or known to crash upstreams in the store.
type culpritTable struct {
	store  *platform.Store
	router *router
	log    *zap.Logger
	// pending holds the changes that are not written yet.
	pending chan culpritChange
}

func newCulpritTable(s *platform.Store, r *router, log *zap.Logger) *culpritTable {
	return &culpritTable{store: s, router: r, log: log, pending: make(chan culpritChange, maxPendingCulprits)}
}

// add queues a change to be written. It never blocks: without the row, an instance that starts
// learns of the request from the others.
func (c *culpritTable) add(key crash.Key, standing crash.Standing, found time.Time) {
	select {
	case c.pending <- culpritChange{key: key, standing: standing, found: found}:
	default:
		c.log.Warn("edge: too many requests that crash upstreams, one not stored", zap.Stringer("suspect", key))
	}
}

// run reads the table, now and seldom later, and writes what is added until ctx ends.
func (c *culpritTable) run(ctx context.Context) {
	c.retry(ctx, "read requests that crash upstreams", c.load)
	sweep := time.NewTimer(sweepDelay())
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-sweep.C:
			c.retry(ctx, "read requests that crash upstreams", c.load)
			sweep.Reset(sweepDelay())
		case change := <-c.pending:
			c.retry(ctx, "store a request that crashes upstreams", func(ctx context.Context) error { return c.write(ctx, change) })
		}
	}
}

// sweepDelay returns the time until the table is read again.
func sweepDelay() time.Duration { return culpritSweepInterval + rand.N(culpritSweepInterval) }

// retry calls a function until it succeeds or ctx ends.
func (c *culpritTable) retry(ctx context.Context, what string, call func(context.Context) error) {
	for ctx.Err() == nil {
		err := call(ctx)
		if err == nil {
			return
		}
		c.log.Info("edge: cannot "+what, zap.Error(err))
		feed.Sleep(ctx, storeRetryDelay)
	}
}

// load reads the table and removes rows that are too old.
func (c *culpritTable) load(ctx context.Context) error {
	page, err := c.store.ReadTable(ctx, culpritTableName)
	if err != nil {
		return err
	}
	var expired []store.Write
	for _, r := range page.Rows {
		event, err := decodeCulprit(r, time.Now())
		if err != nil {
			c.log.Warn("edge: malformed row skipped", zap.String("table", culpritTableName), zap.String("row", r.Key), zap.Error(err))
			continue
		}
		if time.Duration(event.AgeMs)*time.Millisecond > crash.RestrictionTTL {
			if len(expired) < maxCulpritRemovals {
				expired = append(expired, store.Remove(culpritTableName+"/"+r.Key, uint64(r.Version)))
			}
			continue
		}
		c.router.applyPeerCrashes([]crash.Event{event})
	}
	if len(expired) == 0 {
		return nil
	}
	// Another instance may remove them at the same moment.
	if _, err := c.store.Commit(ctx, expired); err != nil && !errors.Is(err, store.ErrConflict) {
		return err
	}
	return nil
}

func parseCulpritRow(data []byte) (culpritRow, error) {
	var row culpritRow
	if err := cbor.Unmarshal(data, &row); err != nil {
		return culpritRow{}, errors.Wrap(err, "edge: decode culprit row")
	}
	return row, nil
}

// decodeCulprit returns what a row says of a suspect.
func decodeCulprit(r feed.Row, now time.Time) (crash.Event, error) {
	row, err := parseCulpritRow(r.Value)
	if err != nil {
		return crash.Event{}, err
	}
	key, err := crash.ParseKey(r.Key)
	if err != nil {
		return crash.Event{}, errors.Wrap(err, "edge: key of a culprit row")
	}
	return row.event(key, now), nil
}

// get returns the row of a suspect and its version, zero if there is none that counts.
func (c *culpritTable) get(ctx context.Context, key crash.Key) (row culpritRow, version uint64, err error) {
	stored, err := c.store.Get(ctx, culpritKey(key))
	if errors.Is(err, store.ErrNotFound) {
		return culpritRow{}, 0, nil
	}
	if err != nil {
		return culpritRow{}, 0, err
	}
	if row, err = parseCulpritRow(stored.Value()); err != nil {
		return culpritRow{}, 0, err
	}
	if time.Since(time.UnixMilli(row.FoundMs)) > crash.RestrictionTTL {
		row = culpritRow{}
	}
	return row, stored.Version(), nil
}

// putRow returns the write of the row of a suspect, if its version is unchanged.
func putRow(key crash.Key, version uint64, row culpritRow) (store.Write, error) {
	data, err := cbor.Marshal(row)
	if err != nil {
		return store.Write{}, errors.Wrap(err, "edge: encode culprit row")
	}
	return store.Put(culpritKey(key), version, data), nil
}

// write writes a change into the row of a suspect. A row only becomes stricter, unless a
// quarantined suspect is cleared; on a conflict, another instance writes the same.
func (c *culpritTable) write(ctx context.Context, change culpritChange) error {
	row, version, err := c.get(ctx, change.key)
	if err != nil {
		return err
	}
	isQuarantine, isClearance := change.standing == crash.StandingQuarantined, change.standing == crash.StandingFree
	isVerdictKnown := row.FoundMs != 0 && !row.IsQuarantine
	var w store.Write
	switch {
	case isVerdictKnown, isClearance && version == 0, isQuarantine && row.FoundMs != 0:
		return nil
	case isClearance:
		w = store.Remove(culpritKey(change.key), version)
	default:
		w, err = putRow(change.key, version, culpritRow{FoundMs: change.found.UnixMilli(), IsQuarantine: isQuarantine, Trials: row.Trials, LastTrialMs: row.LastTrialMs})
		if err != nil {
			return err
		}
	}
	_, err = c.store.Commit(ctx, []store.Write{w})
	if errors.Is(err, store.ErrConflict) && isQuarantine {
		return nil
	}
	return err
}

// takeTrials reports whether this instance may send a request with these quarantined suspects once.
// The store counts the trials of all instances, for each suspect.
func (c *culpritTable) takeTrials(ctx context.Context, suspects []crash.Key) bool {
	// A trial that is granted as the caller leaves serves the next copy of the request.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), trialTimeout)
	defer cancel()
	writes, err := c.prepareTrials(ctx, suspects)
	granted := err == nil && len(writes) > 0
	if granted {
		_, err = c.store.Commit(ctx, writes)
		granted = err == nil
	}
	c.log.Info("edge: trial of a request under which upstreams ended", zap.Stringers("suspects", suspects), zap.Bool("granted", granted), zap.Error(err))
	return granted
}

// prepareTrials returns the writes that count a trial of each suspect, or none if a trial of one of
// them is not granted.
func (c *culpritTable) prepareTrials(ctx context.Context, suspects []crash.Key) (writes []store.Write, err error) {
	now, interval := time.Now(), crash.TrialInterval
	if len(suspects) > 1 {
		interval = crash.JointTrialInterval
	}
	for _, key := range suspects {
		row, version, err := c.get(ctx, key)
		if err != nil {
			return nil, err
		}
		if row.FoundMs == 0 {
			row = culpritRow{FoundMs: now.UnixMilli(), IsQuarantine: true}
		}
		if c.router.hasExpiredTrial(key) {
			// A trial that did not begin, since there was no room for it, does not count.
			row.Trials = max(0, row.Trials-1)
		}
		if !row.grantsTrial(now, interval) {
			// Another instance may have reached a verdict, or all trials are used up.
			c.router.applyPeerCrashes([]crash.Event{row.event(key, now)})
			return nil, nil
		}
		row.Trials, row.LastTrialMs = row.Trials+1, now.UnixMilli()
		w, err := putRow(key, version, row)
		if err != nil {
			return nil, err
		}
		writes = append(writes, w)
	}
	return writes, nil
}

func culpritKey(key crash.Key) string { return culpritTableName + "/" + key.String() }
