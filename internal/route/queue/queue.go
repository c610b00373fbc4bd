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
	// slots is how many parts of window the ends of requests are counted in.
	slots = 10
	// window is how long ends count. Shorter, the pace of a few ends a second
	// is not seen; longer, the pace before a loss counts as that after it.
	window = time.Second
	// doubt is how many times longer than the pace of ends says a request is
	// expected to wait: the next ends may come in a bunch.
	doubt = 1.25
	// returning is the part of the pace of ends at which those who were turned
	// away are told to come back; new requests need the rest. All of them told
	// the same second, they met each other there and were lost.
	returning = 0.25
	// soonest is the least time after which one who was turned away comes back:
	// about that in which a tenth of the answers of usual size end.
	soonest = 300 * time.Millisecond
	// rare is the pause between two ends above which the first in the queue may
	// be late: with ends at random a third waits longer than the pause, and a
	// first event takes 100 ms of a target of 500 ms.
	rare = 150 * time.Millisecond
	// unknown is the pause between two ends that is assumed while none is seen.
	unknown = 100 * time.Millisecond
	// patience is the part of the time that a caller has left which it can be
	// told to wait; callers keep to no more than a third.
	patience = 0.33
)

// Ticket is a request that waits. Fields are set before Join.
type Ticket struct {
	Team string
	// Urgency ranks requests, 0 first.
	Urgency int
	// Until is when its answer could no longer begin in time.
	Until time.Duration

	joined int
}

// Queue is the requests of one service that wait. The zero value is empty. It is
// not safe for concurrent use.
type Queue struct {
	waiting []*Ticket
	joined  int
	// ends counts the requests that ended by parts of window, the newest in the
	// part of at.
	ends [slots]int
	at   int64
	// back is when the last one that was turned away was told to come back.
	back time.Duration
}

// Len is how many wait.
func (q *Queue) Len() int { return len(q.waiting) }

// Ended counts a request that made room.
func (q *Queue) Ended(now time.Duration) {
	q.turn(now)
	q.ends[q.at%slots]++
}

// turn clears the parts of the window that are over.
func (q *Queue) turn(now time.Duration) {
	at := int64(now / (window / slots))
	for n := 0; q.at < at && n < slots; n++ {
		q.at++
		q.ends[q.at%slots] = 0
	}
	q.at = at
}

// pace is the time between two ends; zero if none was seen.
func (q *Queue) pace(now time.Duration) time.Duration {
	q.turn(now)
	sum := 0
	for _, n := range q.ends {
		sum += n
	}
	if sum == 0 {
		return 0
	}
	return window / time.Duration(sum)
}

// expected is the pause between two ends, also while none is seen.
func (q *Queue) expected(now time.Duration) time.Duration {
	if pace := q.pace(now); pace > 0 {
		return pace
	}
	return unknown
}

// Stuck reports whether room comes up so rarely that a request that is first in
// the queue may have to wait until it is late.
func (q *Queue) Stuck(now time.Duration) bool {
	pace := q.pace(now)
	return pace == 0 || pace > rare
}

// Join adds a request, unless those before it will take all room that comes up
// until it would be late. flying is how many requests a team has at engines.
func (q *Queue) Join(now time.Duration, t *Ticket, flying func(team string) int) bool {
	t.joined = q.joined
	q.joined++
	q.waiting = append(q.waiting, t)
	q.sort(flying)
	wait := doubt * float64(slices.Index(q.waiting, t)) * float64(q.expected(now))
	if now+time.Duration(wait) > t.Until {
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

// Late removes and returns the requests that are not served in time any more,
// even if the next end comes at once.
func (q *Queue) Late(now time.Duration, flying func(team string) int) []*Ticket {
	q.sort(flying)
	var out []*Ticket
	for place := 0; place < len(q.waiting); {
		wait := q.expected(now) * time.Duration(max(0, place-1))
		if now+wait <= q.waiting[place].Until {
			place++
			continue
		}
		out = append(out, q.waiting[place])
		q.waiting = slices.Delete(q.waiting, place, place+1)
	}
	return out
}

// Next are the requests in the order in which they get room.
func (q *Queue) Next(flying func(team string) int) []*Ticket {
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
		return a.joined - b.joined
	})
}

// Back is after how long one who is turned away should come back: each at a
// time of its own, at a pace that leaves room for new requests. left is how
// long its caller waits at all.
func (q *Queue) Back(now, left time.Duration) time.Duration {
	pause := time.Duration(float64(q.expected(now)) / returning)
	q.back = max(q.back+pause, now+soonest)
	after := q.back - now
	if most := time.Duration(patience * float64(left)); after > most {
		// Later than that nobody comes; the next ones are spread anew.
		q.back = now + soonest
		after = most
	}
	return after
}
