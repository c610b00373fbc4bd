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
	// noneWait is the part of a route's target for which a request waits where
	// layers have no engine: those that are doubted are known in that time, and
	// loading takes longer than any target.
	noneWait = 8
	// tries is how many waiting requests look for room at each chance: a large
	// one must not keep out smaller ones behind it, and each look holds the router's
	// lock.
	tries = 4
	// firstTime is the time to the first event that is assumed before one came,
	// firstWeight that of the newest in the average.
	firstTime   = 100 * time.Millisecond
	firstWeight = 0.1
	// resumed is the urgency of answers that were broken off, before all others:
	// their callers leave after two seconds without an event, while one who
	// waits for the first event has 0.4 s before it is late.
	resumed = -1
)

// waiter is a request in the queue.
type waiter struct {
	call *relay.Call
	// begun tells that the caller has a part of the answer.
	begun bool
	avoid []spec.UpstreamID
	// why is what kept it from room when it last looked.
	why error
	// ready takes the run, or why there is none; it has room for one.
	ready chan entry
}

// entry is what a request in the queue gets.
type entry struct {
	flight *relay.Flight
	err    error
}

// Enter chooses a path for a request without the engines to avoid and counts a
// run in. It waits for room while the answer can begin in time.
func (r *router) Enter(ctx context.Context, c *relay.Call, how relay.Entry, avoid []spec.UpstreamID) (*relay.Flight, error) {
	w, t, flight, err := r.join(c, how, avoid)
	if w == nil {
		return flight, err
	}
	select {
	case e := <-w.ready:
		return e.flight, e.err
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.group(c.Service.Name)
	g.queue.Leave(t)
	delete(g.waiters, t)
	select {
	case e := <-w.ready:
		return e.flight, e.err
	default:
		return nil, ctx.Err()
	}
}

// join looks for a path, or adds the request to the queue.
func (r *router) join(c *relay.Call, how relay.Entry, avoid []spec.UpstreamID) (*waiter, *queue.Ticket, *relay.Flight, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.group(c.Service.Name)
	if g.model == nil {
		return nil, nil, nil, path.ErrNone
	}
	now := r.now()
	w := &waiter{call: c, begun: how == relay.EntryResume, avoid: avoid, why: path.ErrFull, ready: make(chan entry, 1)}
	if g.queue.Len() == 0 || w.begun {
		if f, ok := r.look(g, w); ok {
			return nil, nil, f, nil
		}
	}
	t := &queue.Ticket{Team: c.Team, Urgency: c.Urgency, Until: r.until(g, c, how, w.why)}
	if w.begun {
		t.Urgency = resumed
	}
	if !g.queue.Join(now, t, g.teams.Flying) {
		return nil, nil, nil, w.why
	}
	g.waiters[t] = w
	return w, t, nil, nil
}

// look looks for a path for one who waits.
func (r *router) look(g *group, w *waiter) (*relay.Flight, bool) {
	f, err := r.begin(g, w.call, w.begun, w.avoid)
	if err != nil && w.begun && len(w.avoid) > 0 {
		// An answer that began is worth a try on any engine.
		w.avoid = nil
		f, err = r.begin(g, w.call, w.begun, nil)
	}
	w.why = err
	return f, err == nil
}

// until is when a request that waits could no longer be answered in time. One
// that ran before may have run, so that its caller cannot come back, and one of
// which its caller has a part is worth all the time that there is.
func (r *router) until(g *group, c *relay.Call, how relay.Entry, err error) time.Duration {
	now := r.now()
	target := c.Route.Target
	switch {
	case how == relay.EntryResume:
		return now + time.Until(c.Until)
	case errors.Is(err, path.ErrNone):
		return now + target/noneWait
	case how == relay.EntryAgain:
		return now + target
	}
	return now - time.Since(c.Start) + target - g.first
}

// admit gives room that came up to those who wait, and turns away who is not
// served in time any more; r.mu is held.
func (r *router) admit(g *group) {
	failed := 0
	for _, t := range g.queue.Next(g.teams.Flying) {
		w := g.waiters[t]
		if f, ok := r.look(g, w); ok {
			g.answer(t, entry{flight: f})
			continue
		}
		if failed++; failed == tries {
			break
		}
	}
	for _, t := range g.queue.Late(r.now(), g.teams.Flying) {
		g.answer(t, entry{err: g.waiters[t].why})
	}
}

func (g *group) answer(t *queue.Ticket, e entry) {
	w := g.waiters[t]
	g.queue.Leave(t)
	delete(g.waiters, t)
	w.ready <- e
}

// admitAll looks for room for those who wait: what other instances' requests
// took may have become free.
func (r *router) admitAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, g := range r.groups {
		if g.queue.Len() > 0 {
			r.admit(g)
		}
	}
}

// Back is after how long the caller of a request that is turned away should
// come back.
func (r *router) Back(c *relay.Call) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.group(c.Service.Name).queue.Back(r.now(), time.Until(c.Until))
}

// scarce is the layer of a service behind which there is least room, and the
// tokens that are free there.
func (r *router) scarce(service string) (layer, free int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if g := r.group(service); g.model != nil {
		_, layer, free = g.model.Scarce(r.now())
	}
	return layer, free
}
