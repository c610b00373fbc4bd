package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Errors of this package.
var (
	// ErrBadRows means that the bytes are not a row or a snapshot of this package,
	// or that the rows are not consistent with each other.
	ErrBadRows = errors.New("config: bad rows")
	// ErrStoreUnavailable means that the table could not be read or written. A
	// change that fails with it had no effect.
	ErrStoreUnavailable = errors.New("config: table unavailable")
)

// Problem is one reason why documents were rejected.
type Problem struct {
	File    string
	Section string
	Reason  string
}

// String returns the problem as one line of text.
func (p Problem) String() string {
	return fmt.Sprintf("%s: [%s]: %s", p.File, p.Section, p.Reason)
}

// InvalidError holds all problems of rejected documents. Nothing was changed.
type InvalidError struct {
	Problems []Problem
}

// Error lists the problems, one per line.
func (e *InvalidError) Error() string {
	var b strings.Builder
	b.WriteString("config: documents refused")
	for _, p := range e.Problems {
		b.WriteString("\n  " + p.String())
	}
	return b.String()
}

// Winner is a change that took effect first and caused a conflict.
type Winner struct {
	Section string
	Version uint64
	Author  string
	At      time.Time
}

// ConflictError means that other changes modified some of the same sections after
// the version on which the change was based. Nothing was changed.
type ConflictError struct {
	Winners []Winner
}

// Error lists the winners, one per line.
func (e *ConflictError) Error() string {
	var b strings.Builder
	b.WriteString("config: changed by others meanwhile; look at what is in force and apply again")
	for _, w := range e.Winners {
		fmt.Fprintf(&b, "\n  [%s]: version %d by %s at %s", w.Section, w.Version, w.Author, w.At.UTC().Format(time.RFC3339))
	}
	return b.String()
}

// OutcomeUnknownError means that the table stopped answering during the change. The
// change may have taken effect, or may still do so. The history shows it under the
// change's ID.
type OutcomeUnknownError struct {
	ChangeID string
}

// Error returns a message with the ID of the change.
func (e *OutcomeUnknownError) Error() string {
	return "config: the table stopped answering; look in the history for change " + e.ChangeID
}

func sortedKeys(m map[string]*storedRow) []string { return slices.Sorted(maps.Keys(m)) }
