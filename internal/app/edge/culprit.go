package edge

import (
	"context"
	"strconv"
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
	// culpritTableName is the table with a row for each request that is quarantined or known to
	// crash upstreams, under its fingerprint. Instances read it when they start: if all start
	// at once, no other one can tell them. Trials are counted there, since a count must hold
	// for all instances, also those that start or are cut off.
	culpritTableName = "culprits"
	// maxPendingCulprits is how many changes of rows may wait to be written.
	maxPendingCulprits = 64
	// maxCulpritRemovals is how many rows are removed at once: a call to the store changes
	// a hundred at most.
	maxCulpritRemovals = 100
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

// grantsTrial reports whether one more trial may be granted.
func (row culpritRow) grantsTrial(now time.Time) bool {
	since := time.Duration(now.UnixMilli()-row.LastTrialMs) * time.Millisecond
	// A trial in the future was written by an instance whose clock is ahead.
	isTooSoon := since >= 0 && since < crash.TrialInterval
	return row.IsQuarantine && row.Trials < crash.MaxTrials && !isTooSoon
}

// event returns what the row says of a request.
func (row culpritRow) event(fingerprint uint64, now time.Time) crash.Event {
	e := crash.Event{Fingerprint: fingerprint, Kind: crash.EventVerdict, AgeMs: max(0, now.UnixMilli()-row.FoundMs)}
	if row.IsQuarantine && row.Trials < crash.MaxTrials {
		e.Kind = crash.EventQuarantine
	}
	return e
}

// culpritChange is a change of the standing of a request.
type culpritChange struct {
	fingerprint uint64
	standing    crash.Standing
}

// culpritTable keeps the requests that are quarantined or known to crash upstreams in the store.
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
func (c *culpritTable) add(fingerprint uint64, standing crash.Standing) {
	select {
	case c.pending <- culpritChange{fingerprint: fingerprint, standing: standing}:
	default:
		c.log.Warn("edge: too many requests that crash upstreams, one not stored", zap.String("fingerprint", formatFingerprint(fingerprint)))
	}
}

// run reads the table once and writes what is added until ctx ends.
func (c *culpritTable) run(ctx context.Context) {
	c.retry(ctx, "read requests that crash upstreams", c.load)
	for {
		select {
		case <-ctx.Done():
			return
		case change := <-c.pending:
			found := time.Now()
			c.retry(ctx, "store a request that crashes upstreams", func(ctx context.Context) error { return c.write(ctx, change, found) })
		}
	}
}

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
				expired = append(expired, store.Remove(culpritKey(event.Fingerprint), r.Version))
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

// decodeCulprit returns what a row says of a request.
func decodeCulprit(r feed.Row, now time.Time) (crash.Event, error) {
	row, err := parseCulpritRow(r.Value)
	if err != nil {
		return crash.Event{}, err
	}
	fingerprint, err := strconv.ParseUint(r.Key, 16, 64)
	if err != nil {
		return crash.Event{}, errors.Wrapf(err, "edge: fingerprint %q", r.Key)
	}
	return row.event(fingerprint, now), nil
}

// get returns the row of a request and its version, zero if there is none that counts.
func (c *culpritTable) get(ctx context.Context, fingerprint uint64) (row culpritRow, version uint64, err error) {
	stored, err := c.store.Get(ctx, culpritKey(fingerprint))
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

// put writes the row of a request if its version is unchanged.
func (c *culpritTable) put(ctx context.Context, fingerprint uint64, version uint64, row culpritRow) error {
	data, err := cbor.Marshal(row)
	if err != nil {
		return errors.Wrap(err, "edge: encode culprit row")
	}
	_, err = c.store.Commit(ctx, []store.Write{store.Put(culpritKey(fingerprint), version, data)})
	return err
}

// write writes a change into the row of a request. A row only becomes stricter, unless a
// quarantined request is cleared; on a conflict, another instance writes the same.
func (c *culpritTable) write(ctx context.Context, change culpritChange, found time.Time) error {
	row, version, err := c.get(ctx, change.fingerprint)
	if err != nil {
		return err
	}
	isQuarantine, isClearance := change.standing == crash.StandingQuarantined, change.standing == crash.StandingFree
	isVerdictKnown := row.FoundMs != 0 && !row.IsQuarantine
	switch {
	case isVerdictKnown, isClearance && version == 0, isQuarantine && row.FoundMs != 0:
		return nil
	case isClearance:
		_, err = c.store.Commit(ctx, []store.Write{store.Remove(culpritKey(change.fingerprint), version)})
	default:
		err = c.put(ctx, change.fingerprint, version, culpritRow{FoundMs: found.UnixMilli(), IsQuarantine: isQuarantine, Trials: row.Trials, LastTrialMs: row.LastTrialMs})
	}
	if errors.Is(err, store.ErrConflict) && isQuarantine {
		return nil
	}
	return err
}

// takeTrial reports whether this instance may send a quarantined request once. The store counts
// the trials of all instances.
func (c *culpritTable) takeTrial(ctx context.Context, fingerprint uint64) bool {
	// A trial that is granted as the caller leaves serves the next copy of the request.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), trialTimeout)
	defer cancel()
	row, version, err := c.get(ctx, fingerprint)
	now := time.Now()
	if row.FoundMs == 0 {
		row = culpritRow{FoundMs: now.UnixMilli(), IsQuarantine: true}
	}
	granted := err == nil && row.grantsTrial(now)
	if granted {
		row.Trials, row.LastTrialMs = row.Trials+1, now.UnixMilli()
		err = c.put(ctx, fingerprint, version, row)
		granted = err == nil
	} else if err == nil {
		// Another instance may have reached a verdict, or all trials are used up.
		c.router.applyPeerCrashes([]crash.Event{row.event(fingerprint, now)})
	}
	c.log.Info("edge: trial of a request under which upstreams ended", zap.String("fingerprint", formatFingerprint(fingerprint)),
		zap.Bool("granted", granted), zap.Int("trials", row.Trials), zap.Error(err))
	return granted
}

func culpritKey(fingerprint uint64) string {
	return culpritTableName + "/" + formatFingerprint(fingerprint)
}

func formatFingerprint(fingerprint uint64) string { return strconv.FormatUint(fingerprint, 16) }

func formatFingerprints(fingerprints []uint64) (out []string) {
	for _, f := range fingerprints {
		out = append(out, formatFingerprint(f))
	}
	return out
}
