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

// Drainer is the graceful end of one instance. Set the exported fields before
// use.
type Drainer struct {
	// Grace is how long no request must have come before listeners close.
	Grace time.Duration
	// MaxAccept is how long after the begin listeners close even if requests go on
	// coming, as where the balancer has no other instance to turn to; zero
	// waits for the grace alone.
	MaxAccept time.Duration
	// AfterClose answers requests that come after that on kept connections, in place
	// of the handler; nil serves them like any other.
	AfterClose http.Handler
	Log        *zap.Logger

	initOnce           sync.Once
	begun              chan struct{}
	closeListeners     chan struct{}
	beginOnce          sync.Once
	closeListenersOnce sync.Once

	mu          sync.Mutex
	beginTime   time.Time
	lastArrival time.Time
	closed      bool
	running     int
}

func (h *Drainer) init() {
	h.initOnce.Do(func() {
		h.begun = make(chan struct{})
		h.closeListeners = make(chan struct{})
	})
}

// Begin starts the end; more calls change nothing.
func (h *Drainer) Begin() {
	h.init()
	h.beginOnce.Do(func() {
		h.recordArrival(0)
		h.mu.Lock()
		h.beginTime = h.lastArrival
		h.mu.Unlock()
		close(h.begun)
		h.Log.Info("halt: stopping, requests in progress go on", zap.Int("running", h.Running()))
	})
}

// CloseListeners starts the end if need be and closes the listeners without waiting for
// the balancer. Requests in progress go on.
func (h *Drainer) CloseListeners() {
	h.Begin()
	h.closeListenersOnce.Do(func() {
		close(h.closeListeners)
		h.Log.Info("halt: closing listeners now, requests in progress go on", zap.Int("running", h.Running()))
	})
}

// Begun is closed once the end began.
func (h *Drainer) Begun() <-chan struct{} {
	h.init()
	return h.begun
}

// Stopping reports whether the end began.
func (h *Drainer) Stopping() bool {
	select {
	case <-h.Begun():
		return true
	default:
		return false
	}
}

// Running is how many requests of callers are in progress.
func (h *Drainer) Running() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.running
}

// Handler counts the requests that next serves. Once the end began, each
// answer asks its connection to close, so that callers who keep connections
// move to another instance; none is closed under a request on its way.
func (h *Drainer) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		h.recordArrival(1)
		defer h.requestDone()
		if h.Stopping() {
			w.Header().Set("Connection", "close")
		}
		if h.AfterClose != nil && h.isClosed() {
			h.AfterClose.ServeHTTP(w, req)
			return
		}
		next.ServeHTTP(w, req)
	})
}

func (h *Drainer) recordArrival(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastArrival = time.Now()
	h.running += n
}

func (h *Drainer) isClosed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.closed
}

func (h *Drainer) requestDone() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.running--
}

// Run waits for the end to begin and for the balancer to turn away, then
// closes the servers' listeners and returns once their last request ended.
func (h *Drainer) Run(ctx context.Context, servers ...*http.Server) error {
	select {
	case <-h.Begun():
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "halt: wait")
	}
	h.awaitIdle()
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

// awaitIdle returns once no request has come for the grace, or the most time is
// over.
func (h *Drainer) awaitIdle() {
	defer func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.closed = true
	}()
	for {
		left := h.remaining()
		if left <= 0 {
			return
		}
		timer := time.NewTimer(left)
		select {
		case <-timer.C:
		case <-h.closeListeners:
			timer.Stop()
			return
		}
	}
}

// remaining is how long listeners stay open if no request comes.
func (h *Drainer) remaining() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	left := h.Grace - time.Since(h.lastArrival)
	if h.MaxAccept > 0 {
		left = min(left, h.MaxAccept-time.Since(h.beginTime))
	}
	return left
}
