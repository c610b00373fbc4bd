package lease

import (
	"context"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/state/store"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// RenewOrAcquire renews the lease if it is held and contends for it if not. With
// ErrStoreUnavailable the table did not answer, and the lease keeps its remaining
// time.
func (l *Lease) RenewOrAcquire(ctx context.Context) error {
	l.mu.Lock()
	h := l.holding
	l.mu.Unlock()
	if !h.held {
		return l.contend(ctx)
	}
	err := l.renew(ctx, h)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.storeFailedAt = time.Time{}
	if errors.Is(err, ErrStoreUnavailable) {
		l.storeFailedAt = l.now()
	}
	return err
}

// renew extends the lease, even if it has expired: if the condition of the commit
// holds, no other instance has taken over, and the fencing token stays valid.
func (l *Lease) renew(ctx context.Context, h holdState) error {
	start := l.now()
	next := h.row
	next.Seq++
	version, err := l.commit(ctx, h.version, next)
	switch {
	case err == nil:
		l.recordHeld(next, version, start)
		return nil
	case errors.Is(err, store.ErrUnavailable):
		return errors.Wrap(ErrStoreUnavailable, err.Error())
	}
	return l.verifyHolder(ctx, h)
}

// verifyHolder reads who holds the lease after a renewal that had a conflict or whose
// response was lost. If it is this incarnation with the same fencing token, the next
// renewal uses the row's version, but the lease is not extended.
func (l *Lease) verifyHolder(ctx context.Context, h holdState) error {
	version, r, err := l.read(ctx)
	if err != nil {
		return err
	}
	if version < h.version {
		return errors.Wrap(ErrStoreUnavailable, "stale read")
	}
	if eraOf(version) > eraOf(h.version) {
		return l.reacquire(ctx, h, version, r)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Owner == l.Owner && r.Fence == h.row.Fence && !r.Released {
		l.holding.version, l.holding.row = version, r
		return nil
	}
	l.holding = holdState{}
	l.observed = observation{version: version, firstSeen: l.now()}
	return nil
}

// reacquire acquires the lease anew after the table was restored, whatever its row says. If it had
// expired, another instance may hold it.
func (l *Lease) reacquire(ctx context.Context, h holdState, version uint64, r row) error {
	l.mu.Lock()
	l.holding = holdState{}
	l.observed = observation{version: version, firstSeen: l.now()}
	l.mu.Unlock()
	if !l.now().Before(h.expiresAt) {
		return nil
	}
	return l.acquire(ctx, version, nextFence(version, max(r.Fence, h.row.Fence)))
}

// contend acquires the lease if it is free, or if its row has not changed for a whole
// lease duration since this instance first saw that version.
func (l *Lease) contend(ctx context.Context) error {
	version, r, err := l.read(ctx)
	if err != nil {
		return err
	}
	isFromCopy := eraOf(r.Fence) < eraOf(version)
	switch {
	case l.mayBeHeldByFormer():
		return nil
	case spec.Revision(version).Version() == 0, r.Released && !isFromCopy:
		return l.acquire(ctx, version, nextFence(version, r.Fence))
	case r.Owner == l.Owner && !isFromCopy:
		// The response of an earlier acquire was lost. The row belongs to this
		// incarnation, but it is not known when the commit took effect. The
		// lease duration starts with a renewal.
		return l.renew(ctx, holdState{row: r, version: version})
	case !l.hasExpired(version):
		return nil
	}
	return l.acquire(ctx, version, nextFence(version, r.Fence))
}

// eraOf returns the era of the table in which a version was read or a fencing token was given.
func eraOf(version uint64) uint64 { return spec.Revision(version).Era() }

// nextFence returns the token after an earlier one, in the era of the version of the row.
func nextFence(version, fence uint64) uint64 {
	return max(fence, uint64(spec.NewRevision(eraOf(version), 0))) + 1
}

// mayBeHeldByFormer reports whether the holder from before a restore of the table may still hold the
// lease.
func (l *Lease) mayBeHeldByFormer() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.restoredAt.IsZero() && l.now().Sub(l.restoredAt) < l.expiry()
}

// noteEra records the era of the table.
func (l *Lease) noteEra(era uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.eraKnown && era > l.era {
		l.restoredAt = l.now()
	}
	l.era, l.eraKnown = max(l.era, era), true
}

// expiry is how long a contender waits until a lease that is not renewed has expired.
func (l *Lease) expiry() time.Duration { return l.duration() + l.duration()/driftDivisor }

// hasExpired reports whether the row has had this version for long enough that the
// lease has expired.
func (l *Lease) hasExpired(version uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if l.observed.version != version {
		l.observed = observation{version: version, firstSeen: now}
		return false
	}
	return now.Sub(l.observed.firstSeen) >= l.expiry()
}

// acquire writes the next fencing token on the condition that the row is unchanged.
// If the response is lost the lease counts as not held; the next call of
// RenewOrAcquire finds the row.
func (l *Lease) acquire(ctx context.Context, version, fence uint64) error {
	start := l.now()
	next := row{Owner: l.Owner, Fence: fence}
	version, err := l.commit(ctx, version, next)
	switch {
	case err == nil:
		l.recordHeld(next, version, start)
		return nil
	case errors.Is(err, store.ErrConflict):
		return nil
	default:
		return errors.Wrap(ErrStoreUnavailable, err.Error())
	}
}

func (l *Lease) commit(ctx context.Context, version uint64, r row) (uint64, error) {
	return l.Table.Commit(ctx, []store.Write{store.Put(l.key(), version, encode(r))})
}

func (l *Lease) recordHeld(r row, version uint64, start time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.holding.held {
		l.holding.heldSince = l.now()
	}
	l.holding.held, l.holding.row, l.holding.version = true, r, version
	l.holding.expiresAt = start.Add(l.duration())
}

// read returns the version and the content of the row; version 0 of an era means that there
// is no row.
func (l *Lease) read(ctx context.Context) (uint64, row, error) {
	var r row
	got, err := l.Table.Get(ctx, l.key())
	isMissing := errors.Is(err, store.ErrNotFound)
	if err != nil && !isMissing {
		return 0, r, errors.Wrap(ErrStoreUnavailable, err.Error())
	}
	l.noteEra(eraOf(got.Version()))
	if isMissing {
		return got.Version(), r, nil
	}
	if err := cbor.Unmarshal(got.Value(), &r); err != nil {
		return 0, r, errors.Wrap(ErrStoreUnavailable, err.Error())
	}
	return got.Version(), r, nil
}
