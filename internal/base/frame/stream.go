package frame

import (
	"context"
	"time"
)

// Stream gives access to the state of one request on one engine. It is for use by a
// single goroutine.
type Stream interface {
	// Send queues a step. The stream supplies the request, the attempt and the first
	// layer. Send keeps no reference to s. If the connection breaks later, Recv
	// returns the error.
	Send(s *Step) error
	// Recv reads the next reply for this state into r. It waits for at most timeout;
	// with a timeout of zero or less it waits until ctx is done.
	Recv(ctx context.Context, timeout time.Duration, r *Reply) error
	// Incarnation returns the engine's incarnation. It changes when the engine
	// restarts and loses its request states.
	Incarnation() uint64
	// Leave closes the stream but keeps the state on the engine, so that the stream
	// can be opened again.
	Leave()
	// Close closes the stream and deletes the state on the engine.
	Close()
}
