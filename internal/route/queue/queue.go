// Package queue decides which requests wait for capacity, in what order they get it,
// which are rejected at once, and when callers should retry those.
//
// It imports the standard library. Package app/edge keeps one Queue per service and
// reports completed requests to it. It does no I/O and reads no clock.
//
// The queue answers an overload that lasts seconds: an engine died, or many callers
// came at once, and capacity comes up only as requests complete. Without a queue,
// capacity went to whichever request came at that moment. The others were rejected and
// retried late, taking the place of new requests, which were rejected in turn. With a
// queue, a request waits while its answer can still begin in time, and a request that
// cannot be served in time is rejected at once.
package queue

import (
	"slices"
	"time"
)

const (
	// windowBuckets is the number of buckets of window in which completions are
	// counted.
	windowBuckets = 10
	// window is how long completions count. With a shorter one, a rate of a few
	// completions a second is not seen. With a longer one, the rate before the loss of
	// an engine counts as that after it.
	window = time.Second
	// waitSafetyFactor is the factor on the wait that follows from the completion rate:
	// the next completions may come in a bunch.
	waitSafetyFactor = 1.25
	// retryRateShare is the share of the completion rate at which callers of rejected
	// requests are asked to retry; new requests need the rest. When all got the same
	// second, their retries collided and were lost.
	retryRateShare = 0.25
	// minRetryAfter is the minimum time before a rejected request is retried: about the
	// time in which a tenth of the answers of usual size complete.
	minRetryAfter = 300 * time.Millisecond
	// stalledInterval is the interval between two completions above which the first
	// request in the queue may be late. With completions at random, a third of the
	// waits exceed the mean interval, and a first event takes 100 ms of a target of 500
	// ms.
	stalledInterval = 150 * time.Millisecond
	// defaultInterval is the interval between two completions that is assumed while
	// none is seen.
	defaultInterval = 100 * time.Millisecond
	// maxRetryAfterShare is the maximum delay of a retry, as a share of the time that a
	// caller has left; callers accept no more than a third.
	maxRetryAfterShare = 0.33
)

// Ticket is a request that waits. Fields are set before Join.
type Ticket struct {
	Team string
	// Urgency ranks requests; 0 is the most urgent.
	Urgency int
	// Deadline is when the answer has to begin at the latest.
	Deadline time.Duration
	// Begun means that the caller has a part of the answer. Such a request can't be
	// rejected any more, only cut, so it waits until its deadline whatever the forecast.
	Begun bool

	sequence int
}

// Queue holds the waiting requests of one service. The zero value is empty. It is not
// safe for concurrent use.
type Queue struct {
	waiting      []*Ticket
	nextSequence int
	// completions counts the completed requests by bucket. currentBucket is the number
	// of the newest one.
	completions   [windowBuckets]int
	currentBucket int64
	// lastRetryAt is the latest retry time that was given to a rejected request.
	lastRetryAt time.Duration
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.waiting) }

// RecordCompletion counts a request that completed and released its capacity.
func (q *Queue) RecordCompletion(now time.Duration) {
	q.advanceWindow(now)
	q.completions[q.currentBucket%windowBuckets]++
}

// advanceWindow clears the buckets that have left the window.
func (q *Queue) advanceWindow(now time.Duration) {
	current := int64(now / (window / windowBuckets))
	for n := 0; q.currentBucket < current && n < windowBuckets; n++ {
		q.currentBucket++
		q.completions[q.currentBucket%windowBuckets] = 0
	}
	q.currentBucket = current
}

// completionInterval returns the mean interval between two completions; zero if none
// was seen.
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

// expectedInterval returns the interval between two completions, or defaultInterval
// while none is seen.
func (q *Queue) expectedInterval(now time.Duration) time.Duration {
	if interval := q.completionInterval(now); interval > 0 {
		return interval
	}
	return defaultInterval
}

// IsStalled reports whether capacity comes up so rarely that the first request in the
// queue may have to wait until it is late.
func (q *Queue) IsStalled(now time.Duration) bool {
	interval := q.completionInterval(now)
	return interval == 0 || interval > stalledInterval
}

// Join adds a request, unless those before it will take all capacity that comes up
// until its deadline; a begun answer is always added. running returns how many requests of a team run at engines.
func (q *Queue) Join(now time.Duration, t *Ticket, running func(team string) int) bool {
	t.sequence = q.nextSequence
	q.nextSequence++
	q.waiting = append(q.waiting, t)
	q.sort(running)
	if t.Begun {
		return true
	}
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

// RemoveExpired removes and returns the requests that cannot be served in time any
// more, even if the next completion comes at once. A begun answer is removed only after
// its deadline.
func (q *Queue) RemoveExpired(now time.Duration, running func(team string) int) []*Ticket {
	q.sort(running)
	var expired []*Ticket
	for position := 0; position < len(q.waiting); {
		wait := q.expectedInterval(now) * time.Duration(max(0, position-1))
		if q.waiting[position].Begun {
			wait = 0
		}
		if now+wait <= q.waiting[position].Deadline {
			position++
			continue
		}
		expired = append(expired, q.waiting[position])
		q.waiting = slices.Delete(q.waiting, position, position+1)
	}
	return expired
}

// Ordered returns the requests in the order in which they get capacity.
func (q *Queue) Ordered(running func(team string) int) []*Ticket {
	q.sort(running)
	return slices.Clone(q.waiting)
}

// sort puts more urgent requests first, then teams with fewer requests at engines, then
// earlier requests of a team. So a team that floods the engines waits behind a team
// that sends few requests, and still gets all capacity that nobody else needs.
func (q *Queue) sort(running func(team string) int) {
	slices.SortStableFunc(q.waiting, func(a, b *Ticket) int {
		if a.Urgency != b.Urgency {
			return a.Urgency - b.Urgency
		}
		if a.Team != b.Team {
			if runningA, runningB := running(a.Team), running(b.Team); runningA != runningB {
				return runningA - runningB
			}
		}
		return a.sequence - b.sequence
	})
}

// MaxRetryAfter returns the longest time after which a caller returns that has so long left in total.
func MaxRetryAfter(left time.Duration) time.Duration {
	return time.Duration(maxRetryAfterShare * float64(left))
}

// RetryAfter returns the time after which a rejected request should be retried. Each
// gets a time of its own, at a rate that leaves capacity for new requests. left is how
// long the caller waits in total.
func (q *Queue) RetryAfter(now, left time.Duration) time.Duration {
	interval := time.Duration(float64(q.expectedInterval(now)) / retryRateShare)
	q.lastRetryAt = max(q.lastRetryAt+interval, now+minRetryAfter)
	after := q.lastRetryAt - now
	if limit := MaxRetryAfter(left); after > limit {
		// No caller retries later than that. The next retry times are spread anew.
		q.lastRetryAt = now + minRetryAfter
		after = limit
	}
	return after
}
