package core_test

import (
	"testing"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
)

// newLimitedHarness is a rig whose big team may use 100 tokens a second.
func newLimitedHarness(t *testing.T) *harness {
	t.Helper()
	g := newHarness(t, lenientTarget(), newEngine("a", 0, 8), newEngine("b", 0, 8))
	g.tick(domain.ConfigChanged{
		Version: 2, Classes: []spec.Class{spec.NewModelClass("c", testModel, lenientTarget())},
		Teams: []spec.Team{spec.NewTeam("big", "big", 1).WithLimit(100), spec.NewTeam("small", "small", 1)},
	})
	return g
}

// A team asks for more than its limit on idle engines. It may burst for a few
// seconds' worth, is then refused at once with the time to come back, and is
// served again after that time. Others are not touched.
func TestTeamAboveItsLimitIsRefused(t *testing.T) {
	g := newLimitedHarness(t)
	for range 200 {
		a := g.newRequest("big")
		r, ok := findRefusal(g.tick(a), a.Request)
		if !ok {
			g.tick(domain.RequestFinished{Request: a.Request, Tokens: 1, OK: true})
			continue
		}
		if r.Reason != domain.ReasonTeamLimit || r.RetryAfter <= 0 {
			t.Fatalf("got %+v, want team-limit and a time to come back", r)
		}
		g.mustStart(g.newRequest("small"))
		g.tickFor(r.RetryAfter)
		g.mustStart(g.newRequest("big"))
		return
	}
	t.Error("got 200 requests of a limited team served at once, want a refusal")
}

// The team's use at other instances is heard of. It counts against the limit
// here, so that four instances do not give four times the limit.
func TestTeamLimitCountsRemoteUsage(t *testing.T) {
	g := newLimitedHarness(t)
	g.tick(domain.TeamUsage{Team: "big", Rate: 300})
	a := g.newRequest("big")
	if r, ok := findRefusal(g.tick(a), a.Request); !ok || r.Reason != domain.ReasonTeamLimit {
		t.Errorf("got %+v, want team-limit", r)
	}
	g.tickFor(time.Minute)
	g.mustStart(g.newRequest("big"))
}
