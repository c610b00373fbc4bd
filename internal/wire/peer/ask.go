package peer

import (
	"context"
	"sync"
)

// ask is a stream opened here. Its frames wait in a list that grows no longer
// than the answer: a slow reader of one answer must not hold up the
// connection, which failure detection shares.
type ask struct {
	conn *conn
	id   uint64

	mu     sync.Mutex
	frames []*frame
	ended  bool
	wake   chan struct{}
}

// open begins a stream; nil if the connection is closed.
func (c *conn) open() *ask {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.closed:
		return nil
	default:
	}
	c.last++
	a := &ask{conn: c, id: c.last, wake: make(chan struct{}, 1)}
	c.asks[a.id] = a
	return a
}

// shut ends a stream. If its answer was not over, the other side is told to
// stop working on it.
func (a *ask) shut(over bool) {
	a.conn.mu.Lock()
	delete(a.conn.asks, a.id)
	a.conn.mu.Unlock()
	if over {
		return
	}
	if data, err := encode(&frame{Kind: kindCancel, ID: a.id}); err == nil {
		a.conn.offer(data)
	}
}

func (a *ask) put(f *frame) {
	a.mu.Lock()
	if len(a.frames) < maxCount {
		a.frames = append(a.frames, f)
	}
	a.mu.Unlock()
	a.signal()
}

func (a *ask) end() {
	a.mu.Lock()
	a.ended = true
	a.mu.Unlock()
	a.signal()
}

func (a *ask) signal() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// next returns the frames that came, waiting for one. It returns ErrBroken
// once the connection closed and all that came before was taken.
func (a *ask) next(ctx context.Context) ([]*frame, error) {
	for {
		a.mu.Lock()
		frames, ended := a.frames, a.ended
		a.frames = nil
		a.mu.Unlock()
		if len(frames) > 0 {
			return frames, nil
		}
		if ended {
			return nil, ErrBroken
		}
		select {
		case <-a.wake:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}
