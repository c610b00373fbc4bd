package ledger

import "fulmarwick/internal/state/store"

//go:generate stringer -type=ActionKind -linecomment -output=actionkind_string.go

// ActionKind says what an attempt wants done next.
type ActionKind int

// The kinds of action.
const (
	// ActEnd means that the attempt needs nothing more.
	ActEnd ActionKind = iota // end
	// ActCommit commits the write; the result has the version or the error.
	ActCommit // commit
	// ActRead reads the row; the result has the row or the error.
	ActRead // read
	// ActSend sends the call once; the result has the answer or the error.
	ActSend // send
	// ActQuery asks the upstream for the outcome of the call; the result has the
	// answer, or any error if the upstream knows none.
	ActQuery // ask
	// ActWait waits before the next read of a row that somebody else changes.
	ActWait // wait
	// ActRetry waits before the store is tried again in the background.
	ActRetry // retry
)

// Action is one step that an attempt wants done.
type Action struct {
	kind    ActionKind
	write   store.Write
	retries int
}

// Kind says what is to be done.
func (a Action) Kind() ActionKind { return a.kind }

// Write is what ActCommit commits.
func (a Action) Write() store.Write { return a.write }

// Retries is how often ActWait or ActRetry was asked for before.
func (a Action) Retries() int { return a.retries }

// Result is how an action ended. Only the field that the action's kind names
// is set; Err is from this package or from package store.
type Result struct {
	Version uint64
	Row     store.Row
	Answer  Answer
	Err     error
}
