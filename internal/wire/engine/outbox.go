package engine

import (
	"bytes"
	"sync"

	"fulmarwick/internal/base/frame"

	"github.com/go-faster/errors"
)

// outboxBytes is how much may wait for the writer before Send waits too.
const outboxBytes = 1 << 20

// outbox gathers encoded steps while the writer is busy, so that many streams
// share one write.
type outbox struct {
	mu     sync.Mutex
	room   *sync.Cond
	fill   *bytes.Buffer
	spare  *bytes.Buffer
	closed bool
	wake   chan struct{}
}

func (o *outbox) init() {
	o.room = sync.NewCond(&o.mu)
	o.fill, o.spare = new(bytes.Buffer), new(bytes.Buffer)
	o.wake = make(chan struct{}, 1)
}

// add encodes s. A step that is larger than a message may be is refused here,
// since the engine would close the connection under all other streams.
func (o *outbox) add(s *frame.Step) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	for o.fill.Len() > outboxBytes && !o.closed {
		o.room.Wait()
	}
	if o.closed {
		return ErrBroken
	}
	before := o.fill.Len()
	err := frame.AppendStep(o.fill, s)
	if err == nil && o.fill.Len()-before > frame.MaxBytes-outboxBytes {
		err = errors.New("step too large")
	}
	if err != nil {
		o.fill.Truncate(before)
		return errors.Wrap(err, "engine: encode")
	}
	select {
	case o.wake <- struct{}{}:
	default:
	}
	return nil
}

// take returns what waits, or nil; give returns the buffer for reuse.
func (o *outbox) take() *bytes.Buffer {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.fill.Len() == 0 {
		return nil
	}
	full := o.fill
	o.fill, o.spare = o.spare, nil
	if o.fill == nil {
		o.fill = new(bytes.Buffer)
	}
	o.room.Broadcast()
	return full
}

func (o *outbox) give(b *bytes.Buffer) {
	// A buffer that one large prompt grew is not kept for the small steps.
	if b.Cap() > outboxBytes {
		b = new(bytes.Buffer)
	}
	b.Reset()
	o.mu.Lock()
	o.spare = b
	o.mu.Unlock()
}

func (o *outbox) close() {
	o.mu.Lock()
	o.closed = true
	o.mu.Unlock()
	o.room.Broadcast()
}
