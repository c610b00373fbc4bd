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
	suspects  map[Key]suspect
	delivered deliveredParts
	explained explainedProcesses
	common    commonParts
	changes   []Change
	// settleAt is when Settle is due, if settleDue is set.
	settleAt  time.Duration
	settleDue bool
}

// Record records an event. It returns false if the event is no news.
func (t *Tracker) Record(now time.Duration, e Event) (news bool) {
	if e.Kind == EventCrash && e.Upstream == "" {
		// Former versions report verdicts like this.
		return false
	}
	for _, key := range append(e.PartKeys(), e.Key()) {
		if t.record(now, key, e) {
			news = true
		}
	}
	return news
}

// record records an event of one suspect and reports whether it is news.
func (t *Tracker) record(now time.Duration, key Key, e Event) bool {
	switch e.Kind {
	case EventClearance:
		lifted, _ := t.clear(now, key, now-time.Duration(e.AgeMs)*time.Millisecond)
		return lifted
	case EventDelivery:
		t.delivered.setKnown(now, key)
		return false
	case EventCrash:
		return t.recordCrash(now, key, e)
	}
	s := t.unexpired(now, key)
	news := s.apply(now, key, e)
	t.store(key, s)
	if news && key.IsPart && s.standing == StandingCulprit {
		t.explainAll(now, key)
	}
	return news
}

// recordCrash records a crash of an upstream under a suspect.
func (t *Tracker) recordCrash(now time.Duration, key Key, e Event) bool {
	s := t.unexpired(now, key)
	isCulprit := key.IsPart && s.standing == StandingCulprit
	if !isCulprit && t.explained.has(now, e.Process()) {
		return false
	}
	before := s.standing
	news := s.apply(now, key, e)
	t.store(key, s)
	if s.standing > before {
		t.recordChange(key, s)
	}
	switch {
	case isCulprit:
		t.explain(now, key, e.Process())
	case key.IsPart && news:
		t.reviewPart(now, key, s)
	}
	return news
}

// reviewPart has the evidence against a part weighed if there is enough of it. Other instances may
// not know yet that runs deliver the part.
func (t *Tracker) reviewPart(now time.Duration, key Key, s suspect) {
	if s.isImplicated() || s.standing > StandingFree {
		t.scheduleSettle(now)
	}
	if isNear(key, s) && t.delivered.isUnknown(now, key) {
		t.delivered.setKnown(now, key)
		t.changes = append(t.changes, Change{Key: key, Kind: EventDelivery, Own: true, At: now})
	}
}

// isNear reports whether a suspect is a part that the next crash may quarantine.
func isNear(key Key, s suspect) bool {
	return key.IsPart && strongEnds(s.ended) >= culpritCrashes-1
}

// CountRequest counts a request of a route that a caller sent, with these suspects.
func (t *Tracker) CountRequest(route string, keys []Key) {
	if t.common == nil {
		t.common = commonParts{}
	}
	t.common.add(route, keys)
}

// store stores a suspect. The number of suspects stays bounded.
func (t *Tracker) store(key Key, s suspect) {
	if t.suspects == nil {
		t.suspects, t.explained = map[Key]suspect{}, explainedProcesses{}
	}
	t.suspects[key] = s
	if len(t.suspects) > maxSuspects {
		t.evictHalf()
	}
}

// keep stores a suspect of which something was forgotten, or drops it if nothing is left.
func (t *Tracker) keep(key Key, s suspect) {
	if len(s.ended) == 0 && s.standing == StandingFree {
		delete(t.suspects, key)
		return
	}
	t.suspects[key] = s
}

func (t *Tracker) unexpired(now time.Duration, key Key) suspect {
	s, ok := t.suspects[key]
	if !ok || now-s.lastCrash > s.ttl() {
		return suspect{}
	}
	return s
}

// evictHalf drops half of the suspects, the oldest ones. Those with restrictions stay longest,
// then those under which most upstreams ended: a wave of crashes brings many with a single one.
func (t *Tracker) evictHalf() {
	keys := make([]Key, 0, len(t.suspects))
	for key := range t.suspects {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool {
		a, b := t.suspects[keys[i]], t.suspects[keys[j]]
		return cmp.Or(cmp.Compare(a.standing, b.standing), cmp.Compare(min(len(a.ended), culpritCrashes), min(len(b.ended), culpritCrashes)), cmp.Compare(a.lastCrash, b.lastCrash)) < 0
	})
	for _, key := range keys[:len(keys)/2] {
		delete(t.suspects, key)
	}
}

// Clear records that an upstream completed a run that began at a time, of a request with these
// suspects. It reports whether that lifts a restriction.
func (t *Tracker) Clear(now time.Duration, keys []Key, began time.Duration) bool {
	anyLifted := false
	for _, key := range keys {
		lifted, isNews := t.clear(now, key, began)
		if lifted || isNews {
			t.changes = append(t.changes, Change{Key: key, Kind: EventClearance, Own: true, Lifted: lifted, At: began})
		}
		anyLifted = anyLifted || lifted
	}
	return anyLifted
}

// Survive records that a run has delivered for SurvivalTime or to its end, of a request with these
// suspects. Its first event came at a time.
func (t *Tracker) Survive(now time.Duration, keys []Key, firstEvent time.Duration) {
	parts := slices.DeleteFunc(slices.Clone(keys), func(key Key) bool { return !key.IsPart })
	for _, key := range parts {
		t.delivered.add(key)
	}
	t.Clear(now, parts, firstEvent)
}

// clear clears a suspect of the crashes before a time. lifted means that this lifts a restriction,
// isNews that other instances may be about to quarantine the suspect.
func (t *Tracker) clear(now time.Duration, key Key, began time.Duration) (lifted, isNews bool) {
	if _, ok := t.suspects[key]; !ok {
		return false, false
	}
	s := t.unexpired(now, key)
	wasNear := isNear(key, s)
	lifted = s.clear(began)
	t.keep(key, s)
	if lifted && key.IsPart {
		// What the part explained may count against others now.
		t.scheduleSettle(now)
	}
	return lifted, wasNear && !isNear(key, s)
}

// Count returns how many crashes with separate causes count against a suspect, weak ones
// included.
func (t *Tracker) Count(now time.Duration, key Key) int {
	_, all := t.unexpired(now, key).countCauses()
	return all
}

// EndedCount returns how many upstreams ended under a suspect, weak evidence included.
func (t *Tracker) EndedCount(now time.Duration, key Key) int {
	return len(t.unexpired(now, key).ended)
}

// Standing returns how far requests of a suspect may be sent.
func (t *Tracker) Standing(now time.Duration, key Key) Standing {
	return t.unexpired(now, key).standing
}

// IsOwn reports whether this instance sent a request when one of the upstreams crashed.
func (t *Tracker) IsOwn(now time.Duration, key Key) bool { return t.unexpired(now, key).own }

// IsCulprit reports whether requests with these suspects must not be sent any more.
func (t *Tracker) IsCulprit(now time.Duration, keys []Key) bool {
	return errors.Is(t.Check(now, keys), ErrCulprit)
}
