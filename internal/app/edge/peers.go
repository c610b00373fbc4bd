package edge

import (
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/path"
	"fulmarwick/internal/route/resend"
)

// localUsage returns the usage of the engines by the requests of this instance, by
// service.
func (r *router) localUsage() map[string]map[spec.UpstreamID]path.Usage {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]map[spec.UpstreamID]path.Usage{}
	for name, svc := range r.services {
		if svc.model == nil {
			continue
		}
		if usage := svc.model.LocalUsage(); len(usage) > 0 {
			out[name] = usage
		}
	}
	return out
}

// applyPeerUsage sets the usage by the requests of another instance; nil removes it.
func (r *router) applyPeerUsage(from spec.InstanceID, usage map[string]map[spec.UpstreamID]path.Usage) {
	expects := r.expectsLoad()
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, svc := range r.services {
		if svc.model != nil {
			svc.model.ExpectLoad = expects
			svc.model.RecordReport(r.now(), from, usage == nil)
			svc.model.SetPeerUsage(from, usage[name])
		}
	}
}

// localRetries returns the retry usage of this instance, by service.
func (r *router) localRetries() map[string]resend.Usage {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]resend.Usage, len(r.services))
	for name, svc := range r.services {
		out[name] = svc.retryBudget.Usage(r.now())
	}
	return out
}

// applyPeerRetries sets the retry usage of another instance; nil means that it reports none any more.
func (r *router) applyPeerRetries(from spec.InstanceID, counts map[string]resend.Usage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, svc := range r.services {
		if counts == nil {
			svc.peerRetries.End(from)
		} else {
			svc.peerRetries.Set(r.now(), from, counts[name])
		}
	}
}

// localSlowdowns returns the slowdown factors of the engines that reported to this
// instance that they are slow.
func (r *router) localSlowdowns() map[spec.UpstreamID]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[spec.UpstreamID]float64{}
	for _, svc := range r.services {
		if svc.model == nil {
			continue
		}
		for id, slowdown := range svc.model.LocalSlowdowns(r.now()) {
			out[id] = slowdown
		}
	}
	return out
}

// applyPeerSlowdowns sets the slowdown factors that engines reported to another instance;
// nil removes them.
func (r *router) applyPeerSlowdowns(from spec.InstanceID, slowdowns map[spec.UpstreamID]float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, svc := range r.services {
		if svc.model != nil {
			svc.model.SetPeerSlowdowns(from, slowdowns)
		}
	}
}
