// Package pick chooses the chain of engines for a request by the predicted time
// to finish it.
//
// It imports base/spec and route/domain. Package core calls it for requests
// that were admitted and for requests that lost a stage. RoundRobin and
// LeastLoaded are naive choosers that tests and benchmarks compare with.
package pick

import (
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
)

// ChunkPositions is how many prompt positions an engine is assumed to process
// in the time of one token. Differences from the actual number show in the
// first-token times, from which admission learns its margin.
const ChunkPositions = 32

// Query describes the requirements on a chain.
type Query struct {
	// MaxUtilization is the share of an engine's capacity up to which it takes
	// new work.
	MaxUtilization float64
	// RemainingTokens is the expected number of tokens still to generate.
	RemainingTokens int
	// AllowsSuspect, if set, reports whether a request that is suspected of
	// crashing engines may run on the engine.
	AllowsSuspect func(engine spec.UpstreamID) bool
	// AllowsSilent is set if engines may be chosen that do not answer now, or
	// that did not answer this request in time before.
	AllowsSilent bool
}

// Choice is a chain and whether its engines have the capacity for it.
type Choice struct {
	Plan domain.Plan
	Fits bool
}

// Chooser chooses a chain for a request.
type Chooser interface {
	// Choose returns false if no set of usable engines covers the model.
	Choose(w *domain.RoutingState, r *domain.Request, query Query) (Choice, bool)
}

// prefillPositions returns how many positions a stage without KV state must
// process first.
func prefillPositions(r *domain.Request) int { return r.Arrival().PromptTokens + r.Tokens() }

func chunkCount(positions int) time.Duration {
	return time.Duration(max(1, (positions+ChunkPositions-1)/ChunkPositions))
}
