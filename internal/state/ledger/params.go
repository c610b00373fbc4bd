package ledger

// Params are what an attempt needs to know.
type Params struct {
	Call Call
	// ID names the attempt, unique over the fleet.
	ID string
	// Owner names the incarnation that runs the attempt.
	Owner string
	// Gone reports evidence that the incarnation owner will not answer again.
	Gone func(owner string) bool
	// Polls is how often a row that another attempt holds is read before the
	// caller is told running.
	Polls int
	// Begun says that a call under the key is known to have been begun before.
	Begun bool
	// AskAfter is after how many reads of such a row the upstream is asked; zero
	// asks only once its owner is gone.
	AskAfter int
	// Asks says that the upstream can tell the outcome of a call.
	Asks bool
}
