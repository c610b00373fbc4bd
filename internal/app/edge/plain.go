package edge

import (
	"time"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/crash"
	"fulmarwick/internal/route/least"
)

// Pick returns the upstream of a plain service for the next request.
func (r *router) Pick(service string, avoid []spec.UpstreamID) (site.Upstream, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.group(service).plain.Pick(r.now(), avoid)
}

// Done learns how a request ended.
func (r *router) Done(up site.Upstream, print uint64, took time.Duration, end least.End) {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.group(up.Service)
	g.plain.Done(r.now(), up.ID, took, end)
	if end == least.EndLost {
		g.lost = append(g.lost, loss{death: crash.Death{Print: print, Upstream: up.ID, Born: up.Born, Ran: took.Milliseconds()}, at: r.now()})
		g.lost = g.lost[max(0, len(g.lost)-maxLosses):]
	}
}

// Rest leaves an upstream alone that accepts no connection. Requests that it
// lost just before may have crashed it.
func (r *router) Rest(up site.Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.group(up.Service)
	g.plain.Rest(r.now(), up.ID)
	rest := g.lost[:0]
	for _, l := range g.lost {
		switch {
		case l.death.Upstream == up.ID && r.now()-l.at < lossTime:
			r.strike(l.death)
		case r.now()-l.at < lossTime:
			rest = append(rest, l)
		}
	}
	g.lost = rest
}

// loss is a plain request whose answer was lost.
type loss struct {
	death crash.Death
	at    time.Duration
}

const (
	// lossTime is how soon after an answer was lost its upstream must refuse
	// connections for the request to be suspected of its crash, and maxLosses
	// how many lost answers are remembered.
	lossTime  = time.Second
	maxLosses = 64
)

// strike counts a death against a request; r.mu is held.
func (r *router) strike(d crash.Death) {
	if r.book.Strike(r.now(), d) {
		r.deaths = append(r.deaths, d)
	}
}

// Guilty reports whether a request crashes upstreams.
func (r *router) Guilty(print uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.book.Guilty(r.now(), print)
}

// Innocent tells that a request was answered.
func (r *router) Innocent(print uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.book.Clear(print)
}

// Load takes what an upstream says of its load.
func (r *router) Load(up site.Upstream, l site.Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.group(up.Service).plain.Load(r.now(), up.ID, l)
}

// Usual is the time in which an upstream answers as a rule.
func (r *router) Usual(up site.Upstream) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.group(up.Service).plain.Usual(up.ID)
}
