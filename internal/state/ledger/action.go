package ledger

import "fulmarwick/internal/state/store"

//go:generate stringer -type=ActionKind -linecomment -output=actionkind_string.go

// ActionKind is the kind of step that an attempt needs next.
type ActionKind int

// The kinds of action.
const (
	// ActEnd means that the attempt is finished.
	ActEnd ActionKind = iota // end
	// ActCommit commits the write. The result holds the new version or the error.
	ActCommit // commit
	// ActRead reads the row. The result holds the row or the error.
	ActRead // read
	// ActSend sends the call once. The result holds the answer or the error.
	ActSend // send
	// ActQuery asks the upstream for the outcome of the call. The result holds
	// the answer, or an error if the upstream knows no outcome.
	ActQuery // ask
	// ActWait waits before the next read of a row that another attempt holds.
	ActWait // wait
	// ActRetry waits before the next background retry against the store.
	ActRetry // retry
)

// Action is one step for the caller of Attempt.NextAction to perform.
type Action struct {
	kind    ActionKind
	write   store.Write
	retries int
}

// Kind returns the kind of the step.
func (a Action) Kind() ActionKind { return a.kind }

// Write returns the write that ActCommit commits.
func (a Action) Write() store.Write { return a.write }

// Retries returns how many ActWait or ActRetry steps came before this one.
func (a Action) Retries() int { return a.retries }

// Result is the result of an action. Only Err and the field for the action's
// kind are set. Err is an error of this package or of package store.
type Result struct {
	Version uint64
	Row     store.Row
	Answer  Answer
	Err     error
}
