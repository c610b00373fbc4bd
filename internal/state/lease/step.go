package lease

import (
	"context"
	"time"

	"fulmarwick/internal/state/store"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// Step renews the lease if it is held and contends for it if not. ErrStore
// means that the table did not answer; the time that is left stays.
func (l *Lease) Step(ctx context.Context) error {
	l.mu.Lock()
	h := l.hold
	l.mu.Unlock()
	if !h.held {
		return l.contend(ctx)
	}
	err := l.renew(ctx, h)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.away = time.Time{}
	if errors.Is(err, ErrStore) {
		l.away = l.now()
	}
	return err
}

// renew extends the lease. It also does so after the lease has lapsed: if the
// commit's condition holds, nobody took it over, and the number stays valid.
func (l *Lease) renew(ctx context.Context, h hold) error {
	start := l.now()
	next := h.row
	next.Seq++
	version, err := l.commit(ctx, h.version, next)
	switch {
	case err == nil:
		l.keep(next, version, start)
		return nil
	case errors.Is(err, store.ErrDown):
		return errors.Wrap(ErrStore, err.Error())
	}
	return l.reread(ctx, h)
}

// reread looks who has the lease after a renewal that conflicted or whose
// answer was lost. If it is this incarnation with the same number, the row's
// version is taken for the next renewal, but no time is added.
func (l *Lease) reread(ctx context.Context, h hold) error {
	version, r, err := l.read(ctx)
	if err != nil {
		return err
	}
	if version < h.version {
		return errors.Wrap(ErrStore, "stale read")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Owner == l.Owner && r.Fence == h.row.Fence && !r.Free {
		l.hold.version, l.hold.row = version, r
		return nil
	}
	l.hold = hold{}
	l.seen = sight{version: version, at: l.now()}
	return nil
}

// contend takes the lease if it is free, or if its row did not change for a
// whole lease time since this instance first saw it so.
func (l *Lease) contend(ctx context.Context) error {
	version, r, err := l.read(ctx)
	if err != nil {
		return err
	}
	switch {
	case version == 0 || r.Free:
		return l.take(ctx, version, r.Fence+1)
	case r.Owner == l.Owner:
		// An earlier take lost its answer. The row is this incarnation's, but
		// when it took effect is not known: renewing starts the time.
		return l.renew(ctx, hold{row: r, version: version})
	case !l.unchanged(version):
		return nil
	}
	return l.take(ctx, version, r.Fence+1)
}

// unchanged reports whether the row has stood at version for long enough.
func (l *Lease) unchanged(version uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if l.seen.version != version {
		l.seen = sight{version: version, at: now}
		return false
	}
	return now.Sub(l.seen.at) >= l.time()+l.time()/drift
}

// take writes the next number on the condition that the row is as it was. A
// lost answer leaves the lease unheld; the next step finds the row.
func (l *Lease) take(ctx context.Context, version, fence uint64) error {
	start := l.now()
	next := row{Owner: l.Owner, Fence: fence}
	version, err := l.commit(ctx, version, next)
	switch {
	case err == nil:
		l.keep(next, version, start)
		return nil
	case errors.Is(err, store.ErrConflict):
		return nil
	default:
		return errors.Wrap(ErrStore, err.Error())
	}
}

func (l *Lease) commit(ctx context.Context, version uint64, r row) (uint64, error) {
	return l.Table.Commit(ctx, []store.Write{store.Put(l.key(), version, encode(r))})
}

func (l *Lease) keep(r row, version uint64, start time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.hold.held {
		l.hold.since = l.now()
	}
	l.hold.held, l.hold.row, l.hold.version = true, r, version
	l.hold.until = start.Add(l.time())
}

// read returns the row; version 0 means that there is none.
func (l *Lease) read(ctx context.Context) (uint64, row, error) {
	var r row
	got, err := l.Table.Get(ctx, l.key())
	if errors.Is(err, store.ErrMissing) {
		return 0, r, nil
	}
	if err != nil {
		return 0, r, errors.Wrap(ErrStore, err.Error())
	}
	if err := cbor.Unmarshal(got.Value(), &r); err != nil {
		return 0, r, errors.Wrap(ErrStore, err.Error())
	}
	return got.Version(), r, nil
}
