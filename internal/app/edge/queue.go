package edge

import (
	"context"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/path"
	"fulmarwick/internal/route/queue"
	"fulmarwick/internal/wire/relay"

	"github.com/go-faster/errors"
)

const (
	// noEngineWaitDivisor is the part of a route's target for which a request waits where
	// layers have no engine: those that are doubted are known in that time, and
	// loading takes longer than any target.
	noEngineWaitDivisor = 8
	// maxAdmitTries is how many waiting requests look for room at each chance: a large
	// one must not keep out smaller ones behind it, and each look holds the router's
	// lock.
	maxAdmitTries = 4
	// initialFirstLatency is the time to the first event that is assumed before one came,
	// firstWeight that of the newest in the average.
	initialFirstLatency = 100 * time.Millisecond
	firstLatencyWeight  = 0.1
	// resumedUrgency is the urgency of answers that were broken off, before all others:
	// their callers leave after two seconds without an event, while one who
	// waits for the first event has 0.4 s before it is late.
	resumedUrgency = -1
)

// waiter is a request in the queue.
type waiter struct {
	call *relay.Call
	// hasPartialAnswer tells that the caller has a part of the answer.
	hasPartialAnswer bool
	avoid            []spec.UpstreamID
	// lastErr is what kept it from room when it last looked.
	lastErr error
	// result takes the run, or why there is none; it has room for one.
	result chan admission
}

// admission is what a request in the queue gets.
type admission struct {
	run *relay.Run
	err error
}

// StartRun chooses a path for a request without the engines to avoid and counts a
// run in. It waits for room while the answer can begin in time.
func (r *router) StartRun(ctx context.Context, c *relay.Call, how relay.RunKind, avoid []spec.UpstreamID) (*relay.Run, error) {
	w, t, flight, err := r.startOrQueue(c, how, avoid)
	if w == nil {
		return flight, err
	}
	select {
	case e := <-w.result:
		return e.run, e.err
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.service(c.Service.Name)
	g.queue.Leave(t)
	delete(g.waiters, t)
	select {
	case e := <-w.result:
		return e.run, e.err
	default:
		return nil, ctx.Err()
	}
}

// startOrQueue looks for a path, or adds the request to the queue.
func (r *router) startOrQueue(c *relay.Call, how relay.RunKind, avoid []spec.UpstreamID) (*waiter, *queue.Ticket, *relay.Run, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.service(c.Service.Name)
	if g.model == nil {
		return nil, nil, nil, path.ErrNoPath
	}
	now := r.now()
	w := &waiter{call: c, hasPartialAnswer: how == relay.RunResume, avoid: avoid, lastErr: path.ErrNoMemory, result: make(chan admission, 1)}
	if g.queue.Len() == 0 || w.hasPartialAnswer {
		if f, ok := r.tryStart(g, w); ok {
			return nil, nil, f, nil
		}
	}
	t := &queue.Ticket{Team: c.Team, Urgency: c.Urgency, Deadline: r.waitDeadline(g, c, how, w.lastErr)}
	if w.hasPartialAnswer {
		t.Urgency = resumedUrgency
	}
	if !g.queue.Join(now, t, g.teams.InFlight) {
		return nil, nil, nil, w.lastErr
	}
	g.waiters[t] = w
	return w, t, nil, nil
}

// tryStart looks for a path for one who waits.
func (r *router) tryStart(g *serviceState, w *waiter) (*relay.Run, bool) {
	f, err := r.startRun(g, w.call, w.hasPartialAnswer, w.avoid)
	if err != nil && w.hasPartialAnswer && len(w.avoid) > 0 {
		// An answer that began is worth a try on any engine.
		w.avoid = nil
		f, err = r.startRun(g, w.call, w.hasPartialAnswer, nil)
	}
	w.lastErr = err
	return f, err == nil
}

// waitDeadline is when a request that waits could no longer be answered in time. One
// that ran before may have run, so that its caller cannot come back, and one of
// which its caller has a part is worth all the time that there is.
func (r *router) waitDeadline(g *serviceState, c *relay.Call, how relay.RunKind, err error) time.Duration {
	now := r.now()
	target := c.Route.TargetLatency
	switch {
	case how == relay.RunResume:
		return now + time.Until(c.Deadline)
	case errors.Is(err, path.ErrNoPath):
		return now + target/noEngineWaitDivisor
	case how == relay.RunRetry:
		return now + target
	}
	return now - time.Since(c.Start) + target - g.firstLatency
}

// admit gives room that came up to those who wait, and turns away who is not
// served in time any more; r.mu is held.
func (r *router) admit(g *serviceState) {
	failed := 0
	for _, t := range g.queue.Ordered(g.teams.InFlight) {
		w := g.waiters[t]
		if f, ok := r.tryStart(g, w); ok {
			g.resolve(t, admission{run: f})
			continue
		}
		if failed++; failed == maxAdmitTries {
			break
		}
	}
	for _, t := range g.queue.RemoveExpired(r.now(), g.teams.InFlight) {
		g.resolve(t, admission{err: g.waiters[t].lastErr})
	}
}

func (g *serviceState) resolve(t *queue.Ticket, e admission) {
	w := g.waiters[t]
	g.queue.Leave(t)
	delete(g.waiters, t)
	w.result <- e
}

// admitAll looks for room for those who wait: what other instances' requests
// took may have become free.
func (r *router) admitAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, g := range r.services {
		if g.queue.Len() > 0 {
			r.admit(g)
		}
	}
}

// RetryAfter is after how long the caller of a request that is turned away should
// come back.
func (r *router) RetryAfter(c *relay.Call) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.service(c.Service.Name).queue.RetryAfter(r.now(), time.Until(c.Deadline))
}

// scarcestLayer is the layer of a service behind which there is least room, and the
// tokens that are free there.
func (r *router) scarcestLayer(service string) (layer, free int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if g := r.service(service); g.model != nil {
		_, layer, free = g.model.ScarcestLayer(r.now())
	}
	return layer, free
}
