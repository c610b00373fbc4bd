// Package store is the client of the platform's table and object services.
//
// Besides the standard library it imports only third-party libraries, for errors,
// metrics and rate limits. Packages ledger, lease, config and order use it through
// small interfaces of their own.
package store

import (
	"context"

	"github.com/go-faster/errors"
)

// Errors of this package. Callers distinguish them with errors.Is.
var (
	// ErrNotFound means that no row or object has the key.
	ErrNotFound = errors.New("store: not found")
	// ErrConflict means that a condition of a commit did not hold, so the
	// commit had no effect.
	ErrConflict = errors.New("store: conflict")
	// ErrUnavailable means that the service rejected the request, or that it was
	// not sent because the service was unreachable. It had no effect.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrOutcomeUnknown means that the response was lost. The commit may have
	// taken effect, which only a read can show.
	ErrOutcomeUnknown = errors.New("store: outcome unknown")
)

// Table is the platform's table. Get and Scan may return stale rows; the conditions
// of Commit are checked against the current rows.
type Table interface {
	Get(ctx context.Context, key string) (Row, error)
	Scan(ctx context.Context, prefix string, since uint64, limit int) ([]Row, error)
	Commit(ctx context.Context, writes []Write) (uint64, error)
}

// Objects is the platform's object store, for values that are too large for a row.
type Objects interface {
	GetObject(ctx context.Context, key string) (Row, error)
	PutObject(ctx context.Context, key string, ifVersion uint64, value []byte) (uint64, error)
}

// Row is a row of the table. The version increases with each commit to the table,
// so versions also give the order in which different rows changed.
type Row struct {
	key     string
	version uint64
	value   []byte
}

// NewRow returns a row.
func NewRow(key string, version uint64, value []byte) Row {
	return Row{key: key, version: version, value: value}
}

// Key returns the row's key.
func (r Row) Key() string { return r.key }

// Version returns the version of the commit that last wrote the row.
func (r Row) Version() uint64 { return r.version }

// Value returns the row's content.
func (r Row) Value() []byte { return r.value }

// Write is one conditional write of a commit. The row must have the version
// IfVersion; zero means that it must not exist. A commit applies all of its
// writes or none.
type Write struct {
	key       string
	ifVersion uint64
	value     []byte
	remove    bool
}

// Put returns a write that stores value.
func Put(key string, ifVersion uint64, value []byte) Write {
	return Write{key: key, ifVersion: ifVersion, value: value}
}

// Remove returns a write that removes the row. With version zero it changes
// nothing and only checks that there is no row.
func Remove(key string, ifVersion uint64) Write {
	return Write{key: key, ifVersion: ifVersion, remove: true}
}

// Key returns the key of the row to write.
func (w Write) Key() string { return w.key }

// IfVersion returns the version that the row must have.
func (w Write) IfVersion() uint64 { return w.ifVersion }

// Value returns the new content.
func (w Write) Value() []byte { return w.value }

// Removes reports whether the write removes the row.
func (w Write) Removes() bool { return w.remove }
