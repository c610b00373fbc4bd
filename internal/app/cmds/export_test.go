package cmds

// HandleSignals and NewRoot are exported for the tests of this package only.
var (
	HandleSignals = handleSignals
	NewRoot       = newRoot
)
