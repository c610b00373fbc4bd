package fair_test

import (
	"fmt"
	"testing"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
	"fulmarwick/internal/route/fair"

	"pgregory.net/rapid"
)

// newRequests returns one request per team name, in order.
func newRequests(teams ...string) []*domain.Request {
	w := &domain.RoutingState{}
	w.BeginTick(0)
	for i, team := range teams {
		w.Apply(domain.RequestArrived{Request: spec.RequestID(fmt.Sprint(i)), Team: spec.TeamID(team)})
	}
	return w.Requests().TakeDue()
}

func newItem(r *domain.Request, latest time.Duration) *fair.Item {
	return &fair.Item{Request: r, Cost: 100, Charge: 100, LatestStart: latest}
}

// serve starts up to n requests from the queue and counts them per team.
func serve(q *fair.Queue, n int) map[spec.TeamID]int {
	out := map[spec.TeamID]int{}
	for range n {
		it := q.Head()
		if it == nil {
			break
		}
		q.Remove(it)
		team := it.Request.Arrival().Team
		q.ChargeTeam(team, it.Charge)
		out[team]++
	}
	return out
}

func TestTeamsShareEquallyRegardlessOfDemand(t *testing.T) {
	q := &fair.Queue{}
	var teams []string
	for i := range 120 {
		teams = append(teams, []string{"big", "big", "big", "big", "big", "small"}[i%6])
	}
	for i, r := range newRequests(teams...) {
		q.Push(newItem(r, time.Duration(i)))
	}
	got := serve(q, 40)
	if got["small"] < 19 {
		t.Errorf("got %v of 40, want 20 each", got)
	}
	if got := serve(q, 200); got["big"] != 80 {
		t.Errorf("remaining requests: got %v, want 80 of the large team", got)
	}
}

func TestDeadlinesOrderWithinTeamAndQuantum(t *testing.T) {
	q := &fair.Queue{}
	rs := newRequests("a", "a", "b")
	q.Push(newItem(rs[0], 30))
	q.Push(newItem(rs[1], 10))
	q.Push(newItem(rs[2], 20))
	for _, want := range []*domain.Request{rs[1], rs[2], rs[0]} {
		it := q.Head()
		if it.Request != want {
			t.Fatalf("got %s, want %s", it.Request.Arrival().Request, want.Arrival().Request)
		}
		q.Remove(it)
	}
}

func TestIdleTeamsUseNoMemory(t *testing.T) {
	q := &fair.Queue{}
	rates := &fair.Rates{}
	w := &domain.RoutingState{}
	for i := range 37000 {
		now := time.Duration(i) * time.Millisecond
		team := spec.TeamID(fmt.Sprint(i))
		q.Advance(20)
		q.ChargeTeam(team, 10)
		rates.RecordUse(now, team, 10)
		w.BeginTick(now)
		rates.Run(w)
	}
	if got := q.TeamCount(); got > 200 {
		t.Errorf("teams in the queue: got %d, want at most 200", got)
	}
	w.BeginTick(2 * time.Minute)
	rates.Run(w)
	if got := rates.TeamCount(); got != 0 {
		t.Errorf("teams tracked: got %d, want 0", got)
	}
}

func TestFleetRateRaisesCharge(t *testing.T) {
	rates := &fair.Rates{}
	rates.RecordUse(0, "big", 500)
	rates.ApplyReport(0, domain.TeamUsage{Team: "big", Rate: 400})
	if got := rates.ChargeFactor(0, "big"); got != 4 {
		t.Errorf("factor: got %v, want 4", got)
	}
	if got := rates.ChargeFactor(time.Minute, "big"); got != 1 {
		t.Errorf("factor of an old rate: got %v, want 1", got)
	}
}

// Tests that every pushed request is returned once, in whatever order requests
// are pushed and served. Among teams that have waiting requests throughout, no
// team may be served more than two requests more than another.
func TestQueueIsFairAndLosesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c"}), 1, 60).Draw(t, "teams")
		q := &fair.Queue{}
		waiting := map[spec.TeamID]int{}
		for i, r := range newRequests(names...) {
			q.Push(newItem(r, time.Duration(rapid.IntRange(0, 1000).Draw(t, "latest")+i)))
			waiting[r.Arrival().Team]++
		}
		served := map[spec.TeamID]int{}
		for range names {
			it := q.Head()
			q.Remove(it)
			team := it.Request.Arrival().Team
			q.ChargeTeam(team, it.Charge)
			served[team]++
			waiting[team]--
			for other, n := range waiting {
				if n > 0 && served[team] > served[other]+2 {
					t.Fatalf("team %s: got %d served, want at most 2 more than %d of %s", team, served[team], served[other], other)
				}
			}
		}
		if q.Len() != 0 || q.Head() != nil {
			t.Fatalf("got %d requests left, want none", q.Len())
		}
	})
}
