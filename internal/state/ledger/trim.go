package ledger

import (
	"context"
	"time"

	"fulmarwick/internal/state/store"

	"github.com/go-faster/errors"
)

// DefaultKeep is how long a settled record protects its key by default.
const DefaultKeep = 7 * 24 * time.Hour

// ScanTable is the part of the platform's table that Trimmer needs.
type ScanTable interface {
	Scan(ctx context.Context, prefix string, since uint64, limit int) ([]store.Row, error)
	Commit(ctx context.Context, writes []store.Write) (uint64, error)
}

// Trimmer removes old records. It is a duty: one instance runs it. Set the
// exported fields before the first call; it is not for concurrent use.
type Trimmer struct {
	Table ScanTable
	// Keep is the age from which done and notrun records go; zero is
	// DefaultKeep. Records at running or unsure never go.
	Keep time.Duration
	// Now is the wall clock; nil is time.Now.
	Now func() time.Time

	since uint64
	// latest is the newest time that any record shows.
	latest time.Time
}

// Trim looks at up to limit records after those of the last call, in order of
// their last change, and removes the old ones in one commit: at most one read
// and one write, or a write for each row if another instance changed one of
// them meanwhile. It returns how many went. After the end of the table it
// begins anew.
func (t *Trimmer) Trim(ctx context.Context, limit int) (int, error) {
	rows, err := t.Table.Scan(ctx, prefix, t.since, limit)
	if err != nil {
		return 0, errors.Wrap(ErrUnread, err.Error())
	}
	var old []store.Write
	for _, row := range rows {
		if t.expired(row) {
			old = append(old, store.Remove(row.Key(), row.Version()))
		}
	}
	t.since = after(rows, limit)
	return t.remove(ctx, old)
}

// after is where the next page begins. Rows of one commit share a version, so
// a full page may end within a commit; its last version is read again.
func after(rows []store.Row, limit int) uint64 {
	if len(rows) < limit || limit == 0 {
		return 0
	}
	last := rows[len(rows)-1].Version()
	if rows[0].Version() == last {
		return last
	}
	return last - 1
}

// expired reports whether a record is settled and old. One wrong clock must
// not remove a record early, since its key would run again: the record has to
// be old by this clock and also against the newest record, which another
// instance's clock stamped.
func (t *Trimmer) expired(row store.Row) bool {
	rec, err := decode(row)
	if err != nil {
		return false
	}
	at := time.Unix(rec.At, 0)
	if at.After(t.latest) {
		t.latest = at
	}
	if rec.State != StateDone && rec.State != StateNotRun {
		return false
	}
	keep := t.Keep
	if keep == 0 {
		keep = DefaultKeep
	}
	return t.now().Sub(at) > keep && t.latest.Sub(at) > keep
}

func (t *Trimmer) now() time.Time {
	if t.Now == nil {
		return time.Now()
	}
	return t.Now()
}

func (t *Trimmer) remove(ctx context.Context, old []store.Write) (int, error) {
	if len(old) == 0 {
		return 0, nil
	}
	_, err := t.Table.Commit(ctx, old)
	if err == nil {
		return len(old), nil
	}
	if !errors.Is(err, store.ErrConflict) {
		return 0, errors.Wrap(ErrUnread, err.Error())
	}
	gone := 0
	for _, w := range old {
		if _, err := t.Table.Commit(ctx, []store.Write{w}); err == nil {
			gone++
		}
	}
	return gone, nil
}
