package poison

import "fulmarwick/internal/route/domain"

// Run clears the suspects that got past the point where they were.
func (b *Tracker) Run(w *domain.RoutingState) {
	now := w.Now()
	for _, t := range append([]*probation(nil), b.probations...) {
		switch {
		case t.request.Ended() && !t.request.Completed():
			b.endProbation(t.request)
		case t.request.Ended() || t.request.Tokens() > t.request.TokensAtStart() || now >= t.until:
			b.endProbation(t.request)
			b.clearSuspect(w, t.request.Arrival().Fingerprint)
		}
	}
	b.evictExpired(now)
}

func (b *Tracker) clearSuspect(w *domain.RoutingState, print uint64) {
	if s := b.suspects[print]; s != nil && s.crashes < culpritCrashes {
		b.evict(print)
		w.Emit(domain.ReportSuspect{Fingerprint: print})
	}
}

func (b *Tracker) endProbation(r *domain.Request) {
	keep := b.probations[:0]
	for _, t := range b.probations {
		if t.request != r {
			keep = append(keep, t)
			continue
		}
		for _, e := range t.engines {
			if b.probationByEngine[e] == r {
				delete(b.probationByEngine, e)
			}
		}
	}
	b.probations = keep
	if s := b.suspects[r.Arrival().Fingerprint]; s != nil && s.running == r {
		s.running = nil
	}
}
