// Package halt shuts an instance down gracefully, without cutting a request.
//
// It imports the standard library and the log library. The daemon wraps its
// handler with Drainer.Handler and waits for Drainer.Run. The operator's drain and
// the first signal call Begin, a second signal calls CloseListeners.
//
// Shutdown has these steps: report not ready, so that the balancer stops sending;
// continue to accept requests until none has arrived for the grace period; close
// the listeners; wait for every request in progress, however long it takes. No
// timer ends a request, and neither does a second signal: it only ends the wait for
// the balancer. Where the process will be killed, LastCall tells when requests without an
// answer have to be answered.
package halt

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

// progressInterval is the interval between two log lines with the number of requests that
// a stopping instance still waits for.
const progressInterval = time.Second

// waitInterval is the interval between two calls of Drainer.OnWait.
const waitInterval = 250 * time.Millisecond

// lastCallMargin is how long before the process is killed LastCall ends: time to write the
// answers of all requests in progress.
const lastCallMargin = 500 * time.Millisecond

// Drainer shuts down one instance gracefully. Set the exported fields before use.
type Drainer struct {
	// Grace is how long no request must have arrived before the listeners close.
	Grace time.Duration
	// MaxAccept is how long after Begin the listeners close even if requests still
	// arrive, as when the balancer has no other instance to send them to. Zero
	// means no limit besides Grace.
	MaxAccept time.Duration
	// AfterClose replaces the handler once the listeners close: it answers requests
	// that still arrive on keep-alive connections. If it is nil, the handler serves
	// them like any other.
	AfterClose http.Handler
	// OnWait is called again and again while the last requests are awaited, every waitInterval; it may be
	// nil.
	OnWait func()
	// KillAfter is how long after Begin the process is killed; zero means never.
	KillAfter time.Duration
	Log       *zap.Logger

	initOnce           sync.Once
	begun              chan struct{}
	closeListeners     chan struct{}
	lastCall           context.Context
	endLastCall        context.CancelFunc
	beginOnce          sync.Once
	closeListenersOnce sync.Once

	mu          sync.Mutex
	beginTime   time.Time
	lastArrival time.Time
	closed      bool
	running     int
}

func (d *Drainer) init() {
	d.initOnce.Do(func() {
		d.begun = make(chan struct{})
		d.closeListeners = make(chan struct{})
		d.lastCall, d.endLastCall = context.WithCancel(context.Background())
	})
}

// Begin starts the shutdown; further calls have no effect.
func (d *Drainer) Begin() {
	d.init()
	d.beginOnce.Do(func() {
		d.recordArrival(0)
		d.mu.Lock()
		d.beginTime = d.lastArrival
		d.mu.Unlock()
		close(d.begun)
		if d.KillAfter > 0 {
			time.AfterFunc(max(0, d.KillAfter-lastCallMargin), d.endLastCall)
		}
		d.Log.Info("halt: stopping, requests in progress go on", zap.Int("running", d.Running()))
	})
}

// CloseListeners starts the shutdown if it has not begun, and closes the listeners
// without waiting for the balancer. Requests in progress continue.
func (d *Drainer) CloseListeners() {
	d.Begin()
	d.closeListenersOnce.Do(func() {
		close(d.closeListeners)
		d.Log.Info("halt: closing listeners now, requests in progress go on", zap.Int("running", d.Running()))
	})
}

// LastCall returns a context that ends shortly before the process is killed. A request whose
// answer has not begun by then must be answered at once.
func (d *Drainer) LastCall() context.Context {
	d.init()
	return d.lastCall
}

// Begun returns a channel that is closed once the shutdown has begun.
func (d *Drainer) Begun() <-chan struct{} {
	d.init()
	return d.begun
}

// Stopping reports whether the shutdown has begun.
func (d *Drainer) Stopping() bool {
	select {
	case <-d.Begun():
		return true
	default:
		return false
	}
}

// Running returns how many callers' requests are in progress.
func (d *Drainer) Running() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.running
}

// Handler wraps next and counts its requests. Once the shutdown has begun, each answer
// carries "Connection: close", so that callers with keep-alive connections move to
// another instance; no connection is closed while a request on it is in progress.
func (d *Drainer) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		d.recordArrival(1)
		defer d.requestDone()
		if d.Stopping() {
			w.Header().Set("Connection", "close")
		}
		if d.AfterClose != nil && d.isClosed() {
			d.AfterClose.ServeHTTP(w, req)
			return
		}
		next.ServeHTTP(w, req)
	})
}

// recordArrival sets the time of the last arrival and adds n to the running requests.
func (d *Drainer) recordArrival(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastArrival = time.Now()
	d.running += n
}

func (d *Drainer) isClosed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.closed
}

func (d *Drainer) requestDone() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running--
}

// Run waits for the shutdown to begin and for the balancer to stop sending, then closes
// the servers' listeners and returns once their last request has ended. It also
// returns, with an error, if ctx ends before the shutdown begins.
func (d *Drainer) Run(ctx context.Context, servers ...*http.Server) error {
	select {
	case <-d.Begun():
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "halt: wait for shutdown to begin")
	}
	d.awaitIdle()
	d.Log.Info("halt: no new requests, waiting for those in progress", zap.Int("running", d.Running()))
	ended := make(chan struct{})
	defer close(ended)
	go callEvery(progressInterval, ended, d.logProgress)
	if d.OnWait != nil {
		go callEvery(waitInterval, ended, d.OnWait)
	}
	for _, s := range servers {
		// No deadline: an answer that takes hours must be completed.
		if err := s.Shutdown(context.WithoutCancel(ctx)); err != nil {
			return errors.Wrap(err, "halt: shut down server")
		}
	}
	d.Log.Info("halt: all requests ended")
	return nil
}

// callEvery calls a function at an interval until ended is closed.
func callEvery(interval time.Duration, ended <-chan struct{}, call func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ended:
			return
		case <-ticker.C:
			call()
		}
	}
}

// logProgress logs how many requests are still in progress. If the process is killed, the last line tells how
// many it cut.
func (d *Drainer) logProgress() {
	d.Log.Info("halt: still waiting", zap.Int("running", d.Running()))
}

// awaitIdle returns once no request has arrived for Grace, MaxAccept is over, or
// CloseListeners was called.
func (d *Drainer) awaitIdle() {
	defer func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.closed = true
	}()
	for {
		left := d.remaining()
		if left <= 0 {
			return
		}
		timer := time.NewTimer(left)
		select {
		case <-timer.C:
		case <-d.closeListeners:
			timer.Stop()
			return
		}
	}
}

// remaining returns how long the listeners stay open if no further request arrives.
func (d *Drainer) remaining() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	left := d.Grace - time.Since(d.lastArrival)
	if d.MaxAccept > 0 {
		left = min(left, d.MaxAccept-time.Since(d.beginTime))
	}
	return left
}
