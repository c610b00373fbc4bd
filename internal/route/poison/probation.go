package poison

import "fulmarwick/internal/route/domain"

// Run clears the suspects that generated a token past the point of the crash,
// completed, or outlasted their probation. It also evicts expired
// fingerprints.
func (t *Tracker) Run(state *domain.RoutingState) {
	now := state.Now()
	for _, p := range append([]*probation(nil), t.probations...) {
		switch {
		case p.request.Ended() && !p.request.Completed():
			t.endProbation(p.request)
		case p.request.Ended() || p.request.Tokens() > p.request.TokensAtStart() || now >= p.until:
			t.endProbation(p.request)
			t.clearSuspect(state, p.request.Arrival().Fingerprint)
		}
	}
	t.evictExpired(now)
}

func (t *Tracker) clearSuspect(state *domain.RoutingState, fingerprint uint64) {
	if s := t.suspects[fingerprint]; s != nil && s.crashes < culpritCrashes {
		t.evict(fingerprint)
		state.Emit(domain.ReportSuspect{Fingerprint: fingerprint})
	}
}

func (t *Tracker) endProbation(r *domain.Request) {
	kept := t.probations[:0]
	for _, p := range t.probations {
		if p.request != r {
			kept = append(kept, p)
			continue
		}
		for _, e := range p.engines {
			if t.probationByEngine[e] == r {
				delete(t.probationByEngine, e)
			}
		}
	}
	t.probations = kept
	if s := t.suspects[r.Arrival().Fingerprint]; s != nil && s.running == r {
		s.running = nil
	}
}
