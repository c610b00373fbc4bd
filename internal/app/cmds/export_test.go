package cmds

// Heed, NewRoot and the parts that tests drive by themselves.
var (
	HandleSignals = handleSignals
	NewRoot       = newRoot
)
