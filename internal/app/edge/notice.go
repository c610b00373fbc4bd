package edge

import (
	"time"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"

	"go.uber.org/zap"
)

// RecordNotice records what an upstream of a service said in an answer about later
// requests.
func (r *router) RecordNotice(service string, id spec.UpstreamID, n site.Notice) {
	r.mu.Lock()
	incarnation := int64(0)
	for _, up := range r.service(service).upstreams {
		if up.ID == id {
			incarnation = up.Born
		}
	}
	newlyLeaving := r.notices.Record(r.now(), id, incarnation, n)
	if n.RateLimit > 0 {
		r.recordRateLimit(id, n.RateLimit)
	}
	r.mu.Unlock()
	r.onNotice(id, n, newlyLeaving)
}

// recordNoticeAt is like RecordNotice for the model engine at an address.
func (r *router) recordNoticeAt(address string, n site.Notice) {
	if up, ok := r.engineAt(address); ok {
		r.RecordNotice(up.Service, up.ID, n)
	}
}

// engineAt returns the engine at an address, of any service.
func (r *router) engineAt(address string) (site.Upstream, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.findEngineAt(address)
}

// findEngineAt is engineAt with r.mu held.
func (r *router) findEngineAt(address string) (site.Upstream, bool) {
	for _, svc := range r.services {
		if svc.model == nil {
			continue
		}
		if up, ok := svc.model.UpstreamAt(address); ok {
			return up, true
		}
	}
	return site.Upstream{}, false
}

// AcceptsRequests reports whether an upstream neither leaves nor asked for backoff.
func (r *router) AcceptsRequests(id spec.UpstreamID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.notices.Accepts(r.now(), id)
}

// BackoffLeft returns how long it takes until an upstream of a service accepts requests
// again, if all of them asked for backoff or have a rate limit without room.
func (r *router) BackoffLeft(service string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	limitWait := func(id spec.UpstreamID) time.Duration { return r.limits.Wait(now, id) }
	return r.notices.BackoffLeft(r.now(), r.service(service).upstreams, limitWait)
}

// applyNotices returns the list of upstreams with those marked as draining that said in an
// answer that they leave.
func (r *router) applyNotices(list []site.Upstream) []site.Upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.notices.Apply(r.now(), list)
}

// recordNotice counts and logs a notice, and takes an upstream out of use that leaves.
func (i *Instance) recordNotice(id spec.UpstreamID, n site.Notice, newlyLeaving bool) {
	if n.Backoff > 0 {
		i.meters.GetOrCreateCounter(`fulmarwick_notices_total{kind="backoff"}`).Inc()
		i.Log.Info("edge: upstream asked for backoff", zap.String("upstream", string(id)), zap.Duration("backoff", n.Backoff))
	}
	if newlyLeaving {
		i.meters.GetOrCreateCounter(`fulmarwick_notices_total{kind="leaving"}`).Inc()
		i.Log.Info("edge: upstream says that it leaves", zap.String("upstream", string(id)))
		i.state.republish()
	}
}
