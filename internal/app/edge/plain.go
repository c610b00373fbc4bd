package edge

import (
	"time"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/crash"
	"fulmarwick/internal/route/ewma"
)

// Pick returns the upstream of a plain service for the next request.
func (r *router) Pick(service string, avoid []spec.UpstreamID) (site.Upstream, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.service(service).plain.Pick(r.now(), avoid)
}

// RecordOutcome learns how a request ended.
func (r *router) RecordOutcome(up site.Upstream, print uint64, took time.Duration, end ewma.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.service(up.Service)
	g.plain.RecordOutcome(r.now(), up.ID, took, end)
	if end == ewma.OutcomeLost {
		g.lostAnswers = append(g.lostAnswers, lostAnswer{death: crash.Event{Fingerprint: print, Upstream: up.ID, Incarnation: up.Born, RanMs: took.Milliseconds()}, at: r.now()})
		g.lostAnswers = g.lostAnswers[max(0, len(g.lostAnswers)-maxLostAnswers):]
	}
}

// StartCooldown leaves an upstream alone that accepts no connection. Requests that it
// lost just before may have crashed it.
func (r *router) StartCooldown(up site.Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.service(up.Service)
	g.plain.StartCooldown(r.now(), up.ID)
	rest := g.lostAnswers[:0]
	for _, l := range g.lostAnswers {
		switch {
		case l.death.Upstream == up.ID && r.now()-l.at < lostAnswerWindow:
			r.recordCrash(l.death)
		case r.now()-l.at < lostAnswerWindow:
			rest = append(rest, l)
		}
	}
	g.lostAnswers = rest
}

// lostAnswer is a plain request whose answer was lost.
type lostAnswer struct {
	death crash.Event
	at    time.Duration
}

const (
	// lostAnswerWindow is how soon after an answer was lost its upstream must refuse
	// connections for the request to be suspected of its crash, and maxLosses
	// how many lost answers are remembered.
	lostAnswerWindow = time.Second
	maxLostAnswers   = 64
)

// recordCrash counts a death against a request; r.mu is held.
func (r *router) recordCrash(d crash.Event) {
	if r.crashBook.Record(r.now(), d) {
		r.unreportedCrashes = append(r.unreportedCrashes, d)
	}
}

// IsCulprit reports whether a request crashes upstreams.
func (r *router) IsCulprit(print uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashBook.IsCulprit(r.now(), print)
}

// Clear tells that a request was answered.
func (r *router) Clear(print uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashBook.Clear(print)
}

// ApplyReportedLoad takes what an upstream says of its load.
func (r *router) ApplyReportedLoad(up site.Upstream, l site.Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.service(up.Service).plain.ApplyReportedLoad(r.now(), up.ID, l)
}

// ExpectedLatency is the time in which an upstream answers as a rule.
func (r *router) ExpectedLatency(up site.Upstream) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.service(up.Service).plain.ExpectedLatency(up.ID)
}
