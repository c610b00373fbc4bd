package bench

import "fulmarwick/internal/route/domain"

// startHedge starts a second run of a request that has no token yet, as a client or
// router would that hopes for a faster chain.
func (r *run) startHedge() {
	if r.outcome != OutcomeOpen || r.tokens > 0 || r.sibling != nil {
		return
	}
	twin := &run{
		sim: r.sim, instance: r.instance, target: r.target, outputTokens: r.outputTokens, arrivedAt: r.arrivedAt,
		arrival: r.arrival, sibling: r,
	}
	twin.arrival.Request = "h-" + r.arrival.Request
	r.sibling = twin
	r.sim.hedges++
	r.sim.send(twin)
}

// cancelSibling ends the slower twin when the first token came.
func (r *run) cancelSibling() {
	o := r.sibling
	if o == nil || o.outcome != OutcomeOpen {
		return
	}
	if o.step != nil {
		o.step.canceled = true
	}
	o.finish(OutcomeHedged)
	o.instance.post(domain.RequestCanceled{Request: o.arrival.Request})
}
