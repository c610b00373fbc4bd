package peer

import (
	"context"
	"sync"
)

// outStream is a stream opened here. Its frames wait in a list that grows no longer
// than the answer: a slow reader of one answer must not hold up the
// connection, which failure detection shares.
type outStream struct {
	conn *conn
	id   uint64

	mu      sync.Mutex
	frames  []*frame
	aborted bool
	wake    chan struct{}
}

// openStream begins a stream; nil if the connection is closed.
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

// close ends a stream. If its answer was not complete, the other side is told to
// stop working on it.
func (s *outStream) close(complete bool) {
	s.conn.mu.Lock()
	delete(s.conn.streams, s.id)
	s.conn.mu.Unlock()
	if complete {
		return
	}
	if data, err := encode(&frame{Kind: kindCancel, ID: s.id}); err == nil {
		s.conn.tryEnqueue(data)
	}
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

// next returns the frames that came, waiting for one. It returns ErrBroken
// once the connection closed and all that came before was taken.
func (s *outStream) next(ctx context.Context) ([]*frame, error) {
	for {
		s.mu.Lock()
		frames, ended := s.frames, s.aborted
		s.frames = nil
		s.mu.Unlock()
		if len(frames) > 0 {
			return frames, nil
		}
		if ended {
			return nil, ErrBroken
		}
		select {
		case <-s.wake:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}
