package edge

import (
	"slices"
	"time"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/crash"
	"fulmarwick/internal/route/ewma"
	"fulmarwick/internal/route/path"
	"fulmarwick/internal/wire/relay"
)

// Pick returns the upstream of a plain service for the next send of a request, without those
// to avoid.
func (r *router) Pick(service string, suspects []crash.Key, avoid []spec.UpstreamID) (site.Upstream, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.crashBook.Check(r.now(), suspects); err != nil {
		return site.Upstream{}, err
	}
	up, ok := r.service(service).plain.Pick(r.now(), avoid)
	if !ok {
		return site.Upstream{}, r.noUpstream(service)
	}
	r.crashBook.Begin(r.now(), suspects)
	r.limits.Take(time.Now(), up.ID)
	return up, nil
}

// noUpstream returns why a plain service has no upstream for a request; r.mu is held.
func (r *router) noUpstream(service string) error {
	if slices.ContainsFunc(r.service(service).upstreams, func(up site.Upstream) bool { return up.State == site.StateReady && r.isLimited(up.ID) }) {
		return path.ErrRateLimited
	}
	return relay.ErrNoUpstream
}

// RecordOutcome records how a request to an upstream ended. One without an answer may crash the
// upstream, or have done so.
func (r *router) RecordOutcome(up site.Upstream, sent relay.SentRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	svc := r.service(up.Service)
	took := time.Since(sent.Began)
	svc.plain.RecordOutcome(r.now(), up.ID, took, sent.Outcome)
	r.reportSuspectRun(suspectRun{upstream: up.ID, suspects: sent.Suspects, took: took, end: sent.End})
	switch sent.End {
	case relay.RunUnsent:
		r.crashBook.ReturnTrials(r.now(), sent.Suspects, r.now()-took)
	case relay.RunAnswered:
		r.openRuns.SetAlive(r.now(), processOf(up))
		r.clear(sent.Suspects, sent.Began)
	case relay.RunFailed:
		r.openRuns.SetAlive(r.now(), processOf(up))
	case relay.RunOpen:
		event := crash.NewCrash(sent.Suspects)
		event.Upstream, event.Incarnation, event.RanMs = up.ID, up.Born, took.Milliseconds()
		r.keepOpen(event, processOf(up), sent.Deadline)
		if sent.Outcome == ewma.OutcomeLost || r.crashBook.EndedCount(r.now(), event.Key()) > 0 {
			r.checkEnd(svc, up)
		}
	}
}

// StartCooldown keeps requests off an upstream that accepts no connection, and checks whether it has
// ended if requests may have been on it.
func (r *router) StartCooldown(up site.Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	svc := r.service(up.Service)
	svc.plain.StartCooldown(r.now(), up.ID)
	if r.openRuns.Has(processOf(up)) {
		r.checkEnd(svc, up)
	}
}

// ApplyReportedLoad applies the load that an upstream reported.
func (r *router) ApplyReportedLoad(up site.Upstream, l site.Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.service(up.Service).plain.ApplyReportedLoad(r.now(), up.ID, l)
}

// ExpectedLatency returns the usual time in which an upstream answers.
func (r *router) ExpectedLatency(up site.Upstream) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.service(up.Service).plain.ExpectedLatency(up.ID)
}
