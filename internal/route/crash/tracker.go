package crash

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/go-faster/errors"
)

// Errors of requests that must not be sent.
var (
	ErrQuarantined = errors.New("crash: upstreams ended under the request, it waits for a trial")
	ErrCulprit     = errors.New("crash: request crashes upstreams")
)

// IsRestriction reports whether an error means that a request must not be sent.
func IsRestriction(err error) bool {
	return errors.Is(err, ErrQuarantined) || errors.Is(err, ErrCulprit)
}

// Tracker records suspects. It is not safe for concurrent use.
type Tracker struct {
	suspects map[uint64]suspect
}

// Record records an event. It returns false if the event is no news.
func (t *Tracker) Record(now time.Duration, e Event) bool {
	at := now - time.Duration(e.AgeMs)*time.Millisecond
	if e.Kind == EventClearance {
		return t.Clear(now, e.Fingerprint, at)
	}
	if e.Kind == EventCrash && e.Upstream == "" {
		// Former versions report verdicts like this.
		return false
	}
	s := t.unexpired(now, e.Fingerprint)
	news := s.apply(now, e)
	t.store(e.Fingerprint, s)
	return news
}

// store stores a suspect. The number of suspects stays bounded.
func (t *Tracker) store(fingerprint uint64, s suspect) {
	if t.suspects == nil {
		t.suspects = map[uint64]suspect{}
	}
	t.suspects[fingerprint] = s
	if len(t.suspects) > maxSuspects {
		t.evictOldest()
	}
}

func (t *Tracker) unexpired(now time.Duration, fingerprint uint64) suspect {
	s, ok := t.suspects[fingerprint]
	if !ok || now-s.lastCrash > s.ttl() {
		return suspect{}
	}
	return s
}

// evictOldest drops half of the suspects, the oldest ones. Those with restrictions stay
// longest.
func (t *Tracker) evictOldest() {
	keys := make([]uint64, 0, len(t.suspects))
	for key := range t.suspects {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool {
		a, b := t.suspects[keys[i]], t.suspects[keys[j]]
		if a.standing != b.standing {
			return a.standing < b.standing
		}
		return a.lastCrash < b.lastCrash
	})
	for _, key := range keys[:len(keys)/2] {
		delete(t.suspects, key)
	}
}

// Known returns what an instance has to know that starts: the restrictions, and the crashes of
// requests that may be restricted after the next one.
func (t *Tracker) Known(now time.Duration) []Event {
	var out []Event
	for fingerprint := range t.suspects {
		s := t.unexpired(now, fingerprint)
		switch {
		case s.standing > StandingFree:
			out = append(out, Event{Fingerprint: fingerprint, Kind: s.standing.event(), AgeMs: (now - s.lastCrash).Milliseconds()})
		case len(s.ended) >= culpritCrashes-1:
			for _, run := range s.ended {
				out = append(out, Event{
					Fingerprint: fingerprint, Upstream: run.upstream, Incarnation: run.incarnation,
					RanMs: (run.ended - run.started).Milliseconds(), AgeMs: (now - run.ended).Milliseconds(), IsWeak: run.weak,
				})
			}
		}
	}
	slices.SortStableFunc(out, func(a, b Event) int { return cmp.Compare(b.AgeMs, a.AgeMs) })
	return out
}

// event returns the kind of event that reports a restriction.
func (s Standing) event() EventKind {
	if s == StandingCulprit {
		return EventVerdict
	}
	return EventQuarantine
}

// Restriction returns the event that reports the present restriction of a request.
func (t *Tracker) Restriction(now time.Duration, fingerprint uint64) Event {
	s := t.unexpired(now, fingerprint)
	return Event{Fingerprint: fingerprint, Kind: s.standing.event(), AgeMs: (now - s.lastCrash).Milliseconds()}
}

// Clear records that an upstream completed a run of a request that began at a time. It returns
// whether that lifts a restriction.
func (t *Tracker) Clear(now time.Duration, fingerprint uint64, began time.Duration) bool {
	if _, ok := t.suspects[fingerprint]; !ok {
		return false
	}
	s := t.unexpired(now, fingerprint)
	lifted := s.clear(began)
	if len(s.ended) == 0 && s.standing == StandingFree {
		delete(t.suspects, fingerprint)
	} else {
		t.suspects[fingerprint] = s
	}
	return lifted
}

// Check returns why a request must not be sent now, or nil. One with a trial may be sent.
func (t *Tracker) Check(now time.Duration, fingerprint uint64) error {
	s := t.unexpired(now, fingerprint)
	switch {
	case s.standing == StandingCulprit:
		return ErrCulprit
	case s.standing == StandingQuarantined && s.trials == 0:
		return ErrQuarantined
	}
	return nil
}

// Begin records that a request is sent that Check allows. A trial is used up by that.
func (t *Tracker) Begin(now time.Duration, fingerprint uint64) {
	if s := t.unexpired(now, fingerprint); s.trials > 0 {
		s.trials--
		t.suspects[fingerprint] = s
	}
}

// NeedsTrial reports whether this instance should ask for a trial of a quarantined request now.
// It returns true once in TrialInterval.
func (t *Tracker) NeedsTrial(now time.Duration, fingerprint uint64) bool {
	s := t.unexpired(now, fingerprint)
	if s.standing != StandingQuarantined || s.trials > 0 || now < s.nextTrialAt {
		return false
	}
	s.nextTrialAt = now + TrialInterval
	t.suspects[fingerprint] = s
	return true
}

// GrantTrial records that this instance may send a quarantined request once.
func (t *Tracker) GrantTrial(now time.Duration, fingerprint uint64) {
	if s := t.unexpired(now, fingerprint); s.standing == StandingQuarantined {
		s.trials = 1
		t.suspects[fingerprint] = s
	}
}

// Count returns how many crashes with separate causes count against a request, weak ones
// included.
func (t *Tracker) Count(now time.Duration, fingerprint uint64) int {
	_, all := t.unexpired(now, fingerprint).countCauses()
	return all
}

// EndedCount returns how many upstreams ended under a request, weak evidence included.
func (t *Tracker) EndedCount(now time.Duration, fingerprint uint64) int {
	return len(t.unexpired(now, fingerprint).ended)
}

// Standing returns how far a request may be sent.
func (t *Tracker) Standing(now time.Duration, fingerprint uint64) Standing {
	return t.unexpired(now, fingerprint).standing
}

// IsOwn reports whether this instance sent a request when one of the upstreams crashed.
func (t *Tracker) IsOwn(now time.Duration, fingerprint uint64) bool {
	return t.unexpired(now, fingerprint).own
}

// IsCulprit reports whether a request must not be sent any more.
func (t *Tracker) IsCulprit(now time.Duration, fingerprint uint64) bool {
	return t.Standing(now, fingerprint) == StandingCulprit
}
