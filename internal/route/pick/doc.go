// Package pick chooses the chain of engines for a request by predicted finish.
//
// It imports base/spec and route/world. Package core calls it for requests
// that were admitted or whose stage was lost. RoundRobin and Least are naive
// choosers that tests and benches compare with.
package pick

import (
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/world"
)

// Chunk is how many prompt positions an engine is taken to run in the time of
// one token. What it really is shows in the first-token times, from which
// admission learns its margin.
const Chunk = 32

// Ask is what a chain is wanted for.
type Ask struct {
	// Limit is the part of an engine's capacity up to which it takes new work.
	Limit float64
	// Out is how many tokens are expected still.
	Out int
	// Solo, if set, tells where a poison suspect may run.
	Solo func(engine spec.UpstreamID) bool
}

// Choice is a chain with whether its engines have room for it.
type Choice struct {
	Plan world.Plan
	Fits bool
}

// Chooser chooses chains.
type Chooser interface {
	// Choose reports false if no set of usable engines covers the model.
	Choose(w *world.World, r *world.Request, ask Ask) (Choice, bool)
}

// positions is how many positions a stage without state must run first.
func positions(r *world.Request) int { return r.Arrived().Prompt + r.Tokens() }

func chunks(positions int) time.Duration {
	return time.Duration(max(1, (positions+Chunk-1)/Chunk))
}
