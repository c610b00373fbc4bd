// Package store is the client of the platform's table and object services.
//
// It imports the standard library, the errors library and x/time/rate. Packages ledger,
// lease, config and order use it through small interfaces of their own.
package store

import (
	"context"

	"github.com/go-faster/errors"
)

// Errors of this package. Callers tell them apart by errors.Is.
var (
	// ErrNotFound means that no row or object has the key.
	ErrNotFound = errors.New("store: missing")
	// ErrConflict means that a condition of a commit did not hold, so the
	// commit had no effect.
	ErrConflict = errors.New("store: conflict")
	// ErrUnavailable means that the service refused or could not be reached before
	// the request left, so it had no effect.
	ErrUnavailable = errors.New("store: down")
	// ErrOutcomeUnknown means that the answer was lost: the commit may have taken
	// effect, and only reading back can tell.
	ErrOutcomeUnknown = errors.New("store: unsure")
)

// Table is the platform's table. Get and Scan may be stale; Commit is the truth.
type Table interface {
	Get(ctx context.Context, key string) (Row, error)
	Scan(ctx context.Context, prefix string, since uint64, limit int) ([]Row, error)
	Commit(ctx context.Context, writes []Write) (uint64, error)
}

// Objects is the platform's object store, for what is too large for a row.
type Objects interface {
	GetObject(ctx context.Context, key string) (Row, error)
	PutObject(ctx context.Context, key string, ifVersion uint64, value []byte) (uint64, error)
}

// Row is a row of the table. Versions rise with each commit over the whole
// table, so a version also orders rows among each other.
type Row struct {
	key     string
	version uint64
	value   []byte
}

// NewRow returns a row.
func NewRow(key string, version uint64, value []byte) Row {
	return Row{key: key, version: version, value: value}
}

// Key is the row's key.
func (r Row) Key() string { return r.key }

// Version is the version of the commit that last wrote the row.
func (r Row) Version() uint64 { return r.version }

// Value is the row's content.
func (r Row) Value() []byte { return r.value }

// Write is one conditional write of a commit. The row must have the version
// If; zero means that it must not exist. A commit takes effect whole or not
// at all.
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
// nothing and makes sure that there is no row.
func Remove(key string, ifVersion uint64) Write {
	return Write{key: key, ifVersion: ifVersion, remove: true}
}

// Key is the key of the row to write.
func (w Write) Key() string { return w.key }

// IfVersion is the version that the row must have.
func (w Write) IfVersion() uint64 { return w.ifVersion }

// Value is the new content.
func (w Write) Value() []byte { return w.value }

// Removes reports whether the row is to go.
func (w Write) Removes() bool { return w.remove }
