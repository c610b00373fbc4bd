package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Errors that end a stream whose caller cannot be served.
var (
	// errCallerSlow means that the caller read slower than its answer was made for
	// longer than the buffer holds.
	errCallerSlow = errors.New("entry: caller reads too slowly")
	// errCallerGone means that writing to the caller failed.
	errCallerGone = errors.New("entry: caller is gone")
)

// maxFullWait is how long a full buffer may hold up its own request before the
// caller counts as slow. An engine that gives many tokens at once is no fault
// of the caller, whose writer only needs its turn; the time is short, since
// the streams that share the engine's connection wait too.
const maxFullWait = 50 * time.Millisecond

// keepAliveComment is a line of the event stream that clients pass over.
const keepAliveComment = ": wait\n\n"

const (
	// maxPooledBytes is the most bytes of a buffer that is kept for another stream; a
	// burst's large one goes back to the memory manager.
	maxPooledBytes = 32 << 10
	// newBufferBytes is the size of a new buffer.
	newBufferBytes = 4 << 10
	// deadlineSlack is the part of the write pause by which a deadline may be old.
	// Moving it with each token costs as much as sealing the token's id.
	deadlineSlack = 8
)

// bufferPool are reused among streams.
var bufferPool = sync.Pool{New: func() any { b := make([]byte, 0, newBufferBytes); return &b }}

func releaseBuffer(b []byte) {
	if cap(b) > 0 && cap(b) <= maxPooledBytes {
		b = b[:0]
		bufferPool.Put(&b)
	}
}

// streamWriter brings the pieces of a stream to its caller from a goroutine of its
// own. The request's goroutine only appends to a buffer: were it to wait for
// the caller's network, the engine's connection behind it would fill up and
// hold up the streams of others.
type streamWriter struct {
	w               http.ResponseWriter
	control         *http.ResponseController
	limit           int
	writeTimeout    time.Duration
	commentInterval time.Duration
	// cancel ends the request when the caller cannot be written to.
	cancel context.CancelCauseFunc

	// deadlineSetAt is when the write deadline was set last.
	deadlineSetAt time.Time

	wake    chan struct{}
	drained chan struct{}
	done    chan struct{}

	mu      sync.Mutex
	pending []byte
	ended   bool
	err     error
}

// newStreamWriter starts the goroutine; finish or abort ends it.
func newStreamWriter(w http.ResponseWriter, l Limits, stop context.CancelCauseFunc) *streamWriter {
	out := &streamWriter{
		w: w, control: http.NewResponseController(w), limit: int(l.Buffer),
		writeTimeout: l.WriteTime, commentInterval: l.Comment, cancel: stop,
		wake: make(chan struct{}, 1), drained: make(chan struct{}, 1), done: make(chan struct{}),
	}
	out.pending = (*bufferPool.Get().(*[]byte))[:0]
	go out.run()
	return out
}

// push adds a piece; fill appends it to the slice it gets.
func (o *streamWriter) push(fill func([]byte) []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.err == nil && len(o.pending) > o.limit {
		o.waitForSpace()
	}
	if o.err != nil {
		return o.err
	}
	before := len(o.pending)
	o.pending = fill(o.pending)
	if before == 0 {
		o.signal()
	}
	return nil
}

// waitForSpace waits for the writer to take the buffer, and gives the stream up if
// it does not in time. It is called, and returns, with the lock held.
func (o *streamWriter) waitForSpace() {
	timer := time.NewTimer(maxFullWait)
	defer timer.Stop()
	for o.err == nil && len(o.pending) > o.limit {
		o.mu.Unlock()
		timeout := false
		select {
		case <-o.drained:
		case <-timer.C:
			timeout = true
		}
		o.mu.Lock()
		if timeout && o.err == nil && len(o.pending) > o.limit {
			o.err = errCallerSlow
		}
	}
}

func (o *streamWriter) signal() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// finish waits until all pieces are with the caller and returns why that
// could not be, or nil.
func (o *streamWriter) finish() error {
	o.mu.Lock()
	o.ended = true
	o.mu.Unlock()
	o.signal()
	<-o.done
	releaseBuffer(o.pending)
	o.pending = nil
	return o.err
}

// run writes what is pending until the end or an error.
func (o *streamWriter) run() {
	defer close(o.done)
	var quiet <-chan time.Time
	var timer *time.Timer
	if o.commentInterval > 0 {
		timer = time.NewTimer(o.commentInterval)
		defer timer.Stop()
		quiet = timer.C
	}
	spare := (*bufferPool.Get().(*[]byte))[:0]
	defer func() { releaseBuffer(spare) }()
	for {
		data, ended := o.swap(spare)
		// The buffer given away is the other's now; only the one got back may
		// be given next.
		spare = data[:0]
		if len(data) > 0 {
			if err := o.write(data); err != nil {
				o.fail(err)
				return
			}
			if timer != nil {
				timer.Reset(o.commentInterval)
			}
			continue
		}
		if ended {
			return
		}
		select {
		case <-o.wake:
		case <-quiet:
			if err := o.write([]byte(keepAliveComment)); err != nil {
				o.fail(err)
				return
			}
			timer.Reset(o.commentInterval)
		}
	}
}

// swap takes what is pending and leaves an empty buffer. A stream that failed
// ends without the rest.
func (o *streamWriter) swap(spare []byte) (data []byte, ended bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.err != nil {
		return spare, true
	}
	data = o.pending
	o.pending = spare
	select {
	case o.drained <- struct{}{}:
	default:
	}
	return data, o.ended
}

func (o *streamWriter) write(data []byte) error {
	if now := time.Now(); o.writeTimeout > 0 && now.Sub(o.deadlineSetAt) > o.writeTimeout/deadlineSlack {
		o.deadlineSetAt = now
		// A writer without deadlines, as in tests, is written without.
		_ = o.control.SetWriteDeadline(now.Add(o.writeTimeout))
	}
	if _, err := o.w.Write(data); err != nil {
		return err
	}
	return o.control.Flush()
}

func (o *streamWriter) fail(err error) {
	o.mu.Lock()
	o.err = errors.Wrap(errCallerGone, err.Error())
	o.mu.Unlock()
	select {
	case o.drained <- struct{}{}:
	default:
	}
	o.cancel(o.err)
}
