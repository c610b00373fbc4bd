package bench

import "fulmarwick/internal/route/domain"

// startHedge starts a second run of a request that has no token yet. A client
// or router would do so to get a faster chain.
func (r *run) startHedge() {
	if r.outcome != OutcomeOpen || r.tokens > 0 || r.sibling != nil {
		return
	}
	sibling := &run{
		sim: r.sim, instance: r.instance, target: r.target, outputTokens: r.outputTokens, arrivedAt: r.arrivedAt,
		arrival: r.arrival, sibling: r,
	}
	sibling.arrival.Request = "h-" + r.arrival.Request
	r.sibling = sibling
	r.sim.hedges++
	r.sim.send(sibling)
}

// cancelSibling cancels the slower run of a hedged request at the first token.
func (r *run) cancelSibling() {
	sibling := r.sibling
	if sibling == nil || sibling.outcome != OutcomeOpen {
		return
	}
	if sibling.step != nil {
		sibling.step.canceled = true
	}
	sibling.finish(OutcomeHedged)
	sibling.instance.post(domain.RequestCanceled{Request: sibling.arrival.Request})
}
