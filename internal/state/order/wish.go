package order

import (
	"context"
	"maps"
	"slices"

	"fulmarwick/internal/base/frame"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/state/store"

	"github.com/go-faster/errors"
)

// unwrittenState is what Set was asked for.
type unwrittenState struct {
	holds []frame.Hold
	role  string
}

// SetDesired wishes that engine holds just holds, in the role if it is not empty. It
// writes one row, and none if that is wished already. A wish that cannot be
// written now is kept and written by a later Round of the same term; only
// ErrLapsed means that it is lost.
func (o *Reconciler) SetDesired(ctx context.Context, engine spec.UpstreamID, holds []frame.Hold, role string) error {
	if err := o.ensureAdopted(ctx); err != nil {
		o.updateUnwritten(engine, unwrittenState{holds, role}, err)
		return err
	}
	err := o.writeDesired(ctx, engine, holds, role)
	o.updateUnwritten(engine, unwrittenState{holds, role}, err)
	return err
}

// updateUnwritten notes or forgets a wish by how its writing went.
func (o *Reconciler) updateUnwritten(engine spec.UpstreamID, w unwrittenState, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err == nil || errors.Is(err, ErrLeaseLost) {
		delete(o.unwritten, engine)
		return
	}
	if o.unwritten == nil {
		o.unwritten = map[spec.UpstreamID]unwrittenState{}
	}
	o.unwritten[engine] = w
}

func (o *Reconciler) writeDesired(ctx context.Context, engine spec.UpstreamID, holds []frame.Hold, role string) error {
	ctx, cancel, fence, err := o.guardLease(ctx)
	if err != nil {
		return err
	}
	defer cancel()
	o.mu.Lock()
	adopted := o.adoptedFence == fence
	next := &desiredRow{state: desiredState{Engine: string(engine), Holds: holds, Role: role, Fence: fence}}
	old, ok := o.rows[engine]
	o.mu.Unlock()
	switch {
	case !adopted:
		return errors.Wrap(ErrLeaseLost, "desired state not adopted under this number")
	case ok && sameLayers(old.state.Holds, holds) && old.state.Role == role:
		return nil
	case ok:
		next.version = old.version
	}
	if next.version, err = o.commit(ctx, []store.Write{o.encodeWrite(next)}); err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.rows[engine] = next
	return nil
}

// writePending writes the wishes that wait.
func (o *Reconciler) writePending(ctx context.Context) error {
	o.mu.Lock()
	waiting := maps.Clone(o.unwritten)
	o.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(waiting)) {
		if err := o.SetDesired(ctx, id, waiting[id].holds, waiting[id].role); err != nil {
			return err
		}
	}
	return nil
}
