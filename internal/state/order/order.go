// Package order tells engines what to hold and which role to play, and sees to
// it until they report just that.
//
// It imports base/spec, base/frame and state/store. The daemon runs it under
// the placement's lease, gives it the planner's wishes and the engines' reports.
//
// What an engine must end in is a row of the table. Orders state that end, so
// repeating one is safe, and an order counts as done only when the engine
// reports its end. So a change that a former holder left half done is seen and
// finished, or undone by new wishes, and a late order of a paused holder is
// put right at the next report, also by engines that ignore fencing numbers.
package order

import (
	"context"
	"slices"
	"sync"
	"time"

	"fulmarwick/internal/base/frame"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/state/store"

	"github.com/VictoriaMetrics/metrics"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// Errors of this package.
var (
	// ErrLeaseLost means that the lease does not allow an act now.
	ErrLeaseLost = errors.New("order: lease not held")
	// ErrStoreUnavailable means that the desired state could not be read or written.
	ErrStoreUnavailable = errors.New("order: table out of reach")
	// ErrSuperseded means that another holder wrote the rows meanwhile.
	ErrSuperseded = errors.New("order: another holder took over")
)

const (
	defaultRetryInterval   = 10 * time.Second
	defaultFirstOrderDelay = 4 * time.Second
	defaultLayersPerSecond = 4.0
	pageRows               = 500
)

// Sender sends an order to an engine.
type Sender interface {
	SendOrder(ctx context.Context, upstream spec.UpstreamID, o frame.Order) error
}

// Lease says whether this instance may act, as lease.Lease does.
type Lease interface {
	Guard(ctx context.Context) (context.Context, context.CancelFunc, uint64, error)
	HeldFor() time.Duration
}

// Table is the part of the platform's table that orders need.
type Table interface {
	Scan(ctx context.Context, prefix string, since uint64, limit int) ([]store.Row, error)
	Commit(ctx context.Context, writes []store.Write) (uint64, error)
}

// Reconciler are the orders of one duty. Set the exported fields before use.
type Reconciler struct {
	Table  Table
	Sender Sender
	Lease  Lease
	// Duty names the duty, such as a data centre; rows are "order/NAME/".
	Duty string
	// ChecksFence says which engines refuse a number lower than one they saw; the
	// deployment's settings tell. Nil means that none does.
	ChecksFence func(spec.UpstreamID) bool
	// FirstOrderDelay is the margin of the lease: engines that check nothing get their
	// first order of a new holder after it, when the former holder's last act
	// has ended. Zero is 4 s.
	FirstOrderDelay time.Duration
	// RetryInterval is how long an engine has to report the end before the order is
	// sent again; zero is 10 s.
	RetryInterval time.Duration
	// LayersPerSecond is how many layers a second the weight store gives; zero is 4.
	LayersPerSecond float64
	// Now is the monotonic clock; nil is time.Now.
	Now func() time.Time
	// Meters takes the metrics; nil takes none.
	Meters *metrics.Set

	mu sync.Mutex
	// adoptedFence is the number under which the rows are known; zero after a lost
	// answer, when they have to be read anew.
	adoptedFence uint64
	rows         map[spec.UpstreamID]*desiredRow
	// unwritten are wishes that could not be written yet, under the number owner.
	unwritten      map[spec.UpstreamID]unwrittenState
	unwrittenFence uint64
	reports        map[spec.UpstreamID]report
	// storeBusyUntil is when the weight store has given what was ordered so far.
	storeBusyUntil time.Time
}

// desiredState is the row of an engine.
type desiredState struct {
	Engine string       `cbor:"1,keyasint"`
	Holds  []frame.Hold `cbor:"2,keyasint"`
	Role   string       `cbor:"3,keyasint,omitempty"`
	Fence  uint64       `cbor:"4,keyasint"`
}

// desiredRow is a row as this holder knows it.
type desiredRow struct {
	state    desiredState
	version  uint64
	lastSent time.Time
	tries    int
	// acceptedRole is the role of the last order that the engine accepted under
	// this holder; reports do not tell roles.
	acceptedRole string
}

// report is what an engine says that it holds.
type report struct {
	holds []frame.Hold
	seq   uint64
}

// Adopt reads the desired state that former holders left and writes it anew
// under the own number, in one commit: from then on a former holder that wakes
// can write none of it, since the rows' versions have changed. Set and Round
// do so by themselves when the rows are not known under the present number.
func (o *Reconciler) Adopt(ctx context.Context) error {
	ctx, cancel, fence, err := o.guardLease(ctx)
	if err != nil {
		return err
	}
	defer cancel()
	all, err := o.loadRows(ctx)
	if err != nil {
		return err
	}
	var writes []store.Write
	for _, id := range sortedIDs(all) {
		all[id].state.Fence = fence
		writes = append(writes, o.encodeWrite(all[id]))
	}
	if len(writes) > 0 {
		version, err := o.commit(ctx, writes)
		if err != nil {
			return err
		}
		for _, w := range all {
			w.version = version
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.unwrittenFence != fence {
		// Wishes of an earlier term are out of date.
		o.unwritten = map[spec.UpstreamID]unwrittenState{}
	}
	o.adoptedFence, o.unwrittenFence, o.rows = fence, fence, all
	return nil
}

// ensureAdopted adopts the rows unless they are known under the present number.
func (o *Reconciler) ensureAdopted(ctx context.Context) error {
	_, cancel, fence, err := o.guardLease(ctx)
	if err != nil {
		return err
	}
	cancel()
	if o.isAdopted(fence) {
		return nil
	}
	return o.Adopt(ctx)
}

func (o *Reconciler) guardLease(ctx context.Context) (context.Context, context.CancelFunc, uint64, error) {
	ctx, cancel, fence, err := o.Lease.Guard(ctx)
	if err != nil {
		return nil, nil, 0, errors.Wrap(ErrLeaseLost, err.Error())
	}
	return ctx, cancel, fence, nil
}

func (o *Reconciler) loadRows(ctx context.Context) (map[spec.UpstreamID]*desiredRow, error) {
	all := map[spec.UpstreamID]*desiredRow{}
	var bad error
	err := store.ScanAll(ctx, o.Table, o.prefix(), 0, pageRows, func(r store.Row) {
		w := &desiredRow{version: r.Version()}
		if err := cbor.Unmarshal(r.Value(), &w.state); err != nil {
			bad = err
			return
		}
		all[spec.UpstreamID(w.state.Engine)] = w
	})
	if err == nil {
		err = bad
	}
	if err != nil {
		return nil, errors.Wrap(ErrStoreUnavailable, err.Error())
	}
	return all, nil
}

// commit converts the errors of the table. After a lost answer the rows are
// not known any more, so the holder has to adopt them again.
func (o *Reconciler) commit(ctx context.Context, writes []store.Write) (uint64, error) {
	version, err := o.Table.Commit(ctx, writes)
	switch {
	case err == nil:
		return version, nil
	case errors.Is(err, store.ErrUnavailable):
		return 0, errors.Wrap(ErrStoreUnavailable, err.Error())
	}
	o.mu.Lock()
	o.adoptedFence = 0
	o.mu.Unlock()
	if errors.Is(err, store.ErrConflict) {
		return 0, ErrSuperseded
	}
	return 0, errors.Wrap(ErrStoreUnavailable, err.Error())
}

func (o *Reconciler) encodeWrite(w *desiredRow) store.Write {
	data, err := cbor.Marshal(w.state)
	if err != nil {
		// The row has no field that can fail to encode.
		panic(err)
	}
	return store.Put(o.prefix()+w.state.Engine, w.version, data)
}

func (o *Reconciler) prefix() string { return "order/" + o.Duty + "/" }

func (o *Reconciler) now() time.Time {
	if o.Now == nil {
		return time.Now()
	}
	return o.Now()
}

func sortedIDs(m map[spec.UpstreamID]*desiredRow) []spec.UpstreamID {
	var out []spec.UpstreamID
	for id := range m {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}
