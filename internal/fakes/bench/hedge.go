package bench

import "fulmarwick/internal/route/domain"

// hedge starts a second run of a request that has no token yet, as a client or
// router would that hopes for a faster chain.
func (r *run) hedge() {
	if r.outcome != OutcomeOpen || r.tokens > 0 || r.twin != nil {
		return
	}
	twin := &run{
		site: r.site, on: r.on, target: r.target, out: r.out, came: r.came,
		ask: r.ask, twin: r,
	}
	twin.ask.Request = "h-" + r.ask.Request
	r.twin = twin
	r.site.hedges++
	r.site.send(twin)
}

// won ends the slower twin when the first token came.
func (r *run) won() {
	o := r.twin
	if o == nil || o.outcome != OutcomeOpen {
		return
	}
	if o.step != nil {
		o.step.canceled = true
	}
	o.end(OutcomeHedged)
	o.on.post(domain.RequestCanceled{Request: o.ask.Request})
}
