// Package ledger keeps the records that make a call run at most once.
//
// It imports base/spec and state/store. Package entry calls Do and Look.
//
// One conditional commit writes the record before anything is sent. Whoever
// wrote it sends, once; everybody else reads the record.
package ledger

import (
	"context"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/state/store"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
	"github.com/google/uuid"
)

// Errors of this package.
var (
	// ErrNotSent means that no byte of the call left, so it did not run.
	ErrNotSent = errors.New("ledger: not sent")
	// ErrBody means that the key was used with another body.
	ErrBody = errors.New("ledger: key was used with another body")
	// ErrStore means that the record could not be read or written; a call
	// that ends so was not sent.
	ErrStore = errors.New("ledger: records out of reach")
)

// Table is the part of the platform's table that the ledger needs.
type Table interface {
	Get(ctx context.Context, key string) (store.Row, error)
	Commit(ctx context.Context, writes []store.Write) (uint64, error)
}

// Sender sends a call at most once. ErrNotSent promises that it did not run.
type Sender interface {
	Send(ctx context.Context, c Call) (Answer, error)
}

// Ledger runs calls at most once. Set the exported fields before use.
type Ledger struct {
	Table  Table
	Sender Sender
}

// record is the row of a call. Fields are exported for the codec.
type record struct {
	Sum     uint64 `cbor:"1,keyasint"`
	Attempt string `cbor:"2,keyasint"`
	State   State  `cbor:"3,keyasint"`
	Status  int    `cbor:"4,keyasint,omitempty"`
	Type    string `cbor:"5,keyasint,omitempty"`
	Body    []byte `cbor:"6,keyasint,omitempty"`
}

// Do runs the call unless its record says that it was started before.
func (l *Ledger) Do(ctx context.Context, c Call) (Outcome, error) {
	key := rowKey(c.team, c.class, c.key)
	rec := record{Sum: c.sum(), Attempt: uuid.NewString(), State: StateRunning}
	version, err := l.begin(ctx, key, rec)
	if errors.Is(err, store.ErrConflict) {
		return l.repeat(ctx, c)
	}
	if err != nil {
		return Outcome{}, errors.Wrap(ErrStore, err.Error())
	}
	return l.send(ctx, c, key, rec, version)
}

// Look returns what is known of the call under key.
func (l *Ledger) Look(ctx context.Context, team spec.TeamID, class spec.ClassName, key string) (Outcome, error) {
	rec, err := l.load(ctx, rowKey(team, class, key))
	if errors.Is(err, store.ErrMissing) {
		return Outcome{state: StateNone}, nil
	}
	if err != nil {
		return Outcome{}, errors.Wrap(ErrStore, err.Error())
	}
	return rec.outcome(), nil
}

func (l *Ledger) begin(ctx context.Context, key string, rec record) (uint64, error) {
	data, err := cbor.Marshal(rec)
	if err != nil {
		return 0, errors.Wrap(err, "ledger: encode")
	}
	version, err := l.Table.Commit(ctx, []store.Write{store.Put(key, 0, data)})
	if !errors.Is(err, store.ErrUnsure) {
		return version, err
	}
	return l.readBack(ctx, key, rec.Attempt)
}

// readBack settles a commit whose answer was lost: the call may be sent only
// if the row holds this very attempt.
func (l *Ledger) readBack(ctx context.Context, key, attempt string) (uint64, error) {
	row, err := l.Table.Get(ctx, key)
	if err != nil {
		return 0, err
	}
	var rec record
	if err := cbor.Unmarshal(row.Value(), &rec); err != nil {
		return 0, errors.Wrap(err, "ledger: decode")
	}
	if rec.Attempt != attempt {
		return 0, store.ErrConflict
	}
	return row.Version(), nil
}

func (l *Ledger) send(ctx context.Context, c Call, key string, rec record, version uint64) (Outcome, error) {
	answer, err := l.Sender.Send(ctx, c)
	switch {
	case err == nil:
		rec.State = StateDone
		rec.Status, rec.Type, rec.Body = answer.status, answer.kind, answer.body
	case errors.Is(err, ErrNotSent):
		rec.State = StateNotRun
	default:
		rec.State = StateUnsure
	}
	l.settle(ctx, key, rec, version)
	return rec.outcome(), nil
}

// settle writes the end of a call. If that fails the row stays at running,
// which is true but vague; the caller has its answer already.
func (l *Ledger) settle(ctx context.Context, key string, rec record, version uint64) {
	data, err := cbor.Marshal(rec)
	if err != nil {
		return
	}
	_, _ = l.Table.Commit(context.WithoutCancel(ctx), []store.Write{store.Put(key, version, data)})
}

// repeat answers a call whose record exists.
func (l *Ledger) repeat(ctx context.Context, c Call) (Outcome, error) {
	rec, err := l.load(ctx, rowKey(c.team, c.class, c.key))
	if err != nil {
		return Outcome{}, errors.Wrap(ErrStore, err.Error())
	}
	if rec.Sum != c.sum() {
		return Outcome{}, ErrBody
	}
	return rec.outcome(), nil
}

func (l *Ledger) load(ctx context.Context, key string) (record, error) {
	var rec record
	row, err := l.Table.Get(ctx, key)
	if err != nil {
		return rec, err
	}
	if err := cbor.Unmarshal(row.Value(), &rec); err != nil {
		return rec, errors.Wrap(err, "ledger: decode")
	}
	return rec, nil
}

func (r record) outcome() Outcome {
	return Outcome{state: r.State, answer: NewAnswer(r.Status, r.Type, r.Body)}
}

func rowKey(team spec.TeamID, class spec.ClassName, key string) string {
	return "call/" + string(team) + "/" + string(class) + "/" + key
}
