package site

import (
	"time"

	"fulmarwick/internal/base/spec"
)

// RequestHeader is what the headers of a caller's request say.
type RequestHeader struct {
	ID string
	// Timeout is how long the caller waits, from when it sent the request;
	// zero if it does not say.
	Timeout time.Duration
	Key     string
	Model   string
	// PromptTokens is the number of prompt tokens, Most the most tokens of the
	// answer, Hint the caller's guess of these; zero if it does not say.
	PromptTokens int
	MaxTokens    int
	LengthHint   int
	// LastEventID is the ID of the last event that the caller has; zero is none.
	LastEventID int
}

// ForwardHeader is what the router adds to a request for one upstream.
type ForwardHeader struct {
	// Expect is the upstream that it is meant for.
	Expect spec.UpstreamID
	// Remaining is how much time the caller leaves.
	Remaining time.Duration
	// Team holds the caller's key; empty for a route without keys.
	Team string
	// Path is the engines of a model request, in order; empty for plain ones.
	Path []Hop
	// LastEventID is the last event that need not be sent again; zero is none.
	LastEventID int
	// Urgency is the rank among the requests of an engine, 0 first.
	Urgency int
}

// Hop is one engine of a path and the layers that it runs.
type Hop struct {
	Address string
	Layers  spec.Layers
}

// ResponseHeader is what the head of an upstream's answer says.
type ResponseHeader struct {
	// RequestID is the request that it answers, empty if it does not say.
	RequestID string
	// NotExecuted means that the upstream did not run the request and never will.
	NotExecuted bool
	// Moved means that another upstream has the address.
	Moved bool
	// Sealed answers come from an upstream and may be passed on as they are.
	Sealed bool
	// FailedAddress is the address of the engine further on that is to blame.
	FailedAddress string
	// Load is what the upstream says of its load; nil if it does not.
	Load *Load
}

// Load is an upstream's own count of its requests.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Order tells an engine which layers to hold.
type Order struct {
	// Engine is the engine that is meant. One that has its address by now, with
	// another memory perhaps, refuses.
	Engine spec.UpstreamID
	Layers spec.Layers
	// FencingToken is the number of the lease under which the order is given.
	FencingToken uint64
	// ExpectedOrders is the count of orders that the engine must have accepted, so
	// that one carried out late finds a newer count and changes nothing.
	ExpectedOrders int
}

// Repath tells the first engine of a request to go on over another path.
type Repath struct {
	Engine  spec.UpstreamID
	Request string
	Path    []Hop
}
