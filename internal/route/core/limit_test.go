package core_test

import (
	"testing"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/world"
)

// limited is a rig whose big team may use 100 tokens a second.
func limited(t *testing.T) *rig {
	t.Helper()
	g := newRig(t, lax(), engine("a", 0, 8), engine("b", 0, 8))
	g.tick(world.ConfigSet{
		Version: 2, Classes: []spec.Class{spec.NewModelClass("c", model, lax())},
		Teams: []spec.Team{spec.NewTeam("big", "big", 1).WithLimit(100), spec.NewTeam("small", "small", 1)},
	})
	return g
}

// A team asks for more than its limit on idle engines. It may burst for a few
// seconds' worth, is then refused at once with the time to come back, and is
// served again after that time. Others are not touched.
func TestTeamAboveItsLimitIsRefused(t *testing.T) {
	g := limited(t)
	for range 200 {
		a := g.ask("big")
		r, ok := refused(g.tick(a), a.Request)
		if !ok {
			g.tick(world.Finished{Request: a.Request, Tokens: 1, OK: true})
			continue
		}
		if r.Reason != world.ReasonTeam || r.After <= 0 {
			t.Fatalf("got %+v, want team-limit and a time to come back", r)
		}
		g.start(g.ask("small"))
		g.pass(r.After)
		g.start(g.ask("big"))
		return
	}
	t.Error("got 200 requests of a limited team served at once, want a refusal")
}

// The team's use at other instances is heard of. It counts against the limit
// here, so that four instances do not give four times the limit.
func TestLimitCountsUseElsewhere(t *testing.T) {
	g := limited(t)
	g.tick(world.TeamUsed{Team: "big", Rate: 300})
	a := g.ask("big")
	if r, ok := refused(g.tick(a), a.Request); !ok || r.Reason != world.ReasonTeam {
		t.Errorf("got %+v, want team-limit", r)
	}
	g.pass(time.Minute)
	g.start(g.ask("big"))
}
