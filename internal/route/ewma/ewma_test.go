package ewma_test

import (
	"testing"
	"time"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/ewma"
)

const ms = time.Millisecond

func testUpstream(id string) site.Upstream {
	return site.Upstream{ID: spec.UpstreamID(id), Service: "desk", Address: id, Centre: "east", Slots: 6, Born: 1}
}

func newBalancer() *ewma.Balancer {
	balancer := &ewma.Balancer{DataCentre: "east"}
	balancer.SetUpstreams([]site.Upstream{testUpstream("a"), testUpstream("b"), testUpstream("c")})
	return balancer
}

// countPicks simulates requests, ten a second, and counts them by upstream. outcome
// returns how a request to an upstream ends and after how long.
func countPicks(t *testing.T, balancer *ewma.Balancer, from time.Duration, n int, outcome func(id spec.UpstreamID) (ewma.Outcome, time.Duration)) map[spec.UpstreamID]int {
	t.Helper()
	type request struct {
		id      spec.UpstreamID
		at      time.Duration
		outcome ewma.Outcome
	}
	var pending []request
	got := map[spec.UpstreamID]int{}
	for i := range n {
		now := from + time.Duration(i)*100*ms
		remaining := pending[:0]
		for _, r := range pending {
			if _, took := outcome(r.id); r.at+took > now {
				remaining = append(remaining, r)
				continue
			}
			_, took := outcome(r.id)
			balancer.RecordOutcome(r.at+took, r.id, took, r.outcome)
		}
		pending = remaining
		up, ok := balancer.Pick(now, nil)
		if !ok {
			t.Fatal("got no upstream, want one")
		}
		got[up.ID]++
		e, _ := outcome(up.ID)
		pending = append(pending, request{id: up.ID, at: now, outcome: e})
	}
	for _, r := range pending {
		_, took := outcome(r.id)
		balancer.RecordOutcome(r.at+took, r.id, took, r.outcome)
	}
	return got
}

// One of three upstreams fails, refuses, hangs or is slow while its health check
// passes. It must get a few requests as probes and the others the rest; after it
// recovers it must get its share.
func TestFailingUpstreamIsAvoidedUntilItRecovers(t *testing.T) {
	tests := []struct {
		name     string
		outcome  ewma.Outcome
		took     time.Duration
		maxPicks int
	}{
		{"fails nearly all", ewma.OutcomeFailed, 30 * ms, 60},
		{"refuses", ewma.OutcomeRefused, ms, 60},
		{"loses answers", ewma.OutcomeLost, 30 * ms, 60},
		{"is twelve times slower", ewma.OutcomeOK, 360 * ms, 60},
		{"hangs", ewma.OutcomeLost, 3 * time.Second, 40},
	}
	for _, test := range tests {
		balancer := newBalancer()
		picks := countPicks(t, balancer, time.Second, 300, func(id spec.UpstreamID) (ewma.Outcome, time.Duration) {
			if id == "b" {
				return test.outcome, test.took
			}
			return ewma.OutcomeOK, 30 * ms
		})
		if picks["b"] == 0 || picks["b"] > test.maxPicks {
			t.Errorf("%s: got %d of 300 requests sent to it, want 1 to %d", test.name, picks["b"], test.maxPicks)
		}
		after := countPicks(t, balancer, 40*time.Second, 300, func(spec.UpstreamID) (ewma.Outcome, time.Duration) { return ewma.OutcomeOK, 30 * ms })
		if after["b"] < 50 {
			t.Errorf("%s: got %d of 300 requests after it recovered, want 50 or more", test.name, after["b"])
		}
	}
}

func TestCooldownAfterRefusedConnection(t *testing.T) {
	balancer := newBalancer()
	balancer.StartCooldown(time.Second, "a")
	for range 20 {
		if up, _ := balancer.Pick(time.Second, []spec.UpstreamID{"b"}); up.ID != "c" {
			t.Fatalf("got %s, want c", up.ID)
		}
	}
	if up, ok := balancer.Pick(time.Second, []spec.UpstreamID{"b", "c"}); !ok || up.ID != "a" {
		t.Errorf("got %v %v, want the upstream in cooldown if there is no other", up.ID, ok)
	}
}

func TestDrainingUpstreamGetsNoRequests(t *testing.T) {
	balancer := newBalancer()
	draining := testUpstream("a")
	draining.State = site.StateDraining
	balancer.SetUpstreams([]site.Upstream{draining})
	if up, ok := balancer.Pick(0, nil); ok {
		t.Errorf("got %s, want none", up.ID)
	}
}

// An upstream reports that requests of others occupy its slots.
func TestReportedLoadIsConsidered(t *testing.T) {
	balancer := newBalancer()
	balancer.ApplyReportedLoad(time.Second, "a", site.Load{Running: 6, Waiting: 20, Slots: 6})
	for range 10 {
		if up, _ := balancer.Pick(time.Second, nil); up.ID == "a" {
			t.Error("got the upstream that others occupy, want another")
		}
	}
}
