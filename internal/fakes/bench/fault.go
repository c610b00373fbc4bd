package bench

import "time"

// Kill crashes the nth engine at a time. Its connections break, or, if hang is
// true, stay open without an answer, so that only timeouts and missing reports
// reveal the crash.
func Kill(at time.Duration, n int, hang bool) Fault {
	return Fault{At: at, Apply: func(s *Simulation) { s.engines[n].crash(hang) }}
}

// Revive restarts the nth engine without state at a time.
func Revive(at time.Duration, n int) Fault {
	return Fault{At: at, Apply: func(s *Simulation) { s.engines[n].revive() }}
}

// Degrade sets the time of each hop to the nth engine to hop.
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

// Leave makes the nth engine announce that it leaves and refuse new work.
func Leave(at time.Duration, n int) Fault {
	return Fault{At: at, Apply: func(s *Simulation) {
		e := s.engines[n]
		e.leaving = true
		s.announceLeaving(e)
	}}
}
