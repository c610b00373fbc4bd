package ledger

// Params are the parameters of an attempt.
type Params struct {
	Call Call
	// ID identifies the attempt; it is unique in the fleet.
	ID string
	// Owner is the name of the incarnation that runs the attempt.
	Owner string
	// HasExited reports whether there is evidence that the incarnation owner will
	// never answer again.
	HasExited func(owner string) bool
	// MaxPolls is how often a row that another attempt holds is polled before
	// running is reported to the caller.
	MaxPolls int
	// SeenBefore is set if a call with the key is known to have been started before.
	SeenBefore bool
	// PollsBeforeQuery is the number of polls of a row that another attempt holds
	// before the upstream is queried. With zero the upstream is queried only once
	// the owner has exited.
	PollsBeforeQuery int
	// SupportsOutcomes is set if the upstream can report the outcome of a call.
	SupportsOutcomes bool
}
