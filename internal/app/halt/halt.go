// Package halt ends an instance without cutting a request.
//
// It imports the standard library and the log library. The daemon wraps what
// it serves in a Halt and waits for its Run; the operator's drain and the
// first signal call Begin, a second signal calls Hurry.
//
// The order is: not ready any more, so that the balancer turns away; go on
// accepting until no request has come for the grace; close the listeners;
// wait for every request, however long. No timer ends a request, and a second
// signal does not either: it only ends the wait for the balancer.
package halt

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

// Halt is the graceful end of one instance. Set the exported fields before
// use.
type Halt struct {
	// Grace is how long no request must have come before listeners close.
	Grace time.Duration
	// Most is how long after the begin listeners close even if requests go on
	// coming, as where the balancer has no other instance to turn to; zero
	// waits for the grace alone.
	Most time.Duration
	// Late answers requests that come after that on kept connections, in place
	// of the handler; nil serves them like any other.
	Late http.Handler
	Log  *zap.Logger

	once   sync.Once
	begun  chan struct{}
	hurry  chan struct{}
	first  sync.Once
	second sync.Once

	mu      sync.Mutex
	began   time.Time
	last    time.Time
	closed  bool
	running int
}

func (h *Halt) init() {
	h.once.Do(func() {
		h.begun = make(chan struct{})
		h.hurry = make(chan struct{})
	})
}

// Begin starts the end; more calls change nothing.
func (h *Halt) Begin() {
	h.init()
	h.first.Do(func() {
		h.arrived(0)
		h.mu.Lock()
		h.began = h.last
		h.mu.Unlock()
		close(h.begun)
		h.Log.Info("halt: stopping, requests in progress go on", zap.Int("running", h.Running()))
	})
}

// Hurry starts the end if need be and closes the listeners without waiting for
// the balancer. Requests in progress go on.
func (h *Halt) Hurry() {
	h.Begin()
	h.second.Do(func() {
		close(h.hurry)
		h.Log.Info("halt: closing listeners now, requests in progress go on", zap.Int("running", h.Running()))
	})
}

// Begun is closed once the end began.
func (h *Halt) Begun() <-chan struct{} {
	h.init()
	return h.begun
}

// Stopping reports whether the end began.
func (h *Halt) Stopping() bool {
	select {
	case <-h.Begun():
		return true
	default:
		return false
	}
}

// Running is how many requests of callers are in progress.
func (h *Halt) Running() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.running
}

// Handler counts the requests that next serves. Once the end began, each
// answer asks its connection to close, so that callers who keep connections
// move to another instance; none is closed under a request on its way.
func (h *Halt) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		h.arrived(1)
		defer h.left()
		if h.Stopping() {
			w.Header().Set("Connection", "close")
		}
		if h.Late != nil && h.isClosed() {
			h.Late.ServeHTTP(w, req)
			return
		}
		next.ServeHTTP(w, req)
	})
}

func (h *Halt) arrived(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.last = time.Now()
	h.running += n
}

func (h *Halt) isClosed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.closed
}

func (h *Halt) left() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.running--
}

// Run waits for the end to begin and for the balancer to turn away, then
// closes the servers' listeners and returns once their last request ended.
func (h *Halt) Run(ctx context.Context, servers ...*http.Server) error {
	select {
	case <-h.Begun():
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "halt: wait")
	}
	h.quiet()
	h.Log.Info("halt: no new requests, waiting for those in progress", zap.Int("running", h.Running()))
	for _, s := range servers {
		// Without a deadline: an answer that takes hours ends whole.
		if err := s.Shutdown(context.WithoutCancel(ctx)); err != nil {
			return errors.Wrap(err, "halt: shut down")
		}
	}
	h.Log.Info("halt: all requests ended")
	return nil
}

// quiet returns once no request has come for the grace, or the most time is
// over.
func (h *Halt) quiet() {
	defer func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.closed = true
	}()
	for {
		left := h.wait()
		if left <= 0 {
			return
		}
		timer := time.NewTimer(left)
		select {
		case <-timer.C:
		case <-h.hurry:
			timer.Stop()
			return
		}
	}
}

// wait is how long listeners stay open if no request comes.
func (h *Halt) wait() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	left := h.Grace - time.Since(h.last)
	if h.Most > 0 {
		left = min(left, h.Most-time.Since(h.began))
	}
	return left
}
