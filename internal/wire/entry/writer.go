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
	// errSlow means that the caller read slower than its answer was made for
	// longer than the buffer holds.
	errSlow = errors.New("entry: caller reads too slowly")
	// errGone means that writing to the caller failed.
	errGone = errors.New("entry: caller is gone")
)

// burst is how long a full buffer may hold up its own request before the
// caller counts as slow. An engine that gives many tokens at once is no fault
// of the caller, whose writer only needs its turn; the time is short, since
// the streams that share the engine's connection wait too.
const burst = 50 * time.Millisecond

// comment is a line of the event stream that clients pass over.
const comment = ": wait\n\n"

const (
	// pooled is the most bytes of a buffer that is kept for another stream; a
	// burst's large one goes back to the memory manager.
	pooled = 32 << 10
	// fresh is the size of a new buffer.
	fresh = 4 << 10
	// slack is the part of the write pause by which a deadline may be old.
	// Moving it with each token costs as much as sealing the token's id.
	slack = 8
)

// buffers are reused among streams.
var buffers = sync.Pool{New: func() any { b := make([]byte, 0, fresh); return &b }}

func release(b []byte) {
	if cap(b) > 0 && cap(b) <= pooled {
		b = b[:0]
		buffers.Put(&b)
	}
}

// writer brings the pieces of a stream to its caller from a goroutine of its
// own. The request's goroutine only appends to a buffer: were it to wait for
// the caller's network, the engine's connection behind it would fill up and
// hold up the streams of others.
type writer struct {
	w       http.ResponseWriter
	control *http.ResponseController
	limit   int
	pause   time.Duration
	comment time.Duration
	// stop ends the request when the caller cannot be written to.
	stop context.CancelCauseFunc

	// moved is when the write deadline was set last.
	moved time.Time

	wake chan struct{}
	room chan struct{}
	done chan struct{}

	mu      sync.Mutex
	pending []byte
	ended   bool
	err     error
}

// newWriter starts the goroutine; finish or abort ends it.
func newWriter(w http.ResponseWriter, l Limits, stop context.CancelCauseFunc) *writer {
	out := &writer{
		w: w, control: http.NewResponseController(w), limit: int(l.Buffer),
		pause: l.WriteTime, comment: l.Comment, stop: stop,
		wake: make(chan struct{}, 1), room: make(chan struct{}, 1), done: make(chan struct{}),
	}
	out.pending = (*buffers.Get().(*[]byte))[:0]
	go out.run()
	return out
}

// push adds a piece; fill appends it to the slice it gets.
func (o *writer) push(fill func([]byte) []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.err == nil && len(o.pending) > o.limit {
		o.patient()
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

// patient waits for the writer to take the buffer, and gives the stream up if
// it does not in time. It is called, and returns, with the lock held.
func (o *writer) patient() {
	timer := time.NewTimer(burst)
	defer timer.Stop()
	for o.err == nil && len(o.pending) > o.limit {
		o.mu.Unlock()
		timeout := false
		select {
		case <-o.room:
		case <-timer.C:
			timeout = true
		}
		o.mu.Lock()
		if timeout && o.err == nil && len(o.pending) > o.limit {
			o.err = errSlow
		}
	}
}

func (o *writer) signal() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// finish waits until all pieces are with the caller and returns why that
// could not be, or nil.
func (o *writer) finish() error {
	o.mu.Lock()
	o.ended = true
	o.mu.Unlock()
	o.signal()
	<-o.done
	release(o.pending)
	o.pending = nil
	return o.err
}

// run writes what is pending until the end or an error.
func (o *writer) run() {
	defer close(o.done)
	var quiet <-chan time.Time
	var timer *time.Timer
	if o.comment > 0 {
		timer = time.NewTimer(o.comment)
		defer timer.Stop()
		quiet = timer.C
	}
	spare := (*buffers.Get().(*[]byte))[:0]
	defer func() { release(spare) }()
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
				timer.Reset(o.comment)
			}
			continue
		}
		if ended {
			return
		}
		select {
		case <-o.wake:
		case <-quiet:
			if err := o.write([]byte(comment)); err != nil {
				o.fail(err)
				return
			}
			timer.Reset(o.comment)
		}
	}
}

// swap takes what is pending and leaves an empty buffer. A stream that failed
// ends without the rest.
func (o *writer) swap(spare []byte) (data []byte, ended bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.err != nil {
		return spare, true
	}
	data = o.pending
	o.pending = spare
	select {
	case o.room <- struct{}{}:
	default:
	}
	return data, o.ended
}

func (o *writer) write(data []byte) error {
	if now := time.Now(); o.pause > 0 && now.Sub(o.moved) > o.pause/slack {
		o.moved = now
		// A writer without deadlines, as in tests, is written without.
		_ = o.control.SetWriteDeadline(now.Add(o.pause))
	}
	if _, err := o.w.Write(data); err != nil {
		return err
	}
	return o.control.Flush()
}

func (o *writer) fail(err error) {
	o.mu.Lock()
	o.err = errors.Wrap(errGone, err.Error())
	o.mu.Unlock()
	select {
	case o.room <- struct{}{}:
	default:
	}
	o.stop(o.err)
}
