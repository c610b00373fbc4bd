package peer

import (
	"context"
	"sync"
)

// outStream is a stream opened by this instance. Received frames are queued in
// a slice, because a slow reader of one answer must not block the connection,
// which failure detection shares. The slice grows no longer than the answer.
type outStream struct {
	conn *conn
	id   uint64

	mu      sync.Mutex
	frames  []*frame
	aborted bool
	wake    chan struct{}
}

// openStream opens a stream. It returns nil if the connection is closed.
func (c *conn) openStream() *outStream {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.closed:
		return nil
	default:
	}
	c.lastID++
	s := &outStream{conn: c, id: c.lastID, wake: make(chan struct{}, 1)}
	c.streams[s.id] = s
	return s
}

// close removes a stream. If its answer is incomplete, it asks the other side
// to cancel the work.
func (s *outStream) close(complete bool) {
	s.conn.mu.Lock()
	delete(s.conn.streams, s.id)
	s.conn.mu.Unlock()
	if complete {
		return
	}
	// A cancellation waits for room in the queue: without it the other side works for a caller that
	// has left. It must not overtake the frame that opened the stream.
	cancel := &frame{Kind: kindCancel, ID: s.id}
	data, err := encode(cancel)
	if err != nil || s.conn.tryEnqueue(data) {
		return
	}
	s.conn.hub.start(func() { _ = s.conn.enqueue(s.conn.hub.ctx, cancel) })
}

func (s *outStream) deliver(f *frame) {
	s.mu.Lock()
	if len(s.frames) < maxCount {
		s.frames = append(s.frames, f)
	}
	s.mu.Unlock()
	s.signal()
}

func (s *outStream) abort() {
	s.mu.Lock()
	s.aborted = true
	s.mu.Unlock()
	s.signal()
}

func (s *outStream) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// next returns the received frames and waits if there are none. It returns
// ErrBroken once the connection is closed and all frames received before were
// returned.
func (s *outStream) next(ctx context.Context) ([]*frame, error) {
	for {
		s.mu.Lock()
		frames, aborted := s.frames, s.aborted
		s.frames = nil
		s.mu.Unlock()
		if len(frames) > 0 {
			return frames, nil
		}
		if aborted {
			return nil, ErrBroken
		}
		select {
		case <-s.wake:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}
