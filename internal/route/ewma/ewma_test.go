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
	t := &ewma.Balancer{DataCentre: "east"}
	t.SetUpstreams([]site.Upstream{testUpstream("a"), testUpstream("b"), testUpstream("c")})
	return t
}

// countPicks replays requests, ten a second, and counts where they go. end tells
// how a request ends there and after how long.
func countPicks(t *testing.T, tab *ewma.Balancer, from time.Duration, n int, end func(id spec.UpstreamID) (ewma.Outcome, time.Duration)) map[spec.UpstreamID]int {
	t.Helper()
	type due struct {
		id  spec.UpstreamID
		at  time.Duration
		end ewma.Outcome
	}
	var flying []due
	got := map[spec.UpstreamID]int{}
	for i := range n {
		now := from + time.Duration(i)*100*ms
		rest := flying[:0]
		for _, d := range flying {
			if _, took := end(d.id); d.at+took > now {
				rest = append(rest, d)
				continue
			}
			_, took := end(d.id)
			tab.RecordOutcome(d.at+took, d.id, took, d.end)
		}
		flying = rest
		up, ok := tab.Pick(now, nil)
		if !ok {
			t.Fatal("got no upstream, want one")
		}
		got[up.ID]++
		e, _ := end(up.ID)
		flying = append(flying, due{id: up.ID, at: now, end: e})
	}
	for _, d := range flying {
		_, took := end(d.id)
		tab.RecordOutcome(d.at+took, d.id, took, d.end)
	}
	return got
}

// One of three upstreams fails, refuses, hangs or is slow while its health
// check is good. It gets a few requests as trials, the others the rest; once
// it is sound again it gets its share.
func TestFailingUpstreamIsAvoidedUntilItRecovers(t *testing.T) {
	tests := []struct {
		name string
		end  ewma.Outcome
		took time.Duration
		most int
	}{
		{"fails nearly all", ewma.OutcomeFailed, 30 * ms, 60},
		{"refuses", ewma.OutcomeRefused, ms, 60},
		{"loses answers", ewma.OutcomeLost, 30 * ms, 60},
		{"is twelve times slower", ewma.OutcomeOK, 360 * ms, 60},
		{"hangs", ewma.OutcomeLost, 3 * time.Second, 40},
	}
	for _, test := range tests {
		tab := newBalancer()
		got := countPicks(t, tab, time.Second, 300, func(id spec.UpstreamID) (ewma.Outcome, time.Duration) {
			if id == "b" {
				return test.end, test.took
			}
			return ewma.OutcomeOK, 30 * ms
		})
		if got["b"] == 0 || got["b"] > test.most {
			t.Errorf("%s: got %d of 300 requests there, want 1 to %d", test.name, got["b"], test.most)
		}
		after := countPicks(t, tab, 40*time.Second, 300, func(spec.UpstreamID) (ewma.Outcome, time.Duration) { return ewma.OutcomeOK, 30 * ms })
		if after["b"] < 50 {
			t.Errorf("%s: got %d of 300 requests once it is sound, want 50 or more", test.name, after["b"])
		}
	}
}

func TestCooldownAfterRefusedConnection(t *testing.T) {
	tab := newBalancer()
	tab.StartCooldown(time.Second, "a")
	for range 20 {
		if up, _ := tab.Pick(time.Second, []spec.UpstreamID{"b"}); up.ID != "c" {
			t.Fatalf("got %s, want c", up.ID)
		}
	}
	if up, ok := tab.Pick(time.Second, []spec.UpstreamID{"b", "c"}); !ok || up.ID != "a" {
		t.Errorf("got %v %v, want the one that rests before none", up.ID, ok)
	}
}

func TestDrainingUpstreamGetsNoRequests(t *testing.T) {
	tab := newBalancer()
	gone := testUpstream("a")
	gone.State = site.StateDraining
	tab.SetUpstreams([]site.Upstream{gone})
	if up, ok := tab.Pick(0, nil); ok {
		t.Errorf("got %s, want none", up.ID)
	}
}

// An upstream tells that others fill its places.
func TestReportedLoadIsConsidered(t *testing.T) {
	tab := newBalancer()
	tab.ApplyReportedLoad(time.Second, "a", site.Load{Running: 6, Waiting: 20, Slots: 6})
	for range 10 {
		if up, _ := tab.Pick(time.Second, nil); up.ID == "a" {
			t.Error("got the upstream that others fill, want another")
		}
	}
}
