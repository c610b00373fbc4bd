package engine

import (
	"context"
	"strings"

	"fulmarwick/internal/base/frame"

	"github.com/go-faster/errors"
)

// Stream is one request's state on one engine. One goroutine uses it.
type Stream struct {
	conn *Conn
	at   route
	in   chan *frame.Reply
}

// Send sends a step; the request, attempt and first layer are the stream's.
func (s *Stream) Send(step *frame.Step) error {
	step.Req = s.at.req
	step.Try = s.at.try
	step.From = s.at.from
	return s.conn.send(step)
}

// Recv returns the next reply of this stream.
func (s *Stream) Recv(ctx context.Context) (*frame.Reply, error) {
	select {
	case r := <-s.in:
		return r, nil
	default:
	}
	select {
	case r := <-s.in:
		return r, nil
	case <-s.conn.closed:
		return nil, ErrBroken
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "engine: wait")
	}
}

// Close drops the stream and the engine's state for it.
func (s *Stream) Close() {
	s.conn.forget(s.at)
	_ = s.Send(&frame.Step{Verb: frame.VerbCancel})
}

func wsURL(base string) string {
	base = strings.TrimSuffix(base, "/")
	if rest, ok := strings.CutPrefix(base, "https://"); ok {
		return "wss://" + rest
	}
	if rest, ok := strings.CutPrefix(base, "http://"); ok {
		return "ws://" + rest
	}
	return "ws://" + base
}
