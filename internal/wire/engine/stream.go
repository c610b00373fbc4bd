package engine

import (
	"context"
	"sync"
	"time"

	"fulmarwick/internal/base/frame"

	"github.com/go-faster/errors"
)

// streamReplies bounds the replies that wait for one stream's reader.
const streamReplies = 256

// Stream is one request's state on one engine. One goroutine uses it.
type Stream struct {
	conn  *Conn
	at    route
	ready chan struct{}
	timer *time.Timer

	mu     sync.Mutex
	queue  []frame.Reply
	head   int
	missed bool
	seq    uint64
	sent   time.Time
}

var _ frame.Stream = (*Stream)(nil)

func newStream(c *Conn, at route) *Stream {
	return &Stream{conn: c, at: at, ready: make(chan struct{}, 1)}
}

// Send queues a step; the request, attempt and first layer are the stream's.
func (s *Stream) Send(step *frame.Step) error {
	step.Req = s.at.req
	step.Try = s.at.try
	step.From = s.at.from
	s.mu.Lock()
	s.seq, s.sent = step.Seq, time.Now()
	s.mu.Unlock()
	s.conn.meters.steps.Inc()
	return s.conn.out.add(step)
}

// Incarnation is the engine's, as of when the connection was made.
func (s *Stream) Incarnation() uint64 { return s.conn.incarnation }

// Recv reads the next reply of this stream into r. ErrBroken, ErrLate and
// ErrMissed say that none came.
func (s *Stream) Recv(ctx context.Context, within time.Duration, r *frame.Reply) error {
	if ok, err := s.pop(r); ok || err != nil {
		return err
	}
	late := s.alarm(within)
	defer s.quiet()
	for {
		select {
		case <-s.ready:
		case <-s.conn.closed:
			// What arrived before the connection broke still counts.
			if ok, err := s.pop(r); ok || err != nil {
				return err
			}
			return ErrBroken
		case <-late:
			return ErrLate
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "engine: wait")
		}
		if ok, err := s.pop(r); ok || err != nil {
			return err
		}
	}
}

func (s *Stream) alarm(within time.Duration) <-chan time.Time {
	if within <= 0 {
		return nil
	}
	if s.timer == nil {
		s.timer = time.NewTimer(within)
	} else {
		s.timer.Reset(within)
	}
	return s.timer.C
}

func (s *Stream) quiet() {
	if s.timer != nil {
		s.timer.Stop()
	}
}

func (s *Stream) pop(r *frame.Reply) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.head < len(s.queue) {
		*r = s.queue[s.head]
		s.queue[s.head] = frame.Reply{}
		s.head++
		if s.head == len(s.queue) {
			s.queue, s.head = s.queue[:0], 0
		}
		return true, nil
	}
	if s.missed {
		s.missed = false
		return false, ErrMissed
	}
	return false, nil
}

// put queues r. When the reader is too far behind, r and all after it are
// dropped until the reader has seen ErrMissed: a gap in the middle would only
// be asked for again.
func (s *Stream) put(r *frame.Reply) {
	s.mu.Lock()
	s.timed(r)
	switch {
	case s.missed:
	case len(s.queue)-s.head >= streamReplies:
		s.missed = true
		s.conn.meters.missed.Inc()
	default:
		s.push(r)
	}
	s.mu.Unlock()
	select {
	case s.ready <- struct{}{}:
	default:
	}
}

func (s *Stream) push(r *frame.Reply) {
	if len(s.queue) == cap(s.queue) && s.head > 0 {
		n := copy(s.queue, s.queue[s.head:])
		clear(s.queue[n:])
		s.queue, s.head = s.queue[:n], 0
	}
	s.queue = append(s.queue, *r)
}

// timed takes the hop time of the step that r answers first.
func (s *Stream) timed(r *frame.Reply) {
	if r.Seq != s.seq || s.sent.IsZero() {
		return
	}
	hop := time.Since(s.sent) - time.Duration(r.Took)*time.Microsecond
	s.sent = time.Time{}
	s.conn.hops.record(max(0, hop))
}

// Leave drops the stream and keeps the engine's state.
func (s *Stream) Leave() { s.conn.forget(s) }

// Close drops the stream and the engine's state for it. An engine whose
// connection broke drops the state by itself after its grace time.
func (s *Stream) Close() {
	s.conn.forget(s)
	step := frame.Step{Verb: frame.VerbCancel, Req: s.at.req, Try: s.at.try, From: s.at.from}
	_ = s.conn.out.add(&step)
}
