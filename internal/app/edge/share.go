package edge

import (
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/crash"
	"fulmarwick/internal/route/path"
)

// freshCrashes are the deaths of upstreams since the last call.
func (r *router) freshCrashes() []crash.Death {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.deaths
	r.deaths = nil
	return out
}

// crashed takes deaths that another instance saw.
func (r *router) crashed(deaths []crash.Death) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range deaths {
		r.book.Strike(r.now(), d)
	}
}

// uses is what the requests of this instance take, by service.
func (r *router) uses() map[string]map[spec.UpstreamID]path.Use {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]map[spec.UpstreamID]path.Use{}
	for name, g := range r.groups {
		if g.model == nil {
			continue
		}
		if mine := g.model.Mine(); len(mine) > 0 {
			out[name] = mine
		}
	}
	return out
}

// used takes what the requests of another instance take; nil forgets it.
func (r *router) used(from spec.InstanceID, uses map[string]map[spec.UpstreamID]path.Use) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, g := range r.groups {
		if g.model != nil {
			g.model.Peer(from, uses[name])
		}
	}
}

// paces are the engines that said here that they are slow.
func (r *router) paces() map[spec.UpstreamID]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[spec.UpstreamID]float64{}
	for _, g := range r.groups {
		if g.model == nil {
			continue
		}
		for id, pace := range g.model.Slow(r.now()) {
			out[id] = pace
		}
	}
	return out
}

// paced takes what engines told another instance.
func (r *router) paced(from spec.InstanceID, paces map[spec.UpstreamID]float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, g := range r.groups {
		if g.model != nil {
			g.model.Paced(from, paces)
		}
	}
}
