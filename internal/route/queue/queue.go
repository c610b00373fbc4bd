// Package queue decides which requests wait for room, in what order they get it,
// which are turned away at once, and when those come back.
//
// It imports the standard library. Package app/edge keeps one Queue per service
// and tells it of requests that end. It does no I/O and reads no clock.
//
// The load it answers: engines are full for seconds, since one died or callers
// came all at once, and each answer that ends makes room for one more. Without
// a queue, room went to whoever asked in the moment that it came up; the others
// were turned away and came back late, in the place of new requests, which were
// turned away in turn. With one, a request waits here while its answer can still
// begin in time, and who cannot be served in time is told so at once.
package queue

import (
	"slices"
	"time"
)

const (
	// windowBuckets is how many parts of window the ends of requests are counted in.
	windowBuckets = 10
	// window is how long ends count. Shorter, the pace of a few ends a second
	// is not seen; longer, the pace before a loss counts as that after it.
	window = time.Second
	// waitSafetyFactor is how many times longer than the pace of ends says a request is
	// expected to wait: the next ends may come in a bunch.
	waitSafetyFactor = 1.25
	// retryRateShare is the part of the pace of ends at which those who were turned
	// away are told to come back; new requests need the rest. All of them told
	// the same second, they met each other there and were lost.
	retryRateShare = 0.25
	// minRetryAfter is the least time after which one who was turned away comes back:
	// about that in which a tenth of the answers of usual size end.
	minRetryAfter = 300 * time.Millisecond
	// stalledInterval is the pause between two ends above which the first in the queue may
	// be late: with ends at random a third waits longer than the pause, and a
	// first event takes 100 ms of a target of 500 ms.
	stalledInterval = 150 * time.Millisecond
	// defaultInterval is the pause between two ends that is assumed while none is seen.
	defaultInterval = 100 * time.Millisecond
	// maxRetryAfterShare is the part of the time that a caller has left which it can be
	// told to wait; callers keep to no more than a third.
	maxRetryAfterShare = 0.33
)

// Ticket is a request that waits. Fields are set before Join.
type Ticket struct {
	Team string
	// Urgency ranks requests, 0 first.
	Urgency int
	// Deadline is when its answer could no longer begin in time.
	Deadline time.Duration

	sequence int
}

// Queue is the requests of one service that wait. The zero value is empty. It is
// not safe for concurrent use.
type Queue struct {
	waiting      []*Ticket
	nextSequence int
	// completions counts the requests that ended by parts of window, the newest in the
	// part of at.
	completions   [windowBuckets]int
	currentBucket int64
	// lastRetryAt is when the last one that was turned away was told to come back.
	lastRetryAt time.Duration
}

// Len is how many wait.
func (q *Queue) Len() int { return len(q.waiting) }

// RecordCompletion counts a request that made room.
func (q *Queue) RecordCompletion(now time.Duration) {
	q.advanceWindow(now)
	q.completions[q.currentBucket%windowBuckets]++
}

// advanceWindow clears the parts of the window that are over.
func (q *Queue) advanceWindow(now time.Duration) {
	at := int64(now / (window / windowBuckets))
	for n := 0; q.currentBucket < at && n < windowBuckets; n++ {
		q.currentBucket++
		q.completions[q.currentBucket%windowBuckets] = 0
	}
	q.currentBucket = at
}

// completionInterval is the time between two ends; zero if none was seen.
func (q *Queue) completionInterval(now time.Duration) time.Duration {
	q.advanceWindow(now)
	sum := 0
	for _, n := range q.completions {
		sum += n
	}
	if sum == 0 {
		return 0
	}
	return window / time.Duration(sum)
}

// expectedInterval is the pause between two ends, also while none is seen.
func (q *Queue) expectedInterval(now time.Duration) time.Duration {
	if pace := q.completionInterval(now); pace > 0 {
		return pace
	}
	return defaultInterval
}

// IsStalled reports whether room comes up so rarely that a request that is first in
// the queue may have to wait until it is late.
func (q *Queue) IsStalled(now time.Duration) bool {
	pace := q.completionInterval(now)
	return pace == 0 || pace > stalledInterval
}

// Join adds a request, unless those before it will take all room that comes up
// until it would be late. flying is how many requests a team has at engines.
func (q *Queue) Join(now time.Duration, t *Ticket, flying func(team string) int) bool {
	t.sequence = q.nextSequence
	q.nextSequence++
	q.waiting = append(q.waiting, t)
	q.sort(flying)
	wait := waitSafetyFactor * float64(slices.Index(q.waiting, t)) * float64(q.expectedInterval(now))
	if now+time.Duration(wait) > t.Deadline {
		q.Leave(t)
		return false
	}
	return true
}

// Leave removes a request.
func (q *Queue) Leave(t *Ticket) {
	if i := slices.Index(q.waiting, t); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
}

// RemoveExpired removes and returns the requests that are not served in time any more,
// even if the next end comes at once.
func (q *Queue) RemoveExpired(now time.Duration, flying func(team string) int) []*Ticket {
	q.sort(flying)
	var out []*Ticket
	for place := 0; place < len(q.waiting); {
		wait := q.expectedInterval(now) * time.Duration(max(0, place-1))
		if now+wait <= q.waiting[place].Deadline {
			place++
			continue
		}
		out = append(out, q.waiting[place])
		q.waiting = slices.Delete(q.waiting, place, place+1)
	}
	return out
}

// Ordered are the requests in the order in which they get room.
func (q *Queue) Ordered(flying func(team string) int) []*Ticket {
	q.sort(flying)
	return slices.Clone(q.waiting)
}

// sort puts the more urgent first; of those, teams with fewer requests at
// engines, so that a team that floods them waits behind one that asks now and
// then and yet has all room that nobody else asks for; of a team, the first to
// come.
func (q *Queue) sort(flying func(team string) int) {
	slices.SortStableFunc(q.waiting, func(a, b *Ticket) int {
		if a.Urgency != b.Urgency {
			return a.Urgency - b.Urgency
		}
		if a.Team != b.Team {
			if x, y := flying(a.Team), flying(b.Team); x != y {
				return x - y
			}
		}
		return a.sequence - b.sequence
	})
}

// RetryAfter is after how long one who is turned away should come back: each at a
// time of its own, at a pace that leaves room for new requests. left is how
// long its caller waits at all.
func (q *Queue) RetryAfter(now, left time.Duration) time.Duration {
	pause := time.Duration(float64(q.expectedInterval(now)) / retryRateShare)
	q.lastRetryAt = max(q.lastRetryAt+pause, now+minRetryAfter)
	after := q.lastRetryAt - now
	if most := time.Duration(maxRetryAfterShare * float64(left)); after > most {
		// Later than that nobody comes; the next ones are spread anew.
		q.lastRetryAt = now + minRetryAfter
		after = most
	}
	return after
}
