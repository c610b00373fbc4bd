// Package crash detects requests that crash the upstreams that run them.
//
// It imports base/spec. Package app/edge reports crashes to it and asks it before a
// request is sent. It does no I/O and reads no clock.
//
// A request that crashes its upstream is sent again, through any instance. All requests
// that ran on a crashed upstream are suspects, so one crash proves nothing: a suspect
// counts as the culprit after the third upstream, and a completed answer clears it.
// Many callers may send the same request at once, and engines may crash together for
// other reasons. So of crashes that come together under runs that overlap, one counts.
// Requests crash upstreams as they begin to run, so a crash is weak evidence against one
// that had delivered a part of its answer beside others.
package crash

import (
	"hash/fnv"
	"io"
	"slices"
	"sort"
	"time"

	"fulmarwick/internal/base/spec"
)

const (
	// culpritCrashes is the number of crashes after which a request is not sent any
	// more. Streams that share an engine with a culprit are affected by two crashes now
	// and then.
	culpritCrashes = 3
	// maxCrashes is the same if weak ones count as well.
	maxCrashes = 6
	// incidentWindow is how close to each other crashes come that have one cause, such as
	// a rack without power: they are found, and reported by other instances, one after the
	// other.
	incidentWindow = 500 * time.Millisecond
	// minCrashGap is the same for runs that do not overlap. Engines that crash at one moment
	// are found dead within it, some of them by requests that were sent on meanwhile.
	minCrashGap = 100 * time.Millisecond
	// overlapTolerance is how long two runs may seem to overlap of which one began as the
	// other ended: reports are in whole milliseconds.
	overlapTolerance = 5 * time.Millisecond
	// suspectTTL is how long a crash counts against a request.
	suspectTTL = time.Minute
	// CulpritTTL is how long a culprit stays one. Each new verdict costs three engines, and
	// what callers send again and again they send for a while.
	CulpritTTL = 10 * time.Minute
	// maxSuspects is the maximum number of suspects in memory.
	maxSuspects = 4096
)

// Fingerprint returns the fingerprint of a request: a hash of its team, path and body.
func Fingerprint(team, path string, body []byte) uint64 {
	h := fnv.New64a()
	// Writes to a hash do not fail.
	_, _ = io.WriteString(h, team)
	_, _ = h.Write([]byte{0})
	_, _ = io.WriteString(h, path)
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(body)
	return h.Sum64()
}

// Event is the crash of an upstream while it ran a request, or the verdict on a request.
// Fields are exported because the CBOR codec fills them.
type Event struct {
	Fingerprint uint64 `cbor:"1,keyasint"`
	// Upstream is the name of the upstream, Incarnation the start time of the process
	// that crashed.
	Upstream    spec.UpstreamID `cbor:"2,keyasint"`
	Incarnation int64           `cbor:"3,keyasint"`
	// RanMs is how long the request had run, in milliseconds.
	RanMs int64 `cbor:"4,keyasint"`
	// AgeMs is how long ago the run ended, in milliseconds.
	AgeMs int64 `cbor:"5,keyasint,omitempty"`
	// IsVerdict means that the request is known to crash upstreams, the last one AgeMs ago.
	// Upstream, Incarnation and RanMs are not set then.
	IsVerdict bool `cbor:"6,keyasint,omitempty"`
	// IsWeak means that the request is an unlikely cause: it had delivered a part of its
	// answer on the upstream, which ran others as well.
	IsWeak bool `cbor:"7,keyasint,omitempty"`
	// Own means that this instance sent the request.
	Own bool `cbor:"-"`
}

// endedRun is a run that a crash ended.
type endedRun struct {
	upstream       spec.UpstreamID
	incarnation    int64
	started, ended time.Duration
	weak           bool
}

func newEndedRun(now time.Duration, e Event) endedRun {
	ended := now - time.Duration(e.AgeMs)*time.Millisecond
	return endedRun{upstream: e.Upstream, incarnation: e.Incarnation, started: ended - time.Duration(e.RanMs)*time.Millisecond, ended: ended, weak: e.IsWeak}
}

// sharesCause reports whether the ends of two runs may have one cause: the same process
// crashed, or they ended together.
func (r endedRun) sharesCause(o endedRun) bool {
	if r.upstream == o.upstream && r.incarnation == o.incarnation {
		return true
	}
	overlap := min(r.ended, o.ended) - max(r.started, o.started)
	gap := (r.ended - o.ended).Abs()
	return gap < minCrashGap || overlap > overlapTolerance && gap < incidentWindow
}

type suspect struct {
	crashes   []endedRun
	lastCrash time.Duration
	// convicted means that a verdict was recorded.
	convicted bool
	// own means that this instance sent the request when an upstream crashed.
	own bool
}

// Tracker records suspects. It is not safe for concurrent use.
type Tracker struct {
	suspects map[uint64]suspect
}

// Record counts a crash against a request, or records a verdict. It returns false if that
// changes nothing: the crash shares its cause with one that counts, or the verdict is known.
func (t *Tracker) Record(now time.Duration, e Event) bool {
	if t.suspects == nil {
		t.suspects = map[uint64]suspect{}
	}
	s := t.unexpired(now, e.Fingerprint)
	run := newEndedRun(now, e)
	if e.IsVerdict {
		known := s.isCulprit()
		if !known || run.ended > s.lastCrash {
			s.convicted, s.lastCrash = true, run.ended
			t.store(e.Fingerprint, s)
		}
		return !known
	}
	s.own = s.own || e.Own
	if slices.ContainsFunc(s.crashes, func(o endedRun) bool { return run.sharesCause(o) && (run.weak || !o.weak) }) {
		t.store(e.Fingerprint, s)
		return false
	}
	s.crashes = slices.DeleteFunc(slices.Clone(s.crashes), run.sharesCause)
	if len(s.crashes) < maxCrashes {
		s.crashes = append(s.crashes, run)
	}
	s.lastCrash = max(s.lastCrash, run.ended)
	t.store(e.Fingerprint, s)
	return true
}

// store stores a suspect. The number of suspects stays bounded.
func (t *Tracker) store(fingerprint uint64, s suspect) {
	t.suspects[fingerprint] = s
	if len(t.suspects) > maxSuspects {
		t.evictOldest()
	}
}

func (t *Tracker) unexpired(now time.Duration, fingerprint uint64) suspect {
	s := t.suspects[fingerprint]
	if now-s.lastCrash > s.ttl() {
		return suspect{}
	}
	return s
}

// ttl returns how long after the last crash a suspect is kept.
func (s suspect) ttl() time.Duration {
	if s.isCulprit() {
		return CulpritTTL
	}
	return suspectTTL
}

func (s suspect) isCulprit() bool {
	return s.convicted || s.strongCrashes() >= culpritCrashes || len(s.crashes) >= maxCrashes
}

// strongCrashes returns the number of crashes that are not weak.
func (s suspect) strongCrashes() int {
	n := 0
	for _, run := range s.crashes {
		if !run.weak {
			n++
		}
	}
	return n
}

// evictOldest drops half of the suspects, the oldest ones. Culprits stay longest.
func (t *Tracker) evictOldest() {
	keys := make([]uint64, 0, len(t.suspects))
	for key := range t.suspects {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool {
		a, b := t.suspects[keys[i]], t.suspects[keys[j]]
		if a.isCulprit() != b.isCulprit() {
			return b.isCulprit()
		}
		return a.lastCrash < b.lastCrash
	})
	for _, key := range keys[:len(keys)/2] {
		delete(t.suspects, key)
	}
}

// Verdicts returns the verdicts on all requests that are known to crash upstreams.
func (t *Tracker) Verdicts(now time.Duration) []Event {
	var out []Event
	for fingerprint := range t.suspects {
		if s := t.unexpired(now, fingerprint); s.isCulprit() {
			out = append(out, Event{Fingerprint: fingerprint, IsVerdict: true, AgeMs: (now - s.lastCrash).Milliseconds()})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Fingerprint < out[j].Fingerprint })
	return out
}

// Clear drops a suspect whose request an upstream completed.
func (t *Tracker) Clear(fingerprint uint64) { delete(t.suspects, fingerprint) }

// Count returns how many crashes count against a request, weak ones included.
func (t *Tracker) Count(now time.Duration, fingerprint uint64) int {
	return len(t.unexpired(now, fingerprint).crashes)
}

// IsOwnCulprit reports whether a request must not be sent any more, and this instance sent it
// when one of the upstreams crashed.
func (t *Tracker) IsOwnCulprit(now time.Duration, fingerprint uint64) bool {
	s := t.unexpired(now, fingerprint)
	return s.own && s.isCulprit()
}

// IsCulprit reports whether a request must not be sent any more.
func (t *Tracker) IsCulprit(now time.Duration, fingerprint uint64) bool {
	return t.unexpired(now, fingerprint).isCulprit()
}
