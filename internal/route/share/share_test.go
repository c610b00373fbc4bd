package share_test

import (
	"testing"

	"fulmarwick/internal/route/share"

	"pgregory.net/rapid"
)

func fullyUsed() float64 { return 1 }

// Nine small teams send occasional requests beside a heavy team that sends without
// pause. Once only the reserve is left, the heavy team must be rejected, the small
// ones must not.
func TestHeavyTeamLeavesReserve(t *testing.T) {
	var teams share.Teams
	const capacity = 200
	inUse, rejected := 0, map[string]int{}
	request := func(team string) {
		if inUse == capacity || !teams.Allow(team, func() float64 { return float64(inUse) / capacity }) {
			rejected[team]++
			return
		}
		teams.Begin(team)
		inUse++
	}
	for n := range 1000 {
		request("heavy")
		if n%100 == 99 {
			request(string(rune('a' + n/100)))
		}
	}
	if rejected["heavy"] < 800 || inUse < capacity*19/20 {
		t.Errorf("got %d rejections of the heavy team with %d of %d in use, want it rejected at 95%%", rejected["heavy"], inUse, capacity)
	}
	for team, n := range rejected {
		if team != "heavy" && n > 0 {
			t.Errorf("got %d rejections of %s, want none", n, team)
		}
	}
}

// A team alone may use the whole capacity. Whatever the other teams do, a team with
// nothing in flight is never rejected in favour of others.
func TestIdleTeamsAreAllowed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var teams share.Teams
		inFlight := map[string]int{}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			team := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "team")
			if inFlight[team] > 0 && rapid.Bool().Draw(t, "ends") {
				teams.End(team)
				inFlight[team]--
			} else {
				teams.Begin(team)
				inFlight[team]++
			}
		}
		others := 0
		for _, team := range []string{"a", "b", "c", "d"} {
			if inFlight[team] == 0 && !teams.Allow(team, fullyUsed) {
				t.Fatalf("got team %s with nothing in flight rejected with %v in flight, want it allowed", team, inFlight)
			}
			if team != "a" {
				others += inFlight[team]
			}
		}
		if others == 0 && !teams.Allow("a", fullyUsed) {
			t.Fatalf("got team a alone rejected with %d in flight, want it allowed", inFlight["a"])
		}
	})
}
