// Package pick chooses the chain of engines for a request by predicted finish.
//
// It imports base/spec and route/domain. Package core calls it for requests
// that were admitted or whose stage was lost. RoundRobin and Least are naive
// choosers that tests and benches compare with.
package pick

import (
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
)

// ChunkPositions is how many prompt positions an engine is taken to run in the time of
// one token. What it really is shows in the first-token times, from which
// admission learns its margin.
const ChunkPositions = 32

// Query is what a chain is wanted for.
type Query struct {
	// MaxUtilization is the part of an engine's capacity up to which it takes new work.
	MaxUtilization float64
	// RemainingTokens is how many tokens are expected still.
	RemainingTokens int
	// Solo, if set, tells where a poison suspect may run.
	AllowsSuspect func(engine spec.UpstreamID) bool
}

// Choice is a chain with whether its engines have room for it.
type Choice struct {
	Plan domain.Plan
	Fits bool
}

// Chooser chooses chains.
type Chooser interface {
	// Choose reports false if no set of usable engines covers the model.
	Choose(w *domain.RoutingState, r *domain.Request, ask Query) (Choice, bool)
}

// prefillPositions is how many positions a stage without state must run first.
func prefillPositions(r *domain.Request) int { return r.Arrival().PromptTokens + r.Tokens() }

func chunkCount(positions int) time.Duration {
	return time.Duration(max(1, (positions+ChunkPositions-1)/ChunkPositions))
}
