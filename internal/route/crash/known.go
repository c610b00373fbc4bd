package crash

import (
	"cmp"
	"slices"
	"time"
)

// Known returns what an instance has to know that starts: the restrictions, and the crashes of
// suspects that may be restricted after the next one. If that is much, those that would do most
// harm come first.
func (t *Tracker) Known(now time.Duration) []Event {
	var keys []Key
	for key := range t.suspects {
		if s := t.unexpired(now, key); s.standing > StandingFree || len(s.ended) >= culpritCrashes-1 {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b Key) int {
		x, y := t.suspects[a], t.suspects[b]
		return cmp.Or(cmpBool(b.IsPart, a.IsPart), cmp.Compare(y.standing, x.standing), cmp.Compare(x.lastCrash, y.lastCrash))
	})
	var out []Event
	for _, key := range keys {
		out = append(out, t.knownOf(now, key)...)
	}
	return out[:min(maxKnown, len(out))]
}

// knownOf returns what an instance has to know of a suspect that starts.
func (t *Tracker) knownOf(now time.Duration, key Key) (out []Event) {
	s := t.suspects[key]
	if isNear(key, s) && t.delivered.has(key) {
		out = append(out, Change{Key: key, Kind: EventDelivery, At: now}.Event(now))
	}
	if s.standing > StandingFree {
		return append(out, Change{Key: key, Kind: s.standing.event(), At: s.lastCrash}.Event(now))
	}
	for _, run := range s.ended {
		out = append(out, Event{
			Fingerprint: key.Fingerprint, IsPart: key.IsPart, Upstream: run.Upstream, Incarnation: run.Incarnation,
			RanMs: (run.ended - run.started).Milliseconds(), AgeMs: (now - run.ended).Milliseconds(), IsWeak: run.weak,
		})
	}
	return out
}
