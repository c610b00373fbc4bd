package core_test

import (
	"testing"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
)

// A changing load is announced soon, but at most five times per second and
// engine however many requests arrive. The last announcement must be the
// final state.
func TestLoadIsAnnouncedAtMostFiveTimesASecond(t *testing.T) {
	e := newEngine("a1", 0, 8)
	e.Slots = 1000
	h := newHarness(t, lenientTarget(), e)
	var announced []domain.LocalLoad
	collect := func(cs []domain.Command) {
		for _, c := range cs {
			if load, ok := c.(domain.LocalLoad); ok {
				announced = append(announced, load)
			}
		}
	}
	var ids []spec.RequestID
	for range 100 {
		a := h.newRequest("big")
		ids = append(ids, a.Request)
		collect(h.tick(a))
	}
	if got := len(announced); got < 8 || got > 11 {
		t.Errorf("announcements in two seconds: got %d, want about 10", got)
	}
	for _, id := range ids {
		collect(h.tick(domain.RequestCanceled{Request: id}))
	}
	collect(h.tickFor(time.Second))
	if last := announced[len(announced)-1]; last.Active != 0 || last.LayerTokenRate != 0 {
		t.Errorf("last announcement: got %+v, want no requests", last)
	}
}

func TestCapacityAndHeavyTeamsAreAnnounced(t *testing.T) {
	e := newEngine("a1", 0, 8)
	e.Slots = 1000
	h := newHarness(t, lenientTarget(), e)
	h.tick(domain.PeerLoad{Peer: "p", Engine: "a1"})
	var cs []domain.Command
	for range 100 {
		cs = append(cs, h.tick(h.newRequest("big"))...)
	}
	cs = append(cs, h.tick(h.newRequest("small"))...)
	cs = append(cs, h.tickFor(2*time.Second)...)
	free, rates := 0.0, map[spec.TeamID]float64{}
	for _, c := range cs {
		switch c := c.(type) {
		case domain.LocalCapacity:
			free = c.FreeRate
		case domain.LocalTeamUsage:
			rates[c.Team] = c.Rate
		}
	}
	// Half of the 125,000 tokens per second that the two instances can take
	// together.
	if free < 40000 || free > 60000 {
		t.Errorf("free: got %v, want about half of 0.9 of the capacity", free)
	}
	if rates["big"] < 300 || len(rates) != 1 {
		t.Errorf("rates: got %v, want that of the large team only", rates)
	}
}

// A team's usage at other instances counts here. With equal usage here and
// high usage of one team elsewhere, the other team's requests start first.
func TestRemoteUsageLowersTeamPriority(t *testing.T) {
	h := newHarness(t, lenientTarget(), newEngine("a1", 0, 8))
	h.tick(domain.TeamUsage{Team: "big", Rate: 5000}, domain.TeamUsage{Team: "small", Rate: 1})
	var ran []spec.RequestID
	team := map[spec.RequestID]spec.TeamID{}
	for i := range 40 {
		a := h.newRequest(spec.TeamID([]string{"big", "small"}[i%2]))
		team[a.Request] = a.Team
		if _, ok := findStart(h.tick(a), a.Request); ok {
			ran = append(ran, a.Request)
		}
	}
	first := map[spec.TeamID]int{}
	for _, id := range ran {
		for _, c := range h.tick(domain.RequestFinished{Request: id, Tokens: 50, OK: true}) {
			if s, ok := c.(domain.Start); ok {
				first[team[s.Request]]++
			}
		}
	}
	if first["small"] <= first["big"] {
		t.Errorf("started: got %v, want more of the small team", first)
	}
}
