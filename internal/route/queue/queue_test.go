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

// noneRunning reports no running requests for any team.
func noneRunning(string) int { return 0 }

func ExampleQueue() {
	var q queue.Queue
	for n := range 20 {
		q.RecordCompletion(time.Duration(n) * 50 * ms)
	}
	now := time.Second
	running := func(team string) int { return map[string]int{"heavy": 40}[team] }
	for n := range 3 {
		fmt.Println(q.Join(now, &queue.Ticket{Team: "heavy", Deadline: now + 100*ms}, running), n)
	}
	q.Join(now, &queue.Ticket{Team: "small", Deadline: now + 100*ms}, running)
	fmt.Println(q.Ordered(running)[0].Team)
	// Output:
	// true 0
	// true 1
	// false 2
	// small
}

// Capacity for two requests comes up every 100 ms, 30 arrive every 100 ms, and an
// answer must begin within 400 ms. Requests that join the queue must be served in time;
// the others must be rejected at once, before they have waited.
func TestOverloadIsRejectedOnJoin(t *testing.T) {
	var q queue.Queue
	served, expired, rejected := 0, 0, 0
	for now := time.Duration(0); now < 10*time.Second; now += 10 * ms {
		if now%(50*ms) == 0 {
			q.RecordCompletion(now)
			if ordered := q.Ordered(noneRunning); len(ordered) > 0 {
				q.Leave(ordered[0])
				if ordered[0].Deadline < now {
					t.Fatalf("got capacity at %s for a request with its deadline at %s, want none", now, ordered[0].Deadline)
				}
				served++
			}
		}
		for range 3 {
			if !q.Join(now, &queue.Ticket{Deadline: now + 400*ms}, noneRunning) {
				rejected++
			}
		}
		expired += len(q.RemoveExpired(now, noneRunning))
	}
	if served < 190 || expired > served/10 || rejected < 2500 {
		t.Errorf("got %d served, %d rejected after a wait and %d at once, want 190 of 200 served and a tenth as many after a wait at most", served, expired, rejected)
	}
}

// Completions stop because an engine died. Waiting requests must not be held until
// their deadline but removed as soon as the completion rate shows that they will be
// late.
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
	// Now the window shows one completion per 100 ms, and each request has 400 ms left.
	for range 10 {
		q.RecordCompletion(now)
	}
	for _, ticket := range q.Ordered(noneRunning) {
		ticket.Deadline = now + 400*ms
	}
	if removed := len(q.RemoveExpired(now+50*ms, noneRunning)); before < 25 || removed < 20 {
		t.Errorf("got %d of %d removed as late, want most", removed, before)
	}
}

// Guards against a begun answer that is given up before its deadline because many others
// wait: its caller can't be rejected any more. Requests that have no answer yet must still
// be rejected at once behind it.
func TestBegunAnswersWaitUntilTheirDeadline(t *testing.T) {
	var q queue.Queue
	deadline := 5 * time.Second
	for n := range 100 {
		if !q.Join(time.Second, &queue.Ticket{Urgency: -1, Deadline: deadline, Begun: true}, noneRunning) {
			t.Fatalf("got begun answer %d rejected, want it to wait", n)
		}
	}
	if q.Join(time.Second, &queue.Ticket{Deadline: deadline}, noneRunning) {
		t.Error("got a request behind 100 begun answers accepted, want it rejected at once")
	}
	if removed := q.RemoveExpired(deadline, noneRunning); len(removed) != 0 {
		t.Errorf("got %d begun answers removed at their deadline, want none before it is over", len(removed))
	}
	if removed := q.RemoveExpired(deadline+ms, noneRunning); len(removed) != 100 {
		t.Errorf("got %d begun answers removed after their deadline, want all 100", len(removed))
	}
}

// Hundreds of requests are rejected within a second, while 20 complete. Their retries
// must come one after the other, at a quarter of that rate, and no caller may be
// asked to wait for more than a third of its time.
func TestRetryAfterIsSpread(t *testing.T) {
	var q queue.Queue
	for n := range 20 {
		q.RecordCompletion(time.Duration(n) * 50 * ms)
	}
	now := time.Second
	var delays []time.Duration
	for range 300 {
		after := q.RetryAfter(now, 20*time.Second)
		if after < 300*ms || after > 6600*ms {
			t.Fatalf("got a retry after %s, want between 300 ms and a third of 20 s", after)
		}
		delays = append(delays, after)
	}
	slices.Sort(delays)
	for i := range delays[:len(delays)-20] {
		if delays[i+20]-delays[i] < 200*ms {
			t.Fatalf("got 20 retries within %s, want them spread over a second or more", delays[i+20]-delays[i])
		}
	}
}

// Whatever joins and leaves, more urgent requests must come first, then teams with
// fewer running requests, then earlier requests; no request is lost or duplicated.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q queue.Queue
		counts := map[string]int{"a": rapid.IntRange(0, 3).Draw(t, "a"), "b": rapid.IntRange(0, 3).Draw(t, "b")}
		running := func(team string) int { return counts[team] }
		number := map[*queue.Ticket]int{}
		for n := range rapid.IntRange(0, 30).Draw(t, "steps") {
			if len(number) > 0 && rapid.IntRange(0, 3).Draw(t, "leaves") == 0 {
				first := q.Ordered(running)[0]
				q.Leave(first)
				delete(number, first)
				continue
			}
			ticket := &queue.Ticket{Team: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team"), Urgency: rapid.IntRange(0, 2).Draw(t, "urgency"), Deadline: time.Hour}
			if q.Join(0, ticket, running) {
				number[ticket] = n
			}
		}
		ordered := q.Ordered(running)
		if len(ordered) != len(number) || q.Len() != len(number) {
			t.Fatalf("got %d waiting, want %d", len(ordered), len(number))
		}
		for i := 1; i < len(ordered); i++ {
			a, b := ordered[i-1], ordered[i]
			switch {
			case a.Urgency < b.Urgency, a.Urgency == b.Urgency && counts[a.Team] < counts[b.Team]:
			case a.Urgency > b.Urgency, counts[a.Team] > counts[b.Team], a.Team == b.Team && number[a] > number[b]:
				t.Fatalf("got %+v before %+v with %v running, want the other order", *a, *b, counts)
			}
		}
	})
}
