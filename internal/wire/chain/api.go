package chain

import (
	"context"
	"time"

	"fulmarwick/internal/base/frame"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"

	"github.com/go-faster/errors"
)

// Opener opens streams on engines. Its errors are those of wire/engine.
type Opener interface {
	Open(ctx context.Context, id spec.UpstreamID, req string, try uint32, from int) (frame.Stream, error)
}

// Mover copies the KV cache that want names from one engine to another, under
// want.Try, and returns how many positions the cache holds.
type Mover interface {
	Move(ctx context.Context, from, to spec.UpstreamID, want frame.KV) (int, error)
}

// Router takes events and gives the decisions for one request.
type Router interface {
	Post(ev domain.Event)
	Watch(id spec.RequestID) <-chan domain.Command
	Unwatch(id spec.RequestID)
}

// Token is one piece of an answer.
type Token struct {
	Index int
	Text  string
}

// Sink receives tokens in order, each index once.
type Sink func(Token) error

// RefusedError is the final answer to a request that the logic gave up on.
type RefusedError struct {
	Reason domain.Reason
	After  time.Duration
	Ran    bool
}

// Error names the reason.
func (r *RefusedError) Error() string { return "chain: refused: " + r.Reason.String() }

// ForwardError says that another instance shall run the request.
type ForwardError struct {
	To spec.InstanceID
}

// Error names the instance.
func (f *ForwardError) Error() string { return "chain: forwarded to " + string(f.To) }

// stageLostError says which stage the routing logic must replace.
type stageLostError struct {
	engine spec.UpstreamID
	cause  domain.Cause
}

func (l *stageLostError) Error() string {
	return "chain: stage on " + string(l.engine) + " lost: " + l.cause.String()
}

// errStageReset means that a stage was set up anew and the loop goes on with it.
var errStageReset = errors.New("chain: stage set up anew")

// errNoProgress means that no stage can go on though the answer is not whole; it
// is a fault of this package.
var errNoProgress = errors.New("chain: no stage can go on")

// Job is a request for model work.
type Job struct {
	Arrived domain.RequestArrived
	Text    string
}

// Result says how a finished answer ended.
type Result struct {
	Tokens int
	// Stop is true if the model ended the answer, false at the token limit.
	Stop bool
}
