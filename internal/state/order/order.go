// Package order sends load orders, which state the layers and the role that engines
// have to take, and repeats them until the engines report exactly that state.
//
// It imports base/spec, base/frame and state/store. The daemon runs it under the
// placement lease and passes it the planner's desired states and the engines' reports.
//
// The desired state of an engine is a row of the table. Orders contain the complete
// desired state, so repeating an order is safe, and an order counts as done only when
// the engine reports that state. A change that a former lease holder left half done is
// therefore detected and completed, or replaced by a new desired state. A late order of
// a paused holder is corrected after the next report, also on engines that ignore
// fencing tokens.
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
	// ErrLeaseLost means that the lease does not permit an action now.
	ErrLeaseLost = errors.New("order: lease not held")
	// ErrStoreUnavailable means that the desired state could not be read or written.
	ErrStoreUnavailable = errors.New("order: table unavailable")
	// ErrSuperseded means that another lease holder wrote the rows meanwhile.
	ErrSuperseded = errors.New("order: another lease holder took over")
)

const (
	defaultRetryInterval   = 10 * time.Second
	defaultFirstOrderDelay = 4 * time.Second
	defaultLayersPerSecond = 4.0
	pageRows               = 500
)

// Sender sends load orders to engines.
type Sender interface {
	SendOrder(ctx context.Context, upstream spec.UpstreamID, o frame.Order) error
}

// Lease is the lease that permits this instance to act; lease.Lease implements it.
type Lease interface {
	// Guard returns the fencing token and a context that ends before the lease does.
	Guard(ctx context.Context) (context.Context, context.CancelFunc, uint64, error)
	// HeldFor returns how long the lease has been held.
	HeldFor() time.Duration
}

// Table is the part of the platform's table that a Reconciler needs.
type Table interface {
	Scan(ctx context.Context, prefix string, since uint64, limit int) ([]store.Row, error)
	Commit(ctx context.Context, writes []store.Write) (uint64, error)
}

// Reconciler sends the load orders of one duty. Set the exported fields before use.
type Reconciler struct {
	Table  Table
	Sender Sender
	Lease  Lease
	// Duty names the duty, such as a data centre; rows are "order/NAME/".
	Duty string
	// ChecksFence reports whether an engine rejects a fencing token lower than one it
	// has seen, according to the deployment's settings. Nil means that no engine does.
	ChecksFence func(spec.UpstreamID) bool
	// FirstOrderDelay is the safety margin of the lease: engines that do not check
	// fencing tokens get the first order of a new holder only after it, when the last
	// action of the former holder has ended. Zero means 4 s.
	FirstOrderDelay time.Duration
	// RetryInterval is how long an engine has to report the desired state before the
	// order is sent again; zero means 10 s.
	RetryInterval time.Duration
	// LayersPerSecond is how many layers per second the weight store delivers; zero
	// means 4.
	LayersPerSecond float64
	// Now is the monotonic clock; nil means time.Now.
	Now func() time.Time
	// Meters receives the metrics; nil means no metrics.
	Meters *metrics.Set

	mu sync.Mutex
	// adoptedFence is the fencing token under which the rows are known. It is zero
	// after a lost response, when the rows must be read again.
	adoptedFence uint64
	rows         map[spec.UpstreamID]*desiredRow
	// unwritten holds desired states that could not be written yet under the token
	// unwrittenFence.
	unwritten      map[spec.UpstreamID]unwrittenState
	unwrittenFence uint64
	reports        map[spec.UpstreamID]report
	// storeBusyUntil is when the weight store will have delivered all layers ordered
	// so far.
	storeBusyUntil time.Time
}

// desiredState is the encoded row of an engine.
type desiredState struct {
	Engine string               `cbor:"1,keyasint"`
	Holds  []frame.LoadedLayers `cbor:"2,keyasint"`
	Role   string               `cbor:"3,keyasint,omitempty"`
	Fence  uint64               `cbor:"4,keyasint"`
}

// desiredRow is a row as this lease holder knows it.
type desiredRow struct {
	state    desiredState
	version  uint64
	lastSent time.Time
	tries    int
	// acceptedRole is the role in the last order that the engine accepted from this
	// lease holder; reports do not contain roles.
	acceptedRole string
}

// report is the layers that an engine reports as loaded.
type report struct {
	holds []frame.LoadedLayers
	seq   uint64
}

// Adopt reads the desired states that former lease holders left and rewrites them
// under the current fencing token in one commit. A former holder that resumes after
// that cannot write any of these rows, since their versions have changed. SetDesired
// and Reconcile call Adopt themselves if the rows are not known under the current
// token.
func (r *Reconciler) Adopt(ctx context.Context) error {
	ctx, cancel, fence, err := r.guardLease(ctx)
	if err != nil {
		return err
	}
	defer cancel()
	rows, err := r.loadRows(ctx)
	if err != nil {
		return err
	}
	var writes []store.Write
	for _, id := range sortedIDs(rows) {
		rows[id].state.Fence = fence
		writes = append(writes, r.encodeWrite(rows[id]))
	}
	if len(writes) > 0 {
		version, err := r.commit(ctx, writes)
		if err != nil {
			return err
		}
		for _, row := range rows {
			row.version = version
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unwrittenFence != fence {
		// Desired states of an earlier lease term are out of date.
		r.unwritten = map[spec.UpstreamID]unwrittenState{}
	}
	r.adoptedFence, r.unwrittenFence, r.rows = fence, fence, rows
	return nil
}

// ensureAdopted adopts the rows unless they are known under the current fencing token.
func (r *Reconciler) ensureAdopted(ctx context.Context) error {
	_, cancel, fence, err := r.guardLease(ctx)
	if err != nil {
		return err
	}
	cancel()
	if r.isAdopted(fence) {
		return nil
	}
	return r.Adopt(ctx)
}

func (r *Reconciler) guardLease(ctx context.Context) (context.Context, context.CancelFunc, uint64, error) {
	ctx, cancel, fence, err := r.Lease.Guard(ctx)
	if err != nil {
		return nil, nil, 0, errors.Wrap(ErrLeaseLost, err.Error())
	}
	return ctx, cancel, fence, nil
}

func (r *Reconciler) loadRows(ctx context.Context) (map[spec.UpstreamID]*desiredRow, error) {
	rows := map[spec.UpstreamID]*desiredRow{}
	var decodeErr error
	err := store.ScanAll(ctx, r.Table, r.prefix(), 0, pageRows, func(stored store.Row) {
		row := &desiredRow{version: stored.Version()}
		if err := cbor.Unmarshal(stored.Value(), &row.state); err != nil {
			decodeErr = err
			return
		}
		rows[spec.UpstreamID(row.state.Engine)] = row
	})
	if err == nil {
		err = decodeErr
	}
	if err != nil {
		return nil, errors.Wrap(ErrStoreUnavailable, err.Error())
	}
	return rows, nil
}

// commit writes rows and converts the errors of the table. After a lost response the
// state of the rows is unknown, so the lease holder has to adopt them again.
func (r *Reconciler) commit(ctx context.Context, writes []store.Write) (uint64, error) {
	version, err := r.Table.Commit(ctx, writes)
	switch {
	case err == nil:
		return version, nil
	case errors.Is(err, store.ErrUnavailable):
		return 0, errors.Wrap(ErrStoreUnavailable, err.Error())
	}
	r.mu.Lock()
	r.adoptedFence = 0
	r.mu.Unlock()
	if errors.Is(err, store.ErrConflict) {
		return 0, ErrSuperseded
	}
	return 0, errors.Wrap(ErrStoreUnavailable, err.Error())
}

func (r *Reconciler) encodeWrite(row *desiredRow) store.Write {
	data, err := cbor.Marshal(row.state)
	if err != nil {
		// The row has no field that can fail to encode.
		panic(err)
	}
	return store.Put(r.prefix()+row.state.Engine, row.version, data)
}

func (r *Reconciler) prefix() string { return "order/" + r.Duty + "/" }

func (r *Reconciler) now() time.Time {
	if r.Now == nil {
		return time.Now()
	}
	return r.Now()
}

func sortedIDs(m map[spec.UpstreamID]*desiredRow) []spec.UpstreamID {
	var out []spec.UpstreamID
	for id := range m {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}
