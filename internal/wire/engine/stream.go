package engine

import (
	"context"
	"sync"
	"time"

	"fulmarwick/internal/base/frame"

	"github.com/go-faster/errors"
)

// streamReplies bounds the replies queued for the reader of one stream.
const streamReplies = 256

// Stream is the state of one request on one engine. Only one goroutine may use
// it.
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

func newStream(c *Conn, key streamKey) *Stream {
	return &Stream{conn: c, key: key, ready: make(chan struct{}, 1)}
}

// Send queues a step. It sets the request, Try and first layer of the step to
// those of the stream.
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

// Incarnation returns the incarnation of the engine at the time the connection
// was made.
func (s *Stream) Incarnation() uint64 { return s.conn.incarnation }

// Recv stores the next reply of this stream in r. It returns ErrBroken,
// ErrTimeout or ErrOverflow if there is none.
func (s *Stream) Recv(ctx context.Context, within time.Duration, r *frame.Reply) error {
	if ok, err := s.pop(r); ok || err != nil {
		return err
	}
	timeout := s.startTimer(within)
	defer s.stopTimer()
	for {
		select {
		case <-s.ready:
		case <-s.conn.closed:
			// Replies that arrived before the connection broke are still
			// returned.
			if ok, err := s.pop(r); ok || err != nil {
				return err
			}
			return ErrBroken
		case <-timeout:
			return ErrTimeout
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "engine: wait for a reply")
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

// put queues r. If the queue is full, r and all later replies are dropped
// until the reader has received ErrOverflow: replies after a gap would only be
// requested again.
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

// recordHop records the hop time of a step at its first reply.
func (s *Stream) recordHop(r *frame.Reply) {
	if r.Seq != s.seq || s.sentAt.IsZero() {
		return
	}
	hop := time.Since(s.sentAt) - time.Duration(r.Took)*time.Microsecond
	s.conn.hops.record(s.sentAt, max(0, hop))
	s.sentAt = time.Time{}
}

// Leave drops the stream but keeps the state on the engine.
func (s *Stream) Leave() { s.conn.remove(s) }

// Close drops the stream and the state on the engine. If the connection is
// broken, the engine drops the state on its own after its grace period.
func (s *Stream) Close() {
	s.conn.remove(s)
	step := frame.Step{Verb: frame.VerbCancel, Req: s.key.req, Try: s.key.try, From: s.key.from}
	_ = s.conn.out.add(&step)
}
