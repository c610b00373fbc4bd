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

// unwrittenState is a desired state that is not written to the table yet.
type unwrittenState struct {
	holds []frame.LoadedLayers
	role  string
}

// SetDesired sets the desired state of an engine: exactly the layers in holds, and the
// role unless it is empty. It writes one row, and none if the desired state is the same
// already. A desired state that cannot be written now is kept and written by a later
// Reconcile of the same lease term; only ErrLeaseLost means that it is lost.
func (r *Reconciler) SetDesired(ctx context.Context, engine spec.UpstreamID, holds []frame.LoadedLayers, role string) error {
	if err := r.ensureAdopted(ctx); err != nil {
		r.updateUnwritten(engine, unwrittenState{holds, role}, err)
		return err
	}
	err := r.writeDesired(ctx, engine, holds, role)
	r.updateUnwritten(engine, unwrittenState{holds, role}, err)
	return err
}

// updateUnwritten removes a desired state from the unwritten ones if it was written or
// the lease is lost, and stores it there otherwise.
func (r *Reconciler) updateUnwritten(engine spec.UpstreamID, state unwrittenState, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil || errors.Is(err, ErrLeaseLost) {
		delete(r.unwritten, engine)
		return
	}
	if r.unwritten == nil {
		r.unwritten = map[spec.UpstreamID]unwrittenState{}
	}
	r.unwritten[engine] = state
}

func (r *Reconciler) writeDesired(ctx context.Context, engine spec.UpstreamID, holds []frame.LoadedLayers, role string) error {
	ctx, cancel, fence, err := r.guardLease(ctx)
	if err != nil {
		return err
	}
	defer cancel()
	r.mu.Lock()
	adopted := r.adoptedFence == fence
	next := &desiredRow{state: desiredState{Engine: string(engine), Holds: holds, Role: role, Fence: fence}}
	old, ok := r.rows[engine]
	r.mu.Unlock()
	switch {
	case !adopted:
		return errors.Wrap(ErrLeaseLost, "desired state not adopted under this fencing token")
	case ok && sameLayers(old.state.Holds, holds) && old.state.Role == role:
		return nil
	case ok:
		next.version = old.version
	}
	if next.version, err = r.commit(ctx, []store.Write{r.encodeWrite(next)}); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rows[engine] = next
	return nil
}

// writePending writes the desired states that are not written yet.
func (r *Reconciler) writePending(ctx context.Context) error {
	r.mu.Lock()
	pending := maps.Clone(r.unwritten)
	r.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(pending)) {
		if err := r.SetDesired(ctx, id, pending[id].holds, pending[id].role); err != nil {
			return err
		}
	}
	return nil
}
