// Package crash recognises requests on whose runs upstreams die.
//
// It imports base/spec. Package app/edge tells it of deaths and asks
// it before a request is sent. It does no I/O and reads no clock.
//
// A request that crashes what runs it comes again, through any instance. All
// that ran on an upstream that died are suspects, so one death proves nothing:
// a suspect counts as guilty after the third upstream, and an answer that comes
// to its end clears it. Many callers may send the same at once, and engines may
// die together for reasons of their own, so a death counts only if the run that
// met it began after the one before: a request that crashes what runs it is
// sent again and again.
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
	// culpritCrashes is after how many deaths a request is sent no more. Streams that
	// share an engine with a guilty one meet two deaths now and then.
	culpritCrashes = 3
	// suspectTTL is how long a death counts against a request.
	suspectTTL = time.Minute
	// maxSuspects bounds the requests remembered.
	maxSuspects = 4096
)

// Fingerprint is the fingerprint of a request: its team, path and body.
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

// Event is an upstream that died while it ran a request. Fields are exported
// because the CBOR codec fills them.
type Event struct {
	Fingerprint uint64 `cbor:"1,keyasint"`
	// Upstream is its name, Born the start of the process that died.
	Upstream    spec.UpstreamID `cbor:"2,keyasint"`
	Incarnation int64           `cbor:"3,keyasint"`
	// RanMs is how long the request had run, in milliseconds.
	RanMs int64 `cbor:"4,keyasint"`
}

type suspect struct {
	crashes   []Event
	lastCrash time.Duration
}

// Tracker remembers suspects. It is not safe for concurrent use.
type Tracker struct {
	suspects map[uint64]suspect
}

// Record counts a death against a request. It returns false if it counted
// before.
func (b *Tracker) Record(now time.Duration, d Event) bool {
	if b.suspects == nil {
		b.suspects = map[uint64]suspect{}
	}
	s := b.unexpired(now, d.Fingerprint)
	began := now - time.Duration(d.RanMs)*time.Millisecond
	known := slices.ContainsFunc(s.crashes, func(o Event) bool { return o.Upstream == d.Upstream && o.Incarnation == d.Incarnation })
	if known || len(s.crashes) > 0 && began <= s.lastCrash {
		return false
	}
	if len(s.crashes) < culpritCrashes {
		s.crashes = append(slices.Clip(s.crashes), d)
	}
	b.suspects[d.Fingerprint] = suspect{crashes: s.crashes, lastCrash: now}
	if len(b.suspects) > maxSuspects {
		b.evictOldest()
	}
	return true
}

func (b *Tracker) unexpired(now time.Duration, print uint64) suspect {
	s := b.suspects[print]
	if now-s.lastCrash > suspectTTL {
		return suspect{}
	}
	return s
}

// evictOldest drops the older half.
func (b *Tracker) evictOldest() {
	prints := make([]uint64, 0, len(b.suspects))
	for p := range b.suspects {
		prints = append(prints, p)
	}
	sort.Slice(prints, func(i, j int) bool { return b.suspects[prints[i]].lastCrash < b.suspects[prints[j]].lastCrash })
	for _, p := range prints[:len(prints)/2] {
		delete(b.suspects, p)
	}
}

// Clear forgets a request that an upstream ran to its end.
func (b *Tracker) Clear(print uint64) { delete(b.suspects, print) }

// IsCulprit reports whether a request must not be sent any more.
func (b *Tracker) IsCulprit(now time.Duration, print uint64) bool {
	return len(b.unexpired(now, print).crashes) >= culpritCrashes
}
