// Package limit keeps to the rate limits that upstreams name in their answers. A limit is for
// all instances together.
//
// It imports base/spec. Package app/edge keeps one Limiter, adds what answers and other
// instances say, and asks it before an upstream is chosen. It does no I/O and reads no clock.
//
// The load that it answers: an upstream that takes few requests answers them quickly, so it
// seems free to all instances at once, and each by itself sees few of the requests to it.
//
// The time of a limit of r requests a second is divided into slots of 1/r. Of n instances
// each owns one slot in n, by its index, and may send one request after each of its slots
// begins. No instance needs to know what the others have sent, and requests that all of them
// hold back at the same time do not come together.
package limit

import (
	"time"

	"fulmarwick/internal/base/spec"
)

const (
	// maxSlotAge is how long after its beginning a slot may be used. In 4 s no more than
	// 6r + 1 requests come then, also after a time without any: upstreams expect 6r + 5 at
	// most.
	maxSlotAge = 2 * time.Second
	// statementTTL is how long a limit holds that its upstream does not confirm.
	statementTTL = 30 * time.Second
)

// Statement is what an upstream last said of its limit. Fields are exported because the CBOR
// codec fills them.
type Statement struct {
	// PerSecond is the limit in requests a second; zero means no limit.
	PerSecond float64 `cbor:"1,keyasint,omitempty"`
	// AgeMs is how long ago the upstream said so, in milliseconds.
	AgeMs int64 `cbor:"2,keyasint,omitempty"`
}

// Share is the part of an instance in the limits: one slot of Count, the one with its index.
type Share struct {
	Index, Count int
}

// limited is an upstream with the state of its limit.
type limited struct {
	perSecond float64
	statedAt  time.Time
	// freeFrom is the beginning of the first slot that is not used, in Unix nanoseconds.
	freeFrom int64
}

// Limiter holds the limits of upstreams. Set Share before use. It is not safe for concurrent
// use.
type Limiter struct {
	// Share returns the share of this instance.
	Share func() Share

	upstreams map[spec.UpstreamID]*limited
}

// IsEmpty reports whether nothing is known of any upstream.
func (l *Limiter) IsEmpty() bool { return len(l.upstreams) == 0 }

// Record records what an upstream said, unless something newer is known. It returns true if
// the limit changes.
func (l *Limiter) Record(now time.Time, id spec.UpstreamID, s Statement) bool {
	statedAt := now.Add(-time.Duration(s.AgeMs) * time.Millisecond)
	u := l.upstreams[id]
	if now.Sub(statedAt) > statementTTL || u != nil && !statedAt.After(u.statedAt) {
		return false
	}
	if u == nil {
		if l.upstreams == nil {
			l.upstreams = map[spec.UpstreamID]*limited{}
		}
		u = &limited{}
		l.upstreams[id] = u
	}
	changed := u.perSecond != s.PerSecond
	u.perSecond, u.statedAt = s.PerSecond, statedAt
	return changed
}

// RecordUnlimited records that an upstream answered a request without a limit. It returns
// true if that ends one: the request was sent after the upstream last named it.
func (l *Limiter) RecordUnlimited(now time.Time, id spec.UpstreamID, sentAt time.Time) bool {
	if u := l.upstreams[id]; u == nil || u.perSecond == 0 || !sentAt.After(u.statedAt) {
		return false
	}
	return l.Record(now, id, Statement{})
}

// Statements returns what is known of all upstreams, for the other instances. It drops what
// is too old.
func (l *Limiter) Statements(now time.Time) map[spec.UpstreamID]Statement {
	if len(l.upstreams) == 0 {
		return nil
	}
	out := make(map[spec.UpstreamID]Statement, len(l.upstreams))
	for id, u := range l.upstreams {
		age := now.Sub(u.statedAt)
		if age > statementTTL {
			delete(l.upstreams, id)
			continue
		}
		out[id] = Statement{PerSecond: u.perSecond, AgeMs: age.Milliseconds()}
	}
	return out
}

// Wait returns how long it takes until the limit of an upstream leaves room for a request of
// this instance; zero if there is room now.
func (l *Limiter) Wait(now time.Time, id spec.UpstreamID) time.Duration {
	u := l.active(now, id)
	if u == nil {
		return 0
	}
	s := l.slots(u)
	begin := s.at(now)
	free := s.firstFree(u, begin)
	if free == begin && now.UnixNano()-begin < s.validity() {
		return 0
	}
	return time.Duration(max(free, begin+s.period) - now.UnixNano())
}

// Take counts a request to an upstream. Without room for it, it counts against the next slot:
// what must be sent all the same delays what need not.
func (l *Limiter) Take(now time.Time, id spec.UpstreamID) {
	u := l.active(now, id)
	if u == nil {
		return
	}
	s := l.slots(u)
	u.freeFrom = s.firstFree(u, s.at(now)) + s.period
}

// active returns an upstream that has a limit, or nil.
func (l *Limiter) active(now time.Time, id spec.UpstreamID) *limited {
	u := l.upstreams[id]
	if u == nil || u.perSecond == 0 || now.Sub(u.statedAt) > statementTTL {
		return nil
	}
	return u
}
