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
	// culpritTableName is the table with a row for each request that is known to crash
	// upstreams, under its fingerprint. Instances read it when they start: if all start at
	// once, no other one can tell them.
	culpritTableName = "culprits"
	// maxPendingCulprits is how many rows may wait to be written.
	maxPendingCulprits = 64
	// maxCulpritRemovals is how many rows are removed at once: a call to the store changes
	// a hundred at most.
	maxCulpritRemovals = 100
)

// culpritRow is a row of the table.
type culpritRow struct {
	// FoundMs is when the request was found to crash upstreams, in Unix milliseconds.
	FoundMs int64 `cbor:"1,keyasint"`
}

// culpritTable keeps the requests that are known to crash upstreams in the store.
type culpritTable struct {
	store  *platform.Store
	router *router
	log    *zap.Logger
	// pending holds the fingerprints that are not written yet.
	pending chan uint64
}

func newCulpritTable(s *platform.Store, r *router, log *zap.Logger) *culpritTable {
	return &culpritTable{store: s, router: r, log: log, pending: make(chan uint64, maxPendingCulprits)}
}

// add queues a request to be written. It never blocks: without the row, an instance that
// starts learns of the request from the others.
func (c *culpritTable) add(fingerprint uint64) {
	select {
	case c.pending <- fingerprint:
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
		case fingerprint := <-c.pending:
			row := culpritRow{FoundMs: time.Now().UnixMilli()}
			c.retry(ctx, "store a request that crashes upstreams", func(ctx context.Context) error { return c.write(ctx, fingerprint, row) })
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
		if time.Duration(event.AgeMs)*time.Millisecond > crash.CulpritTTL {
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

// decodeCulprit returns the verdict that a row holds.
func decodeCulprit(r feed.Row, now time.Time) (crash.Event, error) {
	var row culpritRow
	if err := cbor.Unmarshal(r.Value, &row); err != nil {
		return crash.Event{}, errors.Wrap(err, "edge: decode culprit row")
	}
	fingerprint, err := strconv.ParseUint(r.Key, 16, 64)
	if err != nil {
		return crash.Event{}, errors.Wrapf(err, "edge: fingerprint %q", r.Key)
	}
	return crash.Event{Fingerprint: fingerprint, IsVerdict: true, AgeMs: max(0, now.UnixMilli()-row.FoundMs)}, nil
}

// write writes the row of a request, unless another instance wrote it.
func (c *culpritTable) write(ctx context.Context, fingerprint uint64, row culpritRow) error {
	data, err := cbor.Marshal(row)
	if err != nil {
		return errors.Wrap(err, "edge: encode culprit row")
	}
	_, err = c.store.Commit(ctx, []store.Write{store.Put(culpritKey(fingerprint), 0, data)})
	if errors.Is(err, store.ErrConflict) {
		return nil
	}
	return err
}

func culpritKey(fingerprint uint64) string {
	return culpritTableName + "/" + formatFingerprint(fingerprint)
}

func formatFingerprint(fingerprint uint64) string { return strconv.FormatUint(fingerprint, 16) }
