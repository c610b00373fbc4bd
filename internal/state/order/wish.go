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

// wish is what Set was asked for.
type wish struct {
	holds []frame.Hold
	role  string
}

// Set wishes that engine holds just holds, in the role if it is not empty. It
// writes one row, and none if that is wished already. A wish that cannot be
// written now is kept and written by a later Round of the same term; only
// ErrLapsed means that it is lost.
func (o *Orders) Set(ctx context.Context, engine spec.UpstreamID, holds []frame.Hold, role string) error {
	if err := o.known(ctx); err != nil {
		o.keep(engine, wish{holds, role}, err)
		return err
	}
	err := o.write(ctx, engine, holds, role)
	o.keep(engine, wish{holds, role}, err)
	return err
}

// keep notes or forgets a wish by how its writing went.
func (o *Orders) keep(engine spec.UpstreamID, w wish, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err == nil || errors.Is(err, ErrLapsed) {
		delete(o.waiting, engine)
		return
	}
	if o.waiting == nil {
		o.waiting = map[spec.UpstreamID]wish{}
	}
	o.waiting[engine] = w
}

func (o *Orders) write(ctx context.Context, engine spec.UpstreamID, holds []frame.Hold, role string) error {
	ctx, cancel, fence, err := o.guard(ctx)
	if err != nil {
		return err
	}
	defer cancel()
	o.mu.Lock()
	adopted := o.fence == fence
	next := &wanted{desired: desired{Engine: string(engine), Holds: holds, Role: role, Fence: fence}}
	old, ok := o.wanted[engine]
	o.mu.Unlock()
	switch {
	case !adopted:
		return errors.Wrap(ErrLapsed, "desired state not adopted under this number")
	case ok && same(old.desired.Holds, holds) && old.desired.Role == role:
		return nil
	case ok:
		next.version = old.version
	}
	if next.version, err = o.commit(ctx, []store.Write{o.put(next)}); err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.wanted[engine] = next
	return nil
}

// rewrite writes the wishes that wait.
func (o *Orders) rewrite(ctx context.Context) error {
	o.mu.Lock()
	waiting := maps.Clone(o.waiting)
	o.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(waiting)) {
		if err := o.Set(ctx, id, waiting[id].holds, waiting[id].role); err != nil {
			return err
		}
	}
	return nil
}
