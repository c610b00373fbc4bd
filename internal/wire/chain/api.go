package chain

import (
	"context"
	"time"

	"fulmarwick/internal/base/frame"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"

	"github.com/go-faster/errors"
)

// Opener opens streams on engines. It returns the errors of package engine.
type Opener interface {
	Open(ctx context.Context, id spec.UpstreamID, req string, try uint32, from int) (frame.Stream, error)
}

// Mover copies the KV cache named by want from one engine to another, where it
// is stored under want.Try. It returns the number of positions in the cache.
type Mover interface {
	Move(ctx context.Context, from, to spec.UpstreamID, want frame.KV) (int, error)
}

// Router accepts events and delivers the routing commands of one request.
type Router interface {
	Post(ev domain.Event)
	Watch(id spec.RequestID) <-chan domain.Command
	Unwatch(id spec.RequestID)
}

// Token is one piece of generated text and its index in the answer.
type Token struct {
	Index int
	Text  string
}

// Sink receives the tokens in order, each index once.
type Sink func(Token) error

// RefusedError is returned for a request that the routing logic refused. Ran
// reports whether some of it may have run.
type RefusedError struct {
	Reason     domain.Reason
	RetryAfter time.Duration
	Ran        bool
}

// Error includes the reason.
func (r *RefusedError) Error() string { return "chain: refused: " + r.Reason.String() }

// ForwardError is returned for a request that another instance must run.
type ForwardError struct {
	To spec.InstanceID
}

// Error includes the instance.
func (f *ForwardError) Error() string { return "chain: forwarded to " + string(f.To) }

// stageLostError names the engine of a stage that the routing logic must
// replace.
type stageLostError struct {
	engine spec.UpstreamID
	cause  domain.Cause
}

func (l *stageLostError) Error() string {
	return "chain: stage on " + string(l.engine) + " lost: " + l.cause.String()
}

// errStageReset means that a stage was reset and the loop must continue with
// it.
var errStageReset = errors.New("chain: stage was reset")

// errNoProgress means that no stage has a step to run although the answer is
// incomplete. It indicates a bug in this package.
var errNoProgress = errors.New("chain: no stage can make progress")

// Job is a request to run a model.
type Job struct {
	Arrived domain.RequestArrived
	Text    string
}

// Result describes a finished answer.
type Result struct {
	Tokens int
	// Stop is true if the model ended the answer, and false if the token limit
	// ended it.
	Stop bool
}
