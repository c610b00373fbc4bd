package ledger

import (
	"context"
	"time"

	"fulmarwick/internal/state/store"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

const (
	// DefaultRetention is how long a settled record prevents another run of its key
	// by default.
	DefaultRetention = 7 * 24 * time.Hour
	// checkpointInterval is the time between two checkpoints. A new trimmer loses the
	// time that its predecessor counted since its last checkpoint. The only effect is
	// that records are kept longer.
	checkpointInterval = 10 * time.Minute
	trimStateKey       = "trim/marks"
)

// TrimTable is the part of the platform's table that Trimmer needs.
type TrimTable interface {
	Table
	Scan(ctx context.Context, prefix string, since uint64, limit int) ([]store.Row, error)
}

// Trimmer removes old records. It runs as a duty of one instance. Set the exported
// fields before the first call; it is not safe for concurrent use.
//
// If a record is removed too early its key can run again, so no wall clock is used.
// Successive trimmers add up elapsed time on their monotonic clocks and store
// checkpoints in a row: the version of the table at an elapsed time. A record is
// old if it last changed before the version of a checkpoint that is older than
// Retention. Time during which no trimmer runs is not counted, and records are
// kept longer.
type Trimmer struct {
	Table TrimTable
	// Retention is the age at which done and notrun records are removed; zero means
	// DefaultRetention. Records in state running or unsure are never removed.
	Retention time.Duration
	// Now is the monotonic clock; nil means time.Now.
	Now func() time.Time

	state      trimState
	rowVersion uint64
	loaded     bool
	lastCount  time.Time
	unsaved    time.Duration
	scanFrom   uint64
}

// checkpoint is the version of the table at an elapsed time.
type checkpoint struct {
	Version uint64        `cbor:"1,keyasint"`
	Elapsed time.Duration `cbor:"2,keyasint"`
}

// trimState is the row that the trimmers share. Elapsed is the elapsed time when it
// was written.
type trimState struct {
	Elapsed     time.Duration `cbor:"1,keyasint"`
	Checkpoints []checkpoint  `cbor:"2,keyasint"`
}

// Trim reads up to limit records, the least recently changed first, and removes the
// old ones in one commit. A call costs one read and at most one write, or one write
// for each row if another instance changed one of the rows meanwhile. The
// checkpoints cost one more write every ten minutes. Trim returns the number of
// removed records.
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
			// All following rows are newer.
			t.scanFrom = 0
		case isSettled(row):
			old = append(old, store.Remove(row.Key(), row.Version()))
		}
	}
	return t.removeRecords(ctx, old)
}

// countTime adds the time since the last call, and writes a checkpoint when it is
// due. If another trimmer wrote a checkpoint meanwhile, the elapsed time of that
// trimmer is used and the local one is dropped, so that no time is counted twice.
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

// nextState returns the state with the elapsed time so far and a checkpoint for the
// last version of the row. Of the checkpoints that are old enough to trim by, only
// the newest is kept.
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

// cutoff returns the version up to which settled records are old, or zero if there
// is none yet.
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

// nextPageStart returns the version after which the next page begins. Rows of one
// commit share a version and a full page may end within a commit, so the last
// version is read again.
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
	removed := 0
	for _, w := range old {
		if _, err := t.Table.Commit(ctx, []store.Write{w}); err == nil {
			removed++
		}
	}
	return removed, nil
}
