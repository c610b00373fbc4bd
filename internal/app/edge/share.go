package edge

import (
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/crash"
	"fulmarwick/internal/route/path"
	"fulmarwick/internal/route/resend"
)

// takeCrashes are the deaths of upstreams since the last call.
func (r *router) takeCrashes() []crash.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.unreportedCrashes
	r.unreportedCrashes = nil
	return out
}

// applyPeerCrashes takes deaths that another instance saw.
func (r *router) applyPeerCrashes(deaths []crash.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range deaths {
		r.crashBook.Record(r.now(), d)
	}
}

// localUsage is what the requests of this instance take, by service.
func (r *router) localUsage() map[string]map[spec.UpstreamID]path.Usage {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]map[spec.UpstreamID]path.Usage{}
	for name, g := range r.services {
		if g.model == nil {
			continue
		}
		if mine := g.model.LocalUsage(); len(mine) > 0 {
			out[name] = mine
		}
	}
	return out
}

// applyPeerUsage takes what the requests of another instance take; nil forgets it.
func (r *router) applyPeerUsage(from spec.InstanceID, uses map[string]map[spec.UpstreamID]path.Usage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, g := range r.services {
		if g.model != nil {
			g.model.SetPeerUsage(from, uses[name])
		}
	}
}

// peerRetriesTTL is how long what others told of their repeats counts.
const peerRetriesTTL = time.Second

// peerRetryReport is what other instances told of their repeats.
type peerRetryReport struct {
	counts     map[string]resend.Usage
	receivedAt time.Duration
}

// localRetries is how often requests of this instance were sent, by service.
func (r *router) localRetries() map[string]resend.Usage {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]resend.Usage, len(r.services))
	for name, g := range r.services {
		out[name] = g.retryBudget.Usage(r.now())
	}
	return out
}

// applyPeerRetries takes how often requests of others were sent; nil forgets it.
func (r *router) applyPeerRetries(from spec.InstanceID, counts map[string]resend.Usage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if counts == nil {
		delete(r.peerRetries, from)
		return
	}
	r.peerRetries[from] = peerRetryReport{counts: counts, receivedAt: r.now()}
}

// peerRetryCount is what other instances did lately for a service; r.mu is held.
func (r *router) peerRetryCount(service string) resend.Usage {
	var sum resend.Usage
	for _, t := range r.peerRetries {
		if r.now()-t.receivedAt < peerRetriesTTL {
			sum = sum.Plus(t.counts[service])
		}
	}
	return sum
}

// localSlowdowns are the engines that said here that they are slow.
func (r *router) localSlowdowns() map[spec.UpstreamID]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[spec.UpstreamID]float64{}
	for _, g := range r.services {
		if g.model == nil {
			continue
		}
		for id, pace := range g.model.LocalSlowdowns(r.now()) {
			out[id] = pace
		}
	}
	return out
}

// applyPeerSlowdowns takes what engines told another instance.
func (r *router) applyPeerSlowdowns(from spec.InstanceID, paces map[spec.UpstreamID]float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, g := range r.services {
		if g.model != nil {
			g.model.SetPeerSlowdowns(from, paces)
		}
	}
}
