package queue_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"fulmarwick/internal/route/queue"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// noneRunning is a fleet without requests at engines.
func noneRunning(string) int { return 0 }

func ExampleQueue() {
	var q queue.Queue
	for n := range 20 {
		q.RecordCompletion(time.Duration(n) * 50 * ms)
	}
	now := time.Second
	flying := func(team string) int { return map[string]int{"heavy": 40}[team] }
	for n := range 3 {
		fmt.Println(q.Join(now, &queue.Ticket{Team: "heavy", Deadline: now + 100*ms}, flying), n)
	}
	q.Join(now, &queue.Ticket{Team: "small", Deadline: now + 100*ms}, flying)
	fmt.Println(q.Ordered(flying)[0].Team)
	// Output:
	// true 0
	// true 1
	// false 2
	// small
}

// Room for two requests comes up each 100 ms, 30 ask each 100 ms, and an answer
// must begin within 400 ms. Those that are let in are served in time; the
// others are told at once, before they have waited at all.
func TestOverloadIsRejectedOnJoin(t *testing.T) {
	var q queue.Queue
	served, lost, refused := 0, 0, 0
	for now := time.Duration(0); now < 10*time.Second; now += 10 * ms {
		if now%(50*ms) == 0 {
			q.RecordCompletion(now)
			if next := q.Ordered(noneRunning); len(next) > 0 {
				q.Leave(next[0])
				if next[0].Deadline < now {
					t.Fatalf("got room for a request at %s that was late at %s, want none", now, next[0].Deadline)
				}
				served++
			}
		}
		for range 3 {
			if !q.Join(now, &queue.Ticket{Deadline: now + 400*ms}, noneRunning) {
				refused++
			}
		}
		lost += len(q.RemoveExpired(now, noneRunning))
	}
	if served < 190 || lost > served/10 || refused < 2500 {
		t.Errorf("got %d served, %d turned away after a wait and %d at once, want 190 of 200 served and a tenth as many after a wait at most", served, lost, refused)
	}
}

// Ends stop coming: an engine died. Who waits is not held until its time is
// over but told as soon as the pace shows that it will be late.
func TestExpiredRequestsAreRemovedEarly(t *testing.T) {
	var q queue.Queue
	for n := range 100 {
		q.RecordCompletion(time.Duration(n) * 10 * ms)
	}
	now := time.Second
	for range 30 {
		q.Join(now, &queue.Ticket{Deadline: now + 400*ms}, noneRunning)
	}
	before := q.Len()
	now += 950 * ms
	// One end a tenth of a second is seen now, and each has 400 ms.
	for range 10 {
		q.RecordCompletion(now)
	}
	for _, ticket := range q.Ordered(noneRunning) {
		ticket.Deadline = now + 400*ms
	}
	if told := len(q.RemoveExpired(now+50*ms, noneRunning)); before < 25 || told < 20 {
		t.Errorf("got %d of %d told that they are late, want most", told, before)
	}
}

// Hundreds are turned away within a second, while 20 requests end. They come
// back one after the other, at a quarter of that pace, and none is told to wait
// for more than a third of its time.
func TestRetryAfterIsSpread(t *testing.T) {
	var q queue.Queue
	for n := range 20 {
		q.RecordCompletion(time.Duration(n) * 50 * ms)
	}
	now := time.Second
	var at []time.Duration
	for range 300 {
		after := q.RetryAfter(now, 20*time.Second)
		if after < 300*ms || after > 6600*ms {
			t.Fatalf("got a return after %s, want between 300 ms and a third of 20 s", after)
		}
		at = append(at, after)
	}
	slices.Sort(at)
	for i := range at[:len(at)-20] {
		if at[i+20]-at[i] < 200*ms {
			t.Fatalf("got 20 returns within %s, want them spread over a second or more", at[i+20]-at[i])
		}
	}
}

// Whatever comes and goes, the more urgent are first, then teams with less at
// engines, then those that came first; nobody is lost or doubled.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q queue.Queue
		busy := map[string]int{"a": rapid.IntRange(0, 3).Draw(t, "a"), "b": rapid.IntRange(0, 3).Draw(t, "b")}
		flying := func(team string) int { return busy[team] }
		number := map[*queue.Ticket]int{}
		for n := range rapid.IntRange(0, 30).Draw(t, "steps") {
			if len(number) > 0 && rapid.IntRange(0, 3).Draw(t, "leaves") == 0 {
				gone := q.Ordered(flying)[0]
				q.Leave(gone)
				delete(number, gone)
				continue
			}
			one := &queue.Ticket{Team: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team"), Urgency: rapid.IntRange(0, 2).Draw(t, "urgency"), Deadline: time.Hour}
			if q.Join(0, one, flying) {
				number[one] = n
			}
		}
		next := q.Ordered(flying)
		if len(next) != len(number) || q.Len() != len(number) {
			t.Fatalf("got %d waiting, want %d", len(next), len(number))
		}
		for i := 1; i < len(next); i++ {
			a, b := next[i-1], next[i]
			switch {
			case a.Urgency < b.Urgency, a.Urgency == b.Urgency && busy[a.Team] < busy[b.Team]:
			case a.Urgency > b.Urgency, busy[a.Team] > busy[b.Team], a.Team == b.Team && number[a] > number[b]:
				t.Fatalf("got %+v before %+v with %v at engines, want the other order", *a, *b, busy)
			}
		}
	})
}
