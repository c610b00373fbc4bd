package edge

import (
	"context"
	"time"

	"fulmarwick/internal/route/crash"
	"fulmarwick/internal/route/path"
	"fulmarwick/internal/route/queue"
	"fulmarwick/internal/route/shed"
	"fulmarwick/internal/wire/relay"

	"github.com/go-faster/errors"
)

const (
	// noEngineWaitDivisor limits the wait of a request whose layers have no engine to a
	// fraction of its route's target latency. Suspect engines are confirmed dead or
	// alive within that time, and loading layers takes longer than any target.
	noEngineWaitDivisor = 8
	// maxAdmitTries is how many waiting requests may fail to find a path in one call of
	// admit. A large request must not block smaller ones behind it, but each search
	// holds the router's lock.
	maxAdmitTries = 4
	// initialFirstLatency is the first-event latency assumed before one was observed.
	initialFirstLatency = 100 * time.Millisecond
	// firstLatencyWeight is the weight of the newest sample in the moving average.
	firstLatencyWeight = 0.1
	// resumedUrgency ranks interrupted answers before all other requests. Their callers
	// leave after two seconds without an event, while a caller that waits for its
	// first event has 0.4 s before the answer is late.
	resumedUrgency = -1
)

// waiter is a request that waits in the queue.
type waiter struct {
	call    *relay.Call
	options relay.RunOptions
	// lastErr is why the last search for a path failed.
	lastErr error
	// result receives the run or the error, once; its buffer holds one value.
	result chan admission
}

// hasPartialAnswer reports whether the caller has a part of the answer.
func (w *waiter) hasPartialAnswer() bool { return w.options.Kind == relay.RunResume }

// isRefused reports whether the request is refused instead of waiting: upstreams ended under it,
// or rate limits left no room at the last search. One whose caller has a part of the answer
// waits for room. One that was passed on does not wait for engines: another instance may have
// them.
func (w *waiter) isRefused() bool {
	switch {
	case crash.IsRestriction(w.lastErr):
		return true
	case errors.Is(w.lastErr, path.ErrNoPath):
		return w.call.Passed
	}
	return errors.Is(w.lastErr, path.ErrRateLimited) && !w.hasPartialAnswer()
}

// admission is the outcome of waiting: a run or an error.
type admission struct {
	run *relay.Run
	err error
}

// StartRun chooses a path and registers a run on it.
// It waits for capacity as long as the answer can still begin in time.
func (r *router) StartRun(ctx context.Context, c *relay.Call, o relay.RunOptions) (*relay.Run, error) {
	w, t, run, err := r.startOrQueue(c, o)
	if w == nil {
		return run, err
	}
	select {
	case e := <-w.result:
		return e.run, e.err
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	svc := r.service(c.Service.Name)
	svc.queue.Leave(t)
	delete(svc.waiters, t)
	select {
	case e := <-w.result:
		return e.run, e.err
	default:
		return nil, ctx.Err()
	}
}

// startOrQueue starts a run at once or, if there is no capacity, adds the request to
// the queue. The waiter is nil if the request was not queued.
func (r *router) startOrQueue(c *relay.Call, o relay.RunOptions) (*waiter, *queue.Ticket, *relay.Run, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	svc := r.service(c.Service.Name)
	if svc.model == nil {
		return nil, nil, nil, path.ErrNoPath
	}
	now := r.now()
	if o.Kind == relay.RunFirst && !svc.gate.Admit(now, c.ShedRank) {
		return nil, nil, nil, shed.ErrLessUrgent
	}
	w := &waiter{call: c, options: o, lastErr: path.ErrNoMemory, result: make(chan admission, 1)}
	if svc.queue.Len() == 0 || w.hasPartialAnswer() {
		if run, ok := r.tryStart(svc, w); ok {
			return nil, nil, run, nil
		}
	}
	if w.isRefused() {
		return nil, nil, nil, w.lastErr
	}
	svc.recordUnserved(now, w)
	t := &queue.Ticket{Team: c.Team, Urgency: c.Urgency, Deadline: r.waitDeadline(svc, c, o, w.lastErr), Begun: w.hasPartialAnswer()}
	if w.hasPartialAnswer() {
		t.Urgency = resumedUrgency
	}
	if !svc.queue.Join(now, t, svc.inFlight) {
		svc.gate.RecordRefusal(now, c.ShedRank)
		return nil, nil, nil, w.lastErr
	}
	svc.waiters[t] = w
	r.startShared(svc, t)
	return w, t, nil, nil
}

// tryStart searches a path for a waiting request and starts a run on it.
func (r *router) tryStart(svc *serviceState, w *waiter) (*relay.Run, bool) {
	run, err := r.startRun(svc, w.call, w.options)
	if err != nil && w.hasPartialAnswer() && len(w.options.Avoid) > 0 {
		// A partly delivered answer is worth an attempt on any engine.
		w.options.Avoid = nil
		run, err = r.startRun(svc, w.call, w.options)
	}
	w.lastErr = err
	return run, err == nil
}

// waitDeadline returns the time after which a waiting request could no longer be
// answered in time. A retry gets the whole target again, and one that may have run
// waits until its caller leaves, who can't send it again. A resumed answer waits until
// the deadline of its caller, as the caller already has a part of it.
func (r *router) waitDeadline(svc *serviceState, c *relay.Call, o relay.RunOptions, err error) time.Duration {
	now := r.now()
	target := c.Route.TargetLatency
	switch {
	case o.Kind == relay.RunResume:
		return now + time.Until(c.Deadline)
	case o.MayHaveRun && !c.FirstEventDeadline.IsZero():
		return now + max(target, time.Until(c.FirstEventDeadline)-svc.firstLatency)
	case errors.Is(err, path.ErrNoPath):
		return now + target/noEngineWaitDivisor
	case o.Kind == relay.RunRetry:
		return now + target
	}
	return now - time.Since(c.Start) + target - svc.firstLatency
}

// admit starts waiting requests for which capacity became free, and rejects those that
// can no longer be served in time; r.mu is held.
func (r *router) admit(svc *serviceState) {
	failed := 0
	for _, t := range svc.queue.Ordered(svc.inFlight) {
		w := svc.waiters[t]
		if run, ok := r.tryStart(svc, w); ok {
			svc.resolve(t, admission{run: run})
			continue
		}
		if w.isRefused() {
			svc.resolve(t, admission{err: w.lastErr})
		}
		if failed++; failed == maxAdmitTries {
			break
		}
	}
	for _, t := range svc.queue.RemoveExpired(r.now(), svc.inFlight) {
		svc.gate.RecordRefusal(r.now(), svc.waiters[t].call.ShedRank)
		svc.resolve(t, admission{err: svc.waiters[t].lastErr})
	}
}

// resolve removes a ticket from the queue and delivers its outcome; router.mu is held.
func (svc *serviceState) resolve(t *queue.Ticket, e admission) {
	w := svc.waiters[t]
	svc.queue.Leave(t)
	delete(svc.waiters, t)
	w.result <- e
}

// admitAll calls admit for each service with waiting requests: capacity that requests
// of other instances used may have become free.
func (r *router) admitAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, svc := range r.services {
		if svc.queue.Len() > 0 {
			r.admit(svc)
		}
	}
}

// RetryAfter returns how long the caller of a rejected request should wait before it
// retries.
func (r *router) RetryAfter(c *relay.Call) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	svc := r.service(c.Service.Name)
	if svc.gate.Share(c.ShedRank) < 1 {
		return min(svc.gate.RetryAfter(), queue.MaxRetryAfter(time.Until(c.Deadline)))
	}
	return svc.queue.RetryAfter(r.now(), time.Until(c.Deadline))
}

// scarcestLayer returns the layer of a service with the least free KV memory, and the
// tokens that fit there.
func (r *router) scarcestLayer(service string) (layer, free int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if svc := r.service(service); svc.model != nil {
		_, layer, free = svc.model.ScarcestLayer(r.now())
	}
	return layer, free
}
