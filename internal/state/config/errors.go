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
	// ErrBadRows means that bytes are not a row or snapshot of this package, or
	// do not fit together.
	ErrBadRows = errors.New("config: bad rows")
	// ErrStoreUnavailable means that the table could not be read or written; a change
	// that ends so had no effect.
	ErrStoreUnavailable = errors.New("config: table out of reach")
)

// Problem is one reason why documents were refused.
type Problem struct {
	File    string
	Section string
	Reason  string
}

// String writes the problem on one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: [%s]: %s", p.File, p.Section, p.Reason)
}

// InvalidError lists all problems of refused documents. Nothing was changed.
type InvalidError struct {
	Problems []Problem
}

// Error lists the problems, one a line.
func (e *InvalidError) Error() string {
	var b strings.Builder
	b.WriteString("config: documents refused")
	for _, p := range e.Problems {
		b.WriteString("\n  " + p.String())
	}
	return b.String()
}

// Winner is a change that came first.
type Winner struct {
	Section string
	Version uint64
	Author  string
	At      time.Time
}

// ConflictError means that others changed some of the same sections after the
// version on which the change was based. Nothing was changed.
type ConflictError struct {
	Winners []Winner
}

// Error names the winners, one a line.
func (e *ConflictError) Error() string {
	var b strings.Builder
	b.WriteString("config: changed by others meanwhile; look at what is in force and apply again")
	for _, w := range e.Winners {
		fmt.Fprintf(&b, "\n  [%s]: version %d by %s at %s", w.Section, w.Version, w.Author, w.At.UTC().Format(time.RFC3339))
	}
	return b.String()
}

// OutcomeUnknownError means that the table stopped answering during the change, which
// may have taken effect or do so yet. History tells, by the change's id.
type OutcomeUnknownError struct {
	ChangeID string
}

// Error names the change.
func (e *OutcomeUnknownError) Error() string {
	return "config: the table stopped answering; look in the history for change " + e.ChangeID
}

func sortedKeys(m map[string]*storedRow) []string { return slices.Sorted(maps.Keys(m)) }
