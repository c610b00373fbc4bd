package edge

import (
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/again"
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

// repeatsTime is how long what others told of their repeats counts.
const repeatsTime = time.Second

// toldRepeats is what other instances told of their repeats.
type toldRepeats struct {
	counts map[string]again.Count
	at     time.Duration
}

// repeats is how often requests of this instance were sent, by service.
func (r *router) repeats() map[string]again.Count {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]again.Count, len(r.groups))
	for name, g := range r.groups {
		out[name] = g.budget.Count(r.now())
	}
	return out
}

// repeated takes how often requests of others were sent; nil forgets it.
func (r *router) repeated(from spec.InstanceID, counts map[string]again.Count) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if counts == nil {
		delete(r.told, from)
		return
	}
	r.told[from] = toldRepeats{counts: counts, at: r.now()}
}

// others is what other instances did lately for a service; r.mu is held.
func (r *router) others(service string) again.Count {
	var sum again.Count
	for _, t := range r.told {
		if r.now()-t.at < repeatsTime {
			sum = sum.Plus(t.counts[service])
		}
	}
	return sum
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
