package core_test

import (
	"testing"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
)

// Other instances hear of a changing load soon, but at most five times a
// second per engine however many requests come, and the last word is the end.
func TestLoadIsAnnouncedAtMostFiveTimesASecond(t *testing.T) {
	e := newEngine("a1", 0, 8)
	e.Slots = 1000
	g := newHarness(t, lenientTarget(), e)
	var told []domain.LocalLoad
	note := func(cs []domain.Command) {
		for _, c := range cs {
			if o, ok := c.(domain.LocalLoad); ok {
				told = append(told, o)
			}
		}
	}
	var ids []spec.RequestID
	for range 100 {
		a := g.newRequest("big")
		ids = append(ids, a.Request)
		note(g.tick(a))
	}
	if got := len(told); got < 8 || got > 11 {
		t.Errorf("told in two seconds: got %d times, want about 10", got)
	}
	for _, id := range ids {
		note(g.tick(domain.RequestCanceled{Request: id}))
	}
	note(g.tickFor(time.Second))
	if last := told[len(told)-1]; last.Active != 0 || last.LayerTokenRate != 0 {
		t.Errorf("last word: got %+v, want nothing in flight", last)
	}
}

func TestCapacityAndHeavyTeamsAreAnnounced(t *testing.T) {
	e := newEngine("a1", 0, 8)
	e.Slots = 1000
	g := newHarness(t, lenientTarget(), e)
	g.tick(domain.PeerLoad{Peer: "p", Engine: "a1"})
	var cs []domain.Command
	for range 100 {
		cs = append(cs, g.tick(g.newRequest("big"))...)
	}
	cs = append(cs, g.tick(g.newRequest("small"))...)
	cs = append(cs, g.tickFor(2*time.Second)...)
	free, rates := 0.0, map[spec.TeamID]float64{}
	for _, c := range cs {
		switch c := c.(type) {
		case domain.LocalCapacity:
			free = c.FreeRate
		case domain.LocalTeamUsage:
			rates[c.Team] = c.Rate
		}
	}
	// Half of what the two instances can take of 125,000 tokens a second.
	if free < 40000 || free > 60000 {
		t.Errorf("free: got %v, want about half of 0.9 of the capacity", free)
	}
	if rates["big"] < 300 || len(rates) != 1 {
		t.Errorf("rates: got %v, want that of the large team only", rates)
	}
}

// The use of a team at other instances counts here: with the same use here and
// much elsewhere, the other team's request goes first.
func TestRemoteUsageLowersTeamPriority(t *testing.T) {
	g := newHarness(t, lenientTarget(), newEngine("a1", 0, 8))
	g.tick(domain.TeamUsage{Team: "big", Rate: 5000}, domain.TeamUsage{Team: "small", Rate: 1})
	var ran []spec.RequestID
	team := map[spec.RequestID]spec.TeamID{}
	for i := range 40 {
		a := g.newRequest(spec.TeamID([]string{"big", "small"}[i%2]))
		team[a.Request] = a.Team
		if _, ok := findStart(g.tick(a), a.Request); ok {
			ran = append(ran, a.Request)
		}
	}
	first := map[spec.TeamID]int{}
	for _, id := range ran {
		for _, c := range g.tick(domain.RequestFinished{Request: id, Tokens: 50, OK: true}) {
			if s, ok := c.(domain.Start); ok {
				first[team[s.Request]]++
			}
		}
	}
	if first["small"] <= first["big"] {
		t.Errorf("started: got %v, want more of the small team", first)
	}
}
