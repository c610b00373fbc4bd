package ledger

// Params are what an attempt needs to know.
type Params struct {
	Call Call
	// ID names the attempt, unique over the fleet.
	ID string
	// Owner names the incarnation that runs the attempt.
	Owner string
	// HasExited reports evidence that the incarnation owner will not answer again.
	HasExited func(owner string) bool
	// MaxPolls is how often a row that another attempt holds is read before the
	// caller is told running.
	MaxPolls int
	// SeenBefore says that a call under the key is known to have been begun before.
	SeenBefore bool
	// PollsBeforeQuery is after how many reads of such a row the upstream is asked; zero
	// asks only once its owner is gone.
	PollsBeforeQuery int
	// SupportsOutcomes says that the upstream can tell the outcome of a call.
	SupportsOutcomes bool
}
