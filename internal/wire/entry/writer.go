package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Errors that abort a stream because of its caller.
var (
	// errCallerSlow means that the buffer stayed full because the caller read
	// more slowly than its answer was produced.
	errCallerSlow = errors.New("entry: caller reads too slowly")
	// errCallerGone means that writing to the caller failed.
	errCallerGone = errors.New("entry: caller is gone")
)

// maxFullWait is how long a request waits for space in a full buffer before its
// caller counts as slow. When an engine sends many tokens at once, the caller is
// not at fault and the writer goroutine only needs to be scheduled. The time is
// short because other streams on the same engine connection wait too.
const maxFullWait = 50 * time.Millisecond

// keepAliveComment is a comment line of the event stream, which clients ignore.
const keepAliveComment = ": wait\n\n"

const (
	// maxPooledBytes is the maximum capacity of a buffer that is returned to the
	// pool. Larger ones, grown by a burst, are left to the garbage collector.
	maxPooledBytes = 32 << 10
	// newBufferBytes is the initial capacity of a new buffer.
	newBufferBytes = 4 << 10
	// deadlineSlack limits how often the write deadline is extended: only after
	// 1/deadlineSlack of the write timeout has passed. Extending it for each
	// token costs as much as computing the MAC of the token's id.
	deadlineSlack = 8
)

// bufferPool holds buffers for reuse by other streams.
var bufferPool = sync.Pool{New: func() any { b := make([]byte, 0, newBufferBytes); return &b }}

// releaseBuffer returns b to the pool, unless it is too large.
func releaseBuffer(b []byte) {
	if cap(b) > 0 && cap(b) <= maxPooledBytes {
		b = b[:0]
		bufferPool.Put(&b)
	}
}

// streamWriter writes a stream to its caller in a separate goroutine. The goroutine
// of the request only appends to a buffer. If it waited for the caller's network,
// the connection to the engine would fill up and block other streams.
type streamWriter struct {
	w               http.ResponseWriter
	control         *http.ResponseController
	limit           int
	writeTimeout    time.Duration
	commentInterval time.Duration
	// cancel cancels the request when writing to the caller fails.
	cancel context.CancelCauseFunc

	// deadlineSetAt is when the write deadline was last set.
	deadlineSetAt time.Time

	// wake signals new data or the end of the stream, drained signals that the
	// buffer was taken or writing failed, done is closed when run returns.
	wake    chan struct{}
	drained chan struct{}
	done    chan struct{}

	mu      sync.Mutex
	pending []byte
	ended   bool
	err     error
}

// newStreamWriter starts the writer goroutine. It ends after finish is called or
// when writing fails.
func newStreamWriter(w http.ResponseWriter, l Limits, cancel context.CancelCauseFunc) *streamWriter {
	out := &streamWriter{
		w: w, control: http.NewResponseController(w), limit: int(l.Buffer),
		writeTimeout: l.WriteTime, commentInterval: l.CommentInterval, cancel: cancel,
		wake: make(chan struct{}, 1), drained: make(chan struct{}, 1), done: make(chan struct{}),
	}
	out.pending = (*bufferPool.Get().(*[]byte))[:0]
	go out.run()
	return out
}

// push adds data to the buffer; fill appends the data to the slice it gets. If the
// buffer is full, push waits up to maxFullWait.
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

// waitForSpace waits until the writer goroutine takes the full buffer. After
// maxFullWait it fails the stream with errCallerSlow. The caller must hold o.mu,
// which is released while waiting.
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

// signal wakes the writer goroutine.
func (o *streamWriter) signal() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// finish waits until all data is written to the caller and returns the error that
// prevented it, if any.
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

// run writes pending data until the stream ends or writing fails. It sends a
// comment whenever the stream is idle for commentInterval.
func (o *streamWriter) run() {
	defer close(o.done)
	var idle <-chan time.Time
	var timer *time.Timer
	if o.commentInterval > 0 {
		timer = time.NewTimer(o.commentInterval)
		defer timer.Stop()
		idle = timer.C
	}
	spare := (*bufferPool.Get().(*[]byte))[:0]
	defer func() { releaseBuffer(spare) }()
	for {
		data, ended := o.swap(spare)
		// push now owns the buffer passed to swap. Only the one returned by swap
		// may be passed next.
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
		case <-idle:
			if err := o.write([]byte(keepAliveComment)); err != nil {
				o.fail(err)
				return
			}
			timer.Reset(o.commentInterval)
		}
	}
}

// swap takes the pending data and replaces it with the empty buffer spare. If the
// stream has failed, the pending data is not written.
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

// write writes and flushes data under the write timeout.
func (o *streamWriter) write(data []byte) error {
	if now := time.Now(); o.writeTimeout > 0 && now.Sub(o.deadlineSetAt) > o.writeTimeout/deadlineSlack {
		o.deadlineSetAt = now
		// Response writers without deadlines, as in tests, return an error here.
		_ = o.control.SetWriteDeadline(now.Add(o.writeTimeout))
	}
	if _, err := o.w.Write(data); err != nil {
		return err
	}
	return o.control.Flush()
}

// fail records a failed write, wakes a waiting push and cancels the request.
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
