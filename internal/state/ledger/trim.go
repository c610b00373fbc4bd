package ledger

import (
	"context"
	"time"

	"fulmarwick/internal/state/store"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

const (
	// DefaultRetention is how long a settled record protects its key by default.
	DefaultRetention = 7 * 24 * time.Hour
	// checkpointInterval is the time between two marks. A new trimmer loses what its
	// forerunner counted since the last one, which only keeps records longer.
	checkpointInterval = 10 * time.Minute
	trimStateKey       = "trim/marks"
)

// TrimTable is the part of the platform's table that Trimmer needs.
type TrimTable interface {
	Table
	Scan(ctx context.Context, prefix string, since uint64, limit int) ([]store.Row, error)
}

// Trimmer removes old records. It is a duty: one instance runs it. Set the
// exported fields before the first call; it is not for concurrent use.
//
// A record that goes too early lets its key run again, so no wall clock is
// asked. Trimmers count time on their monotonic clocks, one after the other,
// and note in a row which version the table had at which count. What last
// changed before the version that is Keep old is old. Time during which nobody
// counts is lost, and records stay longer.
type Trimmer struct {
	Table TrimTable
	// Retention is the age from which done and notrun records go; zero is
	// DefaultKeep. Records at running or unsure never go.
	Retention time.Duration
	// Now is the monotonic clock; nil is time.Now.
	Now func() time.Time

	state      trimState
	rowVersion uint64
	loaded     bool
	lastCount  time.Time
	unsaved    time.Duration
	scanFrom   uint64
}

// checkpoint says that the table was at Version when the count was Count.
type checkpoint struct {
	Version uint64        `cbor:"1,keyasint"`
	Elapsed time.Duration `cbor:"2,keyasint"`
}

// trimState is the row of the trimmers. Count is the count when it was written.
type trimState struct {
	Elapsed     time.Duration `cbor:"1,keyasint"`
	Checkpoints []checkpoint  `cbor:"2,keyasint"`
}

// Trim looks at up to limit records, those first that changed longest ago, and
// removes the old ones in one commit: one read and at most one write a call, or
// a write for each row if another instance changed one of them meanwhile, and a
// write every ten minutes for the marks. It returns how many records went.
func (t *Trimmer) Trim(ctx context.Context, limit int) (int, error) {
	if err := t.countTime(ctx); err != nil {
		return 0, err
	}
	cutoff := t.cutoff()
	if cutoff == 0 {
		return 0, nil
	}
	rows, err := t.Table.Scan(ctx, rowPrefix, t.scanFrom, limit)
	if err != nil {
		return 0, errors.Wrap(ErrRecordUnreadable, err.Error())
	}
	var old []store.Write
	t.scanFrom = nextPageStart(rows, limit)
	for _, row := range rows {
		switch {
		case row.Version() > cutoff:
			// All that follow are younger.
			t.scanFrom = 0
		case isSettled(row):
			old = append(old, store.Remove(row.Key(), row.Version()))
		}
	}
	return t.removeRecords(ctx, old)
}

// countTime adds the time since the last call, and writes a mark when it is due. If
// another trimmer wrote one, its count stands and the own one is dropped, so
// that no time counts twice.
func (t *Trimmer) countTime(ctx context.Context) error {
	now := t.now()
	if !t.loaded {
		if err := t.loadState(ctx); err != nil {
			return err
		}
		t.loaded, t.lastCount, t.unsaved = true, now, 0
	}
	t.unsaved += now.Sub(t.lastCount)
	t.lastCount = now
	if t.rowVersion != 0 && t.unsaved < checkpointInterval {
		return nil
	}
	next := t.nextState()
	data, err := cbor.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "ledger: encode")
	}
	version, err := t.Table.Commit(ctx, []store.Write{store.Put(trimStateKey, t.rowVersion, data)})
	if err != nil {
		t.loaded = false
		return errors.Wrap(ErrRecordUnreadable, err.Error())
	}
	t.state, t.rowVersion, t.unsaved = next, version, 0
	return nil
}

// nextState is the row with the count so far, and a mark for its last version. Of
// the marks that are old enough the newest one is kept.
func (t *Trimmer) nextState() trimState {
	next := trimState{Elapsed: t.state.Elapsed + t.unsaved}
	list := t.state.Checkpoints
	if t.rowVersion != 0 {
		list = append(list, checkpoint{Version: t.rowVersion, Elapsed: t.state.Elapsed})
	}
	for i, m := range list {
		if i+1 < len(list) && next.Elapsed-list[i+1].Elapsed > t.retention() {
			continue
		}
		next.Checkpoints = append(next.Checkpoints, m)
	}
	return next
}

func (t *Trimmer) loadState(ctx context.Context) error {
	row, err := t.Table.Get(ctx, trimStateKey)
	t.state, t.rowVersion = trimState{}, 0
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	if err == nil {
		err = cbor.Unmarshal(row.Value(), &t.state)
	}
	if err != nil {
		return errors.Wrap(ErrRecordUnreadable, err.Error())
	}
	t.rowVersion = row.Version()
	return nil
}

// cutoff is the version before which all that is settled is old.
func (t *Trimmer) cutoff() uint64 {
	var version uint64
	for _, m := range t.state.Checkpoints {
		if t.state.Elapsed+t.unsaved-m.Elapsed > t.retention() {
			version = m.Version
		}
	}
	return version
}

func (t *Trimmer) retention() time.Duration {
	if t.Retention == 0 {
		return DefaultRetention
	}
	return t.Retention
}

func (t *Trimmer) now() time.Time {
	if t.Now == nil {
		return time.Now()
	}
	return t.Now()
}

func isSettled(row store.Row) bool {
	rec, err := decodeRecord(row)
	return err == nil && (rec.State == StateDone || rec.State == StateNotRun)
}

// nextPageStart is where the next page begins. Rows of one commit share a version, so
// a full page may end within a commit; its last version is read again.
func nextPageStart(rows []store.Row, limit int) uint64 {
	if len(rows) < limit || limit == 0 {
		return 0
	}
	last := rows[len(rows)-1].Version()
	if rows[0].Version() == last {
		return last
	}
	return last - 1
}

func (t *Trimmer) removeRecords(ctx context.Context, old []store.Write) (int, error) {
	if len(old) == 0 {
		return 0, nil
	}
	_, err := t.Table.Commit(ctx, old)
	if err == nil {
		return len(old), nil
	}
	if !errors.Is(err, store.ErrConflict) {
		return 0, errors.Wrap(ErrRecordUnreadable, err.Error())
	}
	gone := 0
	for _, w := range old {
		if _, err := t.Table.Commit(ctx, []store.Write{w}); err == nil {
			gone++
		}
	}
	return gone, nil
}
