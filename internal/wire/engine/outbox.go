package engine

import (
	"bytes"
	"sync"

	"fulmarwick/internal/base/frame"

	"github.com/go-faster/errors"
)

// outboxBytes is how much may be pending before Send blocks.
const outboxBytes = 1 << 20

// outbox collects encoded steps while the writer is busy, so that many streams
// share one write.
type outbox struct {
	mu      sync.Mutex
	notFull *sync.Cond
	pending *bytes.Buffer
	spare   *bytes.Buffer
	closed  bool
	wake    chan struct{}
}

func (o *outbox) init() {
	o.notFull = sync.NewCond(&o.mu)
	o.pending, o.spare = new(bytes.Buffer), new(bytes.Buffer)
	o.wake = make(chan struct{}, 1)
}

// add encodes s. A step above the message size limit is rejected here: the
// engine would close the connection and break all other streams on it.
func (o *outbox) add(s *frame.Step) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	for o.pending.Len() > outboxBytes && !o.closed {
		o.notFull.Wait()
	}
	if o.closed {
		return ErrBroken
	}
	before := o.pending.Len()
	err := frame.AppendStep(o.pending, s)
	if err == nil && o.pending.Len()-before > frame.MaxBytes-outboxBytes {
		err = errors.New("step exceeds the message size limit")
	}
	if err != nil {
		o.pending.Truncate(before)
		return errors.Wrap(err, "engine: encode step")
	}
	select {
	case o.wake <- struct{}{}:
	default:
	}
	return nil
}

// take returns the pending bytes, or nil if there are none. The caller returns
// the buffer with release.
func (o *outbox) take() *bytes.Buffer {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.pending.Len() == 0 {
		return nil
	}
	full := o.pending
	o.pending, o.spare = o.spare, nil
	if o.pending == nil {
		o.pending = new(bytes.Buffer)
	}
	o.notFull.Broadcast()
	return full
}

func (o *outbox) release(b *bytes.Buffer) {
	// A buffer that grew for one large prompt is not kept for the small steps.
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
	o.notFull.Broadcast()
}
