package bench

import "time"

// Kill makes the nth engine die at a time: with broken connections, or
// silently, so that only timeouts and missing reports tell.
func Kill(at time.Duration, n int, silent bool) Fault {
	return Fault{At: at, Apply: func(s *Simulation) { s.engines[n].crash(silent) }}
}

// Revive restarts the nth engine empty.
func Revive(at time.Duration, n int) Fault {
	return Fault{At: at, Apply: func(s *Simulation) { s.engines[n].revive() }}
}

// Degrade makes each hop to the nth engine take this long.
func Degrade(at time.Duration, n int, hop time.Duration) Fault {
	return Fault{At: at, Apply: func(s *Simulation) {
		e := s.engines[n]
		e.hopTime = hop
		for _, r := range s.runs {
			if r.outcome == OutcomeOpen && r.start.Chain.Uses(e.info.ID) {
				s.markFault(r)
			}
		}
	}}
}

// Leave makes the nth engine leave: it tells so, and refuses new work.
func Leave(at time.Duration, n int) Fault {
	return Fault{At: at, Apply: func(s *Simulation) {
		e := s.engines[n]
		e.leaving = true
		s.announceLeaving(e)
	}}
}
