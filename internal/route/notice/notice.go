// Package notice records what upstreams say in their answers about later requests: that
// they leave, or that they ask for backoff.
//
// It imports base/site and base/spec. Package app/edge keeps one Book, adds the notices of
// all answers to it, and asks it before an upstream is chosen and before a request is sent.
// It does no I/O and reads no clock.
//
// The load that it answers: an upstream that has no capacity refuses at once, so it seems
// fast and free, and draws requests that are sent again elsewhere. The notices are kept
// apart from the list of upstreams, so that a list that is older than an answer, or that is
// read anew, does not undo them.
package notice

import (
	"slices"
	"time"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
)

// leavingTTL is how long an upstream that is not listed counts as leaving. Its row may
// return, as rows expire while the store is unavailable.
const leavingTTL = 10 * time.Minute

// departure is an upstream that leaves.
type departure struct {
	// incarnation is the start time of the process that leaves; zero if it is not known.
	incarnation int64
	lastSeen    time.Duration
}

// Book holds the notices of upstreams. The zero value is empty. It is not safe for
// concurrent use.
type Book struct {
	leaving map[spec.UpstreamID]departure
	// backoffUntil is when the backoffs of upstreams end.
	backoffUntil map[spec.UpstreamID]time.Duration
}

// Record records the notice of an upstream process with a start time, zero if the upstream
// is not listed. Of several backoffs the one that ends last counts. It returns true if the
// upstream was not known to leave before.
func (b *Book) Record(now time.Duration, id spec.UpstreamID, incarnation int64, n site.Notice) (newlyLeaving bool) {
	if b.leaving == nil {
		b.leaving, b.backoffUntil = map[spec.UpstreamID]departure{}, map[spec.UpstreamID]time.Duration{}
	}
	if n.Backoff > 0 {
		b.backoffUntil[id] = max(b.backoffUntil[id], now+n.Backoff)
	}
	if !n.Leaving {
		return false
	}
	_, known := b.leaving[id]
	b.leaving[id] = departure{incarnation: incarnation, lastSeen: now}
	return !known
}

// InBackoff reports whether an upstream asked for backoff that is not over.
func (b *Book) InBackoff(now time.Duration, id spec.UpstreamID) bool { return now < b.backoffUntil[id] }

// Accepts reports whether a request may be sent to an upstream.
func (b *Book) Accepts(now time.Duration, id spec.UpstreamID) bool {
	_, leaving := b.leaving[id]
	return !leaving && !b.InBackoff(now, id)
}

// BackoffLeft returns how long it takes until the first of some upstreams accepts requests
// again; zero if one accepts them now or none will. otherWait returns how long an upstream
// accepts none for another reason; nil means that there is none.
func (b *Book) BackoffLeft(now time.Duration, ups []site.Upstream, otherWait func(spec.UpstreamID) time.Duration) time.Duration {
	left := time.Duration(0)
	for _, up := range ups {
		wait := b.backoffUntil[up.ID] - now
		if otherWait != nil {
			wait = max(wait, otherWait(up.ID))
		}
		switch {
		case up.State != site.StateReady:
		case wait <= 0:
			return 0
		case left == 0 || wait < left:
			left = wait
		}
	}
	return left
}

// Apply returns the list of upstreams with the leaving ones marked as draining, and drops
// notices that no longer matter. The list itself is not changed.
func (b *Book) Apply(now time.Duration, list []site.Upstream) []site.Upstream {
	for id, until := range b.backoffUntil {
		if now >= until {
			delete(b.backoffUntil, id)
		}
	}
	if len(b.leaving) == 0 {
		return list
	}
	out := slices.Clone(list)
	for i := range out {
		if b.isSameProcess(now, out[i]) {
			out[i].State = site.StateDraining
		}
	}
	for id, d := range b.leaving {
		if now-d.lastSeen > leavingTTL {
			delete(b.leaving, id)
		}
	}
	return out
}

// isSameProcess reports whether a listed upstream is the process that said it leaves. A
// notice of an earlier process is dropped.
func (b *Book) isSameProcess(now time.Duration, up site.Upstream) bool {
	d, known := b.leaving[up.ID]
	if !known {
		return false
	}
	if d.incarnation != 0 && d.incarnation != up.Born {
		delete(b.leaving, up.ID)
		return false
	}
	b.leaving[up.ID] = departure{incarnation: up.Born, lastSeen: now}
	return true
}
