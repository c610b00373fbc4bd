package edge

import (
	"context"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/line"
	"fulmarwick/internal/route/path"
	"fulmarwick/internal/wire/relay"

	"github.com/go-faster/errors"
)

const (
	// noneWait is the part of a route's target for which a request waits where
	// layers have no engine: those that are doubted are known in that time, and
	// loading takes longer than any target.
	noneWait = 8
	// tries is how many waiting requests look for room at each chance: a large
	// one must not keep out smaller ones behind it, and each look takes some
	// 30 us of the router's lock.
	tries = 4
	// firstTime is the time to the first event that is assumed before one came,
	// firstWeight that of the newest in the average.
	firstTime   = 100 * time.Millisecond
	firstWeight = 0.1
)

// waiter is a request in the line.
type waiter struct {
	call  *relay.Call
	avoid []spec.UpstreamID
	// why is what kept it from room when it last looked.
	why error
	// ready takes the run, or why there is none; it has room for one.
	ready chan entry
}

// entry is what a request in the line gets.
type entry struct {
	flight *relay.Flight
	err    error
}

// Enter chooses a path for a request of which its caller has nothing yet, and
// counts a run in. It waits for room while the answer can begin in time; again
// tells that it is not the request's first run, so that it waits for as long as
// the target anew: it may have run, and its caller cannot come back.
func (r *router) Enter(ctx context.Context, c *relay.Call, again bool, avoid []spec.UpstreamID) (*relay.Flight, error) {
	w, t, flight, err := r.join(c, again, avoid)
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
	g.line.Leave(t)
	delete(g.waiters, t)
	select {
	case e := <-w.ready:
		return e.flight, e.err
	default:
		return nil, ctx.Err()
	}
}

// join looks for a path, or adds the request to the line.
func (r *router) join(c *relay.Call, again bool, avoid []spec.UpstreamID) (*waiter, *line.Ticket, *relay.Flight, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.group(c.Service.Name)
	if g.model == nil {
		return nil, nil, nil, path.ErrNone
	}
	now := r.now()
	err := path.ErrFull
	if g.line.Len() == 0 {
		var f *relay.Flight
		if f, err = r.begin(g, c, false, avoid); err == nil {
			return nil, nil, f, nil
		}
	}
	w := &waiter{call: c, avoid: avoid, why: err, ready: make(chan entry, 1)}
	t := &line.Ticket{Team: c.Team, Urgency: c.Urgency, Until: r.until(g, c, again, err)}
	if !g.line.Join(now, t, g.teams.Flying) {
		return nil, nil, nil, err
	}
	g.waiters[t] = w
	return w, t, nil, nil
}

// until is when a request that waits could no longer be answered in time.
func (r *router) until(g *group, c *relay.Call, again bool, err error) time.Duration {
	now := r.now()
	target := c.Route.Target
	switch {
	case errors.Is(err, path.ErrNone):
		return now + target/noneWait
	case again:
		return now + target
	}
	return now - time.Since(c.Start) + target - g.first
}

// admit gives room that came up to those who wait, and turns away who is not
// served in time any more; r.mu is held.
func (r *router) admit(g *group) {
	failed := 0
	for _, t := range g.line.Next(g.teams.Flying) {
		w := g.waiters[t]
		f, err := r.begin(g, w.call, false, w.avoid)
		if err == nil {
			g.answer(t, entry{flight: f})
			continue
		}
		w.why = err
		if failed++; failed == tries {
			break
		}
	}
	for _, t := range g.line.Late(r.now(), g.teams.Flying) {
		g.answer(t, entry{err: g.waiters[t].why})
	}
}

func (g *group) answer(t *line.Ticket, e entry) {
	w := g.waiters[t]
	g.line.Leave(t)
	delete(g.waiters, t)
	w.ready <- e
}

// admitAll looks for room for those who wait: what other instances' requests
// took may have become free.
func (r *router) admitAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, g := range r.groups {
		if g.line.Len() > 0 {
			r.admit(g)
		}
	}
}

// Back is after how long the caller of a request that is turned away should
// come back.
func (r *router) Back(c *relay.Call) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.group(c.Service.Name).line.Back(r.now(), time.Until(c.Until))
}
