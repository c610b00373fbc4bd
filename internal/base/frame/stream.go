package frame

import (
	"context"
	"time"
)

// Stream is one request's state on one engine. One goroutine uses it.
type Stream interface {
	// Send queues a step; the request, attempt and first layer are the
	// stream's. It keeps nothing of s. A connection that breaks later shows
	// in Recv.
	Send(s *Step) error
	// Recv reads the next reply of this state into r and waits for it at most
	// within; zero or less waits as long as ctx.
	Recv(ctx context.Context, within time.Duration, r *Reply) error
	// Incarnation changes when the engine restarted without its states.
	Incarnation() uint64
	// Leave drops the stream and keeps the engine's state, to open it again.
	Leave()
	// Close drops the stream and the engine's state.
	Close()
}
