package ledger

import (
	"context"
	"time"

	"fulmarwick/internal/state/store"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

const (
	// DefaultKeep is how long a settled record protects its key by default.
	DefaultKeep = 7 * 24 * time.Hour
	// markEvery is the time between two marks. A new trimmer loses what its
	// forerunner counted since the last one, which only keeps records longer.
	markEvery = 10 * time.Minute
	marksKey  = "trim/marks"
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
	// Keep is the age from which done and notrun records go; zero is
	// DefaultKeep. Records at running or unsure never go.
	Keep time.Duration
	// Now is the monotonic clock; nil is time.Now.
	Now func() time.Time

	marks   marks
	version uint64
	loaded  bool
	last    time.Time
	counted time.Duration
	since   uint64
}

// mark says that the table was at Version when the count was Count.
type mark struct {
	Version uint64        `cbor:"1,keyasint"`
	Count   time.Duration `cbor:"2,keyasint"`
}

// marks is the row of the trimmers. Count is the count when it was written.
type marks struct {
	Count time.Duration `cbor:"1,keyasint"`
	List  []mark        `cbor:"2,keyasint"`
}

// Trim looks at up to limit records, those first that changed longest ago, and
// removes the old ones in one commit: one read and at most one write a call, or
// a write for each row if another instance changed one of them meanwhile, and a
// write every ten minutes for the marks. It returns how many records went.
func (t *Trimmer) Trim(ctx context.Context, limit int) (int, error) {
	if err := t.count(ctx); err != nil {
		return 0, err
	}
	cutoff := t.cutoff()
	if cutoff == 0 {
		return 0, nil
	}
	rows, err := t.Table.Scan(ctx, prefix, t.since, limit)
	if err != nil {
		return 0, errors.Wrap(ErrUnread, err.Error())
	}
	var old []store.Write
	t.since = after(rows, limit)
	for _, row := range rows {
		switch {
		case row.Version() > cutoff:
			// All that follow are younger.
			t.since = 0
		case settled(row):
			old = append(old, store.Remove(row.Key(), row.Version()))
		}
	}
	return t.remove(ctx, old)
}

// count adds the time since the last call, and writes a mark when it is due. If
// another trimmer wrote one, its count stands and the own one is dropped, so
// that no time counts twice.
func (t *Trimmer) count(ctx context.Context) error {
	now := t.now()
	if !t.loaded {
		if err := t.load(ctx); err != nil {
			return err
		}
		t.loaded, t.last, t.counted = true, now, 0
	}
	t.counted += now.Sub(t.last)
	t.last = now
	if t.version != 0 && t.counted < markEvery {
		return nil
	}
	next := t.next()
	data, err := cbor.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "ledger: encode")
	}
	version, err := t.Table.Commit(ctx, []store.Write{store.Put(marksKey, t.version, data)})
	if err != nil {
		t.loaded = false
		return errors.Wrap(ErrUnread, err.Error())
	}
	t.marks, t.version, t.counted = next, version, 0
	return nil
}

// next is the row with the count so far, and a mark for its last version. Of
// the marks that are old enough the newest one is kept.
func (t *Trimmer) next() marks {
	next := marks{Count: t.marks.Count + t.counted}
	list := t.marks.List
	if t.version != 0 {
		list = append(list, mark{Version: t.version, Count: t.marks.Count})
	}
	for i, m := range list {
		if i+1 < len(list) && next.Count-list[i+1].Count > t.keep() {
			continue
		}
		next.List = append(next.List, m)
	}
	return next
}

func (t *Trimmer) load(ctx context.Context) error {
	row, err := t.Table.Get(ctx, marksKey)
	t.marks, t.version = marks{}, 0
	if errors.Is(err, store.ErrMissing) {
		return nil
	}
	if err == nil {
		err = cbor.Unmarshal(row.Value(), &t.marks)
	}
	if err != nil {
		return errors.Wrap(ErrUnread, err.Error())
	}
	t.version = row.Version()
	return nil
}

// cutoff is the version before which all that is settled is old.
func (t *Trimmer) cutoff() uint64 {
	var version uint64
	for _, m := range t.marks.List {
		if t.marks.Count+t.counted-m.Count > t.keep() {
			version = m.Version
		}
	}
	return version
}

func (t *Trimmer) keep() time.Duration {
	if t.Keep == 0 {
		return DefaultKeep
	}
	return t.Keep
}

func (t *Trimmer) now() time.Time {
	if t.Now == nil {
		return time.Now()
	}
	return t.Now()
}

func settled(row store.Row) bool {
	rec, err := decode(row)
	return err == nil && (rec.State == StateDone || rec.State == StateNotRun)
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
