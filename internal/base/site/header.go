package site

import (
	"time"

	"fulmarwick/internal/base/spec"
)

// RequestHeader holds the values of the headers of a caller's request.
type RequestHeader struct {
	ID string
	// Timeout is how long the caller waits, counted from when it sent the request; zero if
	// the header is missing.
	Timeout time.Duration
	// Key is the caller's API key.
	Key   string
	Model string
	// PromptTokens is the number of prompt tokens; zero if the header is missing.
	PromptTokens int
	// MaxTokens is the maximum number of tokens of the answer; zero if the header is missing.
	MaxTokens int
	// LengthHint is the caller's estimate of the number of tokens of the answer; zero if the
	// header is missing.
	LengthHint int
	// LastEventID is the ID of the last event that the caller received; zero means none.
	LastEventID int
	// PromptParts holds the IDs of the parts of the prompt in order. Requests share parts; the
	// last one belongs to the request or to its session. It is empty if the header is missing
	// or malformed.
	PromptParts []string
}

// SharedParts returns the IDs of the parts of the prompt that other requests may share.
func (h RequestHeader) SharedParts() []string { return h.PromptParts[:max(0, len(h.PromptParts)-1)] }

// ForwardHeader holds the values that the router adds to the headers of a request to an
// upstream.
type ForwardHeader struct {
	// Expect is the upstream that the request is for. An upstream with another ID at the same
	// address must refuse it.
	Expect spec.UpstreamID
	// Remaining is the time left until the caller's deadline.
	Remaining time.Duration
	// Team is the team that holds the caller's API key; empty for routes without keys.
	Team string
	// Path lists the engines of a model request in order; empty for a plain request.
	Path []Hop
	// LastEventID is the ID of the last event that the upstream need not send again; zero
	// means none.
	LastEventID int
	// Urgency is the rank of the request among those of an engine; 0 runs first.
	Urgency int
}

// Hop is one engine of a path and the layers that it runs.
type Hop struct {
	Address string
	Layers  spec.Layers
}

// ResponseHeader holds what the status and headers of an upstream's response report.
type ResponseHeader struct {
	// RequestID is the ID of the answered request; empty if the header is missing.
	RequestID string
	// NotExecuted reports that the upstream did not run the request and never will.
	NotExecuted bool
	// Moved reports that another upstream now has the address.
	Moved bool
	// Sealed reports that the response comes from an upstream itself and may be passed on
	// unchanged.
	Sealed bool
	// FailedAddress is the address of the engine later on the path that caused a failure.
	FailedAddress string
	// Load is the load that the upstream reports; nil if it reports none.
	Load *Load
	// Notice is what the upstream says about later requests to it.
	Notice Notice
}

// Notice is what an upstream says in an answer about later requests to it.
type Notice struct {
	// Leaving reports that the upstream will exit and wants no new requests.
	Leaving bool
	// Backoff is for how long the upstream wants no requests from this instance; zero if it
	// asks for none.
	Backoff time.Duration
	// RateLimit is how many requests a second the upstream takes from all instances
	// together, for as long as it says so; zero if it names no limit.
	RateLimit float64
}

// Load is the number of requests that an upstream reports to run and to queue, and its slots.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Order is a load order: the layers that an engine has to load.
type Order struct {
	// Engine is the engine that the order is for. If another engine has its address by now,
	// possibly with another amount of memory, that engine refuses the order.
	Engine spec.UpstreamID
	Layers spec.Layers
	// FencingToken is the fencing token of the lease under which the order is sent.
	FencingToken uint64
	// ExpectedOrders is the number of orders that the engine must have accepted before this
	// one. An order that arrives late finds a higher number and changes nothing.
	ExpectedOrders int
}

// Repath orders the first engine of a running request to continue it on another path.
type Repath struct {
	Engine  spec.UpstreamID
	Request string
	Path    []Hop
}
