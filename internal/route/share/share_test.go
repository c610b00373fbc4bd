package share_test

import (
	"testing"

	"fulmarwick/internal/route/share"

	"pgregory.net/rapid"
)

func fullyUsed() float64 { return 1 }

// Nine small teams ask now and then beside a heavy one that asks without end.
// The heavy one is turned away where the last of the room is taken, the small
// ones are not.
func TestHeavyTeamLeavesReserve(t *testing.T) {
	var teams share.Teams
	const room = 200
	taken, refused := 0, map[string]int{}
	ask := func(team string) {
		if taken == room || !teams.Allow(team, func() float64 { return float64(taken) / room }) {
			refused[team]++
			return
		}
		teams.Begin(team)
		taken++
	}
	for n := range 1000 {
		ask("heavy")
		if n%100 == 99 {
			ask(string(rune('a' + n/100)))
		}
	}
	if refused["heavy"] < 800 || taken < room*19/20 {
		t.Errorf("got %d refusals of the heavy team with %d of %d taken, want it turned away at 95%%", refused["heavy"], taken, room)
	}
	for team, n := range refused {
		if team != "heavy" && n > 0 {
			t.Errorf("got %d refusals of %s, want none", n, team)
		}
	}
}

// A team alone has all of the room, and whatever teams do, one with nothing in
// flight is never turned away for the sake of others.
func TestIdleTeamsAreAllowed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var teams share.Teams
		flying := map[string]int{}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			team := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "team")
			if flying[team] > 0 && rapid.Bool().Draw(t, "ends") {
				teams.End(team)
				flying[team]--
			} else {
				teams.Begin(team)
				flying[team]++
			}
		}
		others := 0
		for _, team := range []string{"a", "b", "c", "d"} {
			if flying[team] == 0 && !teams.Allow(team, fullyUsed) {
				t.Fatalf("got team %s with nothing in flight turned away beside %v, want it let in", team, flying)
			}
			if team != "a" {
				others += flying[team]
			}
		}
		if others == 0 && !teams.Allow("a", fullyUsed) {
			t.Fatalf("got team a alone turned away with %d in flight, want it let in", flying["a"])
		}
	})
}
