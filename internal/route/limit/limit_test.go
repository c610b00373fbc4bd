package limit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/limit"
)

const upstream = spec.UpstreamID("e")

// start is a moment without a relation to any slot.
var start = time.Unix(1_700_000_000, 123_456_789)

// fleet returns n limiters that share their limits evenly and know one of rate.
func fleet(n int, rate float64) []*limit.Limiter {
	out := make([]*limit.Limiter, n)
	for k := range out {
		out[k] = &limit.Limiter{Share: func() limit.Share { return limit.Share{Index: k, Count: n} }}
		out[k].Record(start, upstream, limit.Statement{PerSecond: rate})
	}
	return out
}

// Instances that send whenever they may, or all at once after a pause, must keep to one and a
// half times the limit and five requests in any 4 s together, and use most of the limit.
func TestSumOfAllInstances(t *testing.T) {
	for _, n := range []int{1, 4, 36, 300} {
		for _, rate := range []float64{0.5, 1, 4, 7.2, 60} {
			t.Run(fmt.Sprintf("%d/%g", n, rate), func(t *testing.T) {
				const window, length = 4 * time.Second, 20 * time.Second
				limiters := fleet(n, rate)
				var sent []time.Time
				for at := time.Duration(0); at < length; at += 5 * time.Millisecond {
					now := start.Add(at)
					if at > 8*time.Second && at < 12*time.Second {
						continue
					}
					for _, k := range rand.Perm(n) {
						limiters[k].Record(now, upstream, limit.Statement{PerSecond: rate})
						if limiters[k].Wait(now, upstream) == 0 {
							limiters[k].Take(now, upstream)
							sent = append(sent, now)
						}
					}
				}
				first := 0
				for last, at := range sent {
					for at.Sub(sent[first]) > window {
						first++
					}
					if got := last - first + 1; float64(got) > 1.5*rate*window.Seconds()+5 {
						t.Fatalf("got %d requests in %s, want %g at most", got, window, 1.5*rate*window.Seconds()+5)
					}
				}
				if got, want := len(sent), int(0.9*rate*(length-window).Seconds()); got < want {
					t.Errorf("got %d requests, want %d at least", got, want)
				}
			})
		}
	}
}

// Of what an upstream said the newest counts, whatever the order in which it becomes known.
func TestNewestStatementHolds(t *testing.T) {
	l := fleet(1, 4)[0]
	now := start.Add(2 * time.Second)
	if l.Record(now, upstream, limit.Statement{PerSecond: 9, AgeMs: 3000}) {
		t.Error("got an older statement recorded, want the newer one kept")
	}
	if l.RecordUnlimited(now, upstream, start.Add(-time.Second)) {
		t.Error("got the limit ended by an answer to a request from before it, want it kept")
	}
	if !l.Record(now, upstream, limit.Statement{PerSecond: 2, AgeMs: 100}) || !l.RecordUnlimited(now, upstream, now.Add(-50*time.Millisecond)) {
		t.Error("got newer statements ignored, want them recorded")
	}
	for range 3 {
		if got := l.Wait(now, upstream); got != 0 {
			t.Errorf("got a wait of %s without a limit, want none", got)
		}
		l.Take(now, upstream)
	}
}

// A limit that its upstream does not confirm must end, also where instances tell each other.
func TestStatementsExpire(t *testing.T) {
	a, b := fleet(1, 4)[0], fleet(1, 0)[0]
	for at := time.Duration(0); at < 40*time.Second; at += 200 * time.Millisecond {
		now := start.Add(at)
		for id, s := range a.Statements(now) {
			b.Record(now, id, s)
		}
		for id, s := range b.Statements(now) {
			a.Record(now, id, s)
		}
	}
	if got := len(a.Statements(start.Add(40*time.Second))) + len(b.Statements(start.Add(40*time.Second))); got != 0 {
		t.Errorf("got %d statements after 40 s, want none", got)
	}
}

// A clock that jumps back must not keep requests off an upstream, and what must be sent all
// the same counts against later slots.
func TestClockJumpsAndDebt(t *testing.T) {
	l := fleet(1, 2)[0]
	for range 3 {
		l.Take(start, upstream)
	}
	if got := l.Wait(start, upstream); got <= time.Second || got > 1500*time.Millisecond {
		t.Errorf("got a wait of %s after three requests at 2 a second, want three slots", got)
	}
	if got := l.Wait(start.Add(-time.Hour), upstream); got > 500*time.Millisecond {
		t.Errorf("got a wait of %s after the clock jumped back, want a slot at most", got)
	}
}
