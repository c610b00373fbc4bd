package edge

import (
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/limit"

	"go.uber.org/zap"
)

// isLimited reports whether the rate limit of an upstream leaves no room for a request; r.mu
// is held.
func (r *router) isLimited(id spec.UpstreamID) bool {
	return !r.limits.IsEmpty() && r.limits.Wait(time.Now(), id) > 0
}

// takeStages counts a run on the stages of its path that are new to it in the rate limits of
// their engines; r.mu is held.
func (r *router) takeStages(stages spec.Chain) {
	now := time.Now()
	for _, stage := range stages {
		r.limits.Take(now, stage.Engine())
	}
}

// takeCallAt counts a call to the engine at an address that is no request of a caller in its
// rate limit.
func (r *router) takeCallAt(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.limits.IsEmpty() {
		return
	}
	if up, ok := r.findEngineAt(address); ok {
		r.limits.Take(time.Now(), up.ID)
	}
}

// mayCall reports whether an engine may be called without need: it neither asked for backoff
// nor leaves its rate limit no room.
func (r *router) mayCall(id spec.UpstreamID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.notices.InBackoff(r.now(), id) && !r.isLimited(id)
}

// recordRateLimit records the rate limit that an upstream named in an answer; r.mu is held.
func (r *router) recordRateLimit(id spec.UpstreamID, perSecond float64) {
	if r.limits.Record(time.Now(), id, limit.Statement{PerSecond: perSecond}) {
		r.onRateLimit(id, perSecond)
	}
}

// RecordUnlimited records that an upstream named no rate limit in its answer to a request.
func (r *router) RecordUnlimited(id spec.UpstreamID, sentAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.limits.RecordUnlimited(time.Now(), id, sentAt) {
		r.onRateLimit(id, 0)
	}
}

// rateLimits returns what is known of the rate limits of upstreams.
func (r *router) rateLimits() map[spec.UpstreamID]limit.Statement {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.limits.Statements(time.Now())
}

// applyPeerRateLimits records what another instance knows of the rate limits of upstreams.
func (r *router) applyPeerRateLimits(limits map[spec.UpstreamID]limit.Statement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, s := range limits {
		if r.limits.Record(time.Now(), id, s) {
			r.onRateLimit(id, s.PerSecond)
		}
	}
}

// logRateLimit counts and logs a change of the rate limit of an upstream.
func (i *Instance) logRateLimit(id spec.UpstreamID, perSecond float64) {
	i.meters.GetOrCreateCounter(`fulmarwick_notices_total{kind="rate limit"}`).Inc()
	i.Log.Info("edge: rate limit of upstream changed", zap.String("upstream", string(id)), zap.Float64("per second", perSecond))
}
