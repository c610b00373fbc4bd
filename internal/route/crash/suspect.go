package crash

import (
	"slices"
	"time"
)

// Standing is how far a request may be sent.
type Standing int

//go:generate stringer -type=Standing -linecomment -output=standing_string.go

// Standings, each stricter than the one before.
const (
	StandingFree        Standing = iota // free
	StandingQuarantined                 // quarantined
	StandingCulprit                     // culprit
)

// suspect is what is known of a request or a part under which upstreams ended.
type suspect struct {
	// ended holds one run for each upstream process that ended.
	ended []endedRun
	// runs is how many runs were reported to have ended.
	runs      int
	lastCrash time.Duration
	// standing is how far the request may be sent. Only a run that began after the last crash
	// lifts a restriction.
	standing Standing
	// restrictedAt is the time from which runs are trials: of a request, when the last crash
	// came before the quarantine; of a part, which is quarantined later, the quarantine itself.
	restrictedAt time.Duration
	// own means that this instance sent the request when an upstream crashed.
	own bool
	// trials is how many trials were granted to this instance and have not begun, and startUntil until
	// when they may.
	trials     int
	startUntil time.Duration
	// nextTrialAt is when this instance may ask for a trial again, nextJointAt when it may do so
	// for a request with other suspects.
	nextTrialAt, nextJointAt time.Duration
}

// mayTry reports whether this instance has a trial that may begin.
func (s suspect) mayTry(now time.Duration) bool { return s.trials > 0 && now <= s.startUntil }

// evidence returns the standing that follows from the ended runs of a request alone.
func (s suspect) evidence() Standing {
	strong, all := s.countCauses()
	switch {
	case strong >= culpritCrashes || all >= maxCrashes:
		return StandingCulprit
	case s.isImplicated():
		return StandingQuarantined
	}
	return StandingFree
}

// isImplicated reports whether as many upstreams ended as quarantine a request.
func (s suspect) isImplicated() bool { return isEnough(s.ended) }

// isEnough reports whether ended runs suffice for a quarantine.
func isEnough(ended []endedRun) bool {
	return strongEnds(ended) >= culpritCrashes || len(ended) >= maxCrashes
}

// strongEnds returns the number of ended runs that are strong evidence.
func strongEnds(ended []endedRun) int {
	n := 0
	for _, run := range ended {
		if !run.weak {
			n++
		}
	}
	return n
}

// ttl returns how long after the last crash a suspect is kept.
func (s suspect) ttl() time.Duration {
	if s.standing > StandingFree {
		return RestrictionTTL
	}
	return suspectTTL
}

// countCauses returns the number of crashes with separate causes: of the strong ones, and of
// all. A strong crash takes the place of weak ones that share its cause.
func (s suspect) countCauses() (strong, all int) {
	var causes []endedRun
	for _, run := range s.ended {
		if slices.ContainsFunc(causes, func(o endedRun) bool { return run.sharesCause(o) && (run.weak || !o.weak) }) {
			continue
		}
		causes = append(slices.DeleteFunc(causes, run.sharesCause), run)
	}
	return strongEnds(causes), len(causes)
}

// apply records an event other than a clearance and reports whether it is news.
func (s *suspect) apply(now time.Duration, key Key, e Event) bool {
	at := now - time.Duration(e.AgeMs)*time.Millisecond
	before, news := s.standing, false
	if before == StandingFree && len(s.ended) == 0 {
		s.lastCrash = at
	}
	s.own = s.own || e.Own
	switch e.Kind {
	case EventVerdict:
		s.standing = StandingCulprit
	case EventQuarantine:
		s.standing = max(s.standing, StandingQuarantined)
	default:
		news = s.applyCrash(key, newEndedRun(now, e))
	}
	if news || e.Kind != EventCrash {
		s.lastCrash = max(s.lastCrash, at)
	}
	if before == StandingFree && s.standing > before {
		s.restrictedAt = s.lastCrash
		if key.IsPart {
			s.restrictedAt = now
		}
	}
	return news || s.standing > before
}

// applyCrash records an ended run and reports whether it is news. A request is judged at once.
func (s *suspect) applyCrash(key Key, run endedRun) bool {
	s.runs++
	news := s.add(run)
	if news && !key.IsPart {
		s.judge()
	}
	return news
}

// add adds an ended run and reports whether that is news: an upstream that was not counted, or
// stronger evidence on one that was.
func (s *suspect) add(run endedRun) bool {
	if i := slices.IndexFunc(s.ended, run.isSameProcess); i >= 0 {
		if run.weak || !s.ended[i].weak {
			return false
		}
		s.ended = append(slices.Delete(slices.Clone(s.ended), i, i+1), run)
		return true
	}
	if len(s.ended) >= maxEndedRuns {
		return false
	}
	s.ended = append(slices.Clone(s.ended), run)
	return true
}

// judge makes the standing of a request as strict as its newest ended run asks for.
func (s *suspect) judge() {
	newest := s.ended[len(s.ended)-1]
	if s.isFailedTrial(newest) {
		s.standing = StandingCulprit
	}
	s.standing = max(s.standing, s.evidence())
}

// isFailedTrial reports whether a run began after the quarantine and crashed its upstream, without
// another one that ended together with it.
func (s *suspect) isFailedTrial(run endedRun) bool {
	return s.standing == StandingQuarantined && !run.weak && run.started >= s.restrictedAt &&
		!slices.ContainsFunc(s.ended, func(o endedRun) bool { return !o.isSameProcess(run) && run.sharesCause(o) })
}

// clear forgets what happened before a time, and reports whether it lifts a restriction.
func (s *suspect) clear(began time.Duration) bool {
	before := s.standing
	s.ended = slices.DeleteFunc(slices.Clone(s.ended), func(run endedRun) bool { return run.ended <= began })
	if s.lastCrash <= began {
		s.standing, s.trials, s.runs = StandingFree, 0, 0
	}
	return before > s.standing
}

// exonerate forgets the end of a process that has another explanation, and reports whether that
// lifts a restriction. A part stays restricted while an end has none: several parts may crash
// upstreams at a time, and if it is sound, its trial shows that.
func (s *suspect) exonerate(key Key, p Process) bool {
	i := slices.IndexFunc(s.ended, func(run endedRun) bool { return run.Process == p })
	if i < 0 {
		return false
	}
	s.ended = slices.Delete(slices.Clone(s.ended), i, i+1)
	if s.standing == StandingFree || s.isImplicated() || key.IsPart && len(s.ended) > 0 {
		return false
	}
	s.standing, s.trials = StandingFree, 0
	return true
}
