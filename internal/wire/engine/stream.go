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
	key   streamKey
	ready chan struct{}
	timer *time.Timer

	mu         sync.Mutex
	queue      []frame.Reply
	head       int
	overflowed bool
	seq        uint64
	sentAt     time.Time
}

var _ frame.Stream = (*Stream)(nil)

func newStream(c *Conn, at streamKey) *Stream {
	return &Stream{conn: c, key: at, ready: make(chan struct{}, 1)}
}

// Send queues a step; the request, attempt and first layer are the stream's.
func (s *Stream) Send(step *frame.Step) error {
	step.Req = s.key.req
	step.Try = s.key.try
	step.From = s.key.from
	s.mu.Lock()
	s.seq, s.sentAt = step.Seq, time.Now()
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
	late := s.startTimer(within)
	defer s.stopTimer()
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
			return ErrTimeout
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "engine: wait")
		}
		if ok, err := s.pop(r); ok || err != nil {
			return err
		}
	}
}

func (s *Stream) startTimer(within time.Duration) <-chan time.Time {
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

func (s *Stream) stopTimer() {
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
	if s.overflowed {
		s.overflowed = false
		return false, ErrOverflow
	}
	return false, nil
}

// put queues r. When the reader is too far behind, r and all after it are
// dropped until the reader has seen ErrMissed: a gap in the middle would only
// be asked for again.
func (s *Stream) put(r *frame.Reply) {
	s.mu.Lock()
	s.recordHop(r)
	switch {
	case s.overflowed:
	case len(s.queue)-s.head >= streamReplies:
		s.overflowed = true
		s.conn.meters.overflows.Inc()
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

// recordHop takes the hop time of the step that r answers first.
func (s *Stream) recordHop(r *frame.Reply) {
	if r.Seq != s.seq || s.sentAt.IsZero() {
		return
	}
	hop := time.Since(s.sentAt) - time.Duration(r.Took)*time.Microsecond
	s.sentAt = time.Time{}
	s.conn.hops.record(max(0, hop))
}

// Leave drops the stream and keeps the engine's state.
func (s *Stream) Leave() { s.conn.remove(s) }

// Close drops the stream and the engine's state for it. An engine whose
// connection broke drops the state by itself after its grace time.
func (s *Stream) Close() {
	s.conn.remove(s)
	step := frame.Step{Verb: frame.VerbCancel, Req: s.key.req, Try: s.key.try, From: s.key.from}
	_ = s.conn.out.add(&step)
}
