package edge

import (
	"context"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/crash"
	"fulmarwick/internal/route/path"
	"fulmarwick/internal/wire/relay"
)

// hasSpareAttempt reports whether a request may run on an engine besides first and those that it ran on
// before. Engines that have exited do not count. router.mu is held.
func (svc *serviceState) hasSpareAttempt(maxAttempts int, attempted []crash.Process, first spec.UpstreamID) bool {
	n := 1
	for _, p := range attempted {
		if p.Upstream != first && !svc.hasExited(p) {
			n++
		}
	}
	return n < maxAttempts
}

// hasExited reports whether a process of an engine is known to have exited; router.mu is held.
func (svc *serviceState) hasExited(p crash.Process) bool {
	up, known := svc.model.Upstream(p.Upstream)
	return known && (isReplaced(up, p) || svc.model.Health(p.Upstream) == path.HealthDead)
}

// ConfirmExited reports whether the process of an engine has ended. That an engine leaves and breaks its
// runs off shows nothing: its connections may have been reset.
func (r *router) ConfirmExited(ctx context.Context, c *relay.Call, p crash.Process) bool {
	up, known := r.upstream(c.Service.Name, p.Upstream)
	switch {
	case !known:
		return false
	case isReplaced(up, p):
		r.onAttemptReleased(c, p.Upstream, "replaced")
	case r.isDead(ctx, up):
		r.onAttemptReleased(c, p.Upstream, "dead")
	default:
		return false
	}
	return true
}

// isReplaced reports whether the row of an engine is that of another process. It is not if the incarnation of p
// is unknown.
func isReplaced(up site.Upstream, p crash.Process) bool {
	return p.Incarnation != 0 && up.Born != p.Incarnation
}

// EndRequest drops the engines of a request from those that the table keeps for it.
func (r *router) EndRequest(service string, engines []spec.UpstreamID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	svc := r.service(service)
	for _, id := range engines {
		if svc.attempted[id]--; svc.attempted[id] <= 0 {
			delete(svc.attempted, id)
		}
	}
}
