package core_test

import (
	"testing"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
)

// newLimitedHarness returns a harness in which the team "big" may use 100
// tokens per second.
func newLimitedHarness(t *testing.T) *harness {
	t.Helper()
	h := newHarness(t, lenientTarget(), newEngine("a", 0, 8), newEngine("b", 0, 8))
	h.tick(domain.ConfigChanged{
		Version: 2, Classes: []spec.Class{spec.NewModelClass("c", testModel, lenientTarget())},
		Teams: []spec.Team{spec.NewTeam("big", "big", 1).WithLimit(100), spec.NewTeam("small", "small", 1)},
	})
	return h
}

// A team sends more than its limit while the engines are idle. It may burst
// for a few seconds, is then refused at once with a retry time, and is served
// again after that time. Other teams are not affected.
func TestTeamAboveItsLimitIsRefused(t *testing.T) {
	h := newLimitedHarness(t)
	for range 200 {
		a := h.newRequest("big")
		r, ok := findRefusal(h.tick(a), a.Request)
		if !ok {
			h.tick(domain.RequestFinished{Request: a.Request, Tokens: 1, OK: true})
			continue
		}
		if r.Reason != domain.ReasonTeamLimit || r.RetryAfter <= 0 {
			t.Fatalf("got %+v, want reason team-limit and a retry time", r)
		}
		h.mustStart(h.newRequest("small"))
		h.tickFor(r.RetryAfter)
		h.mustStart(h.newRequest("big"))
		return
	}
	t.Error("got 200 requests of a limited team served at once, want a refusal")
}

// The team's reported usage at other instances counts against its limit here.
// Otherwise four instances would allow four times the limit.
func TestTeamLimitCountsRemoteUsage(t *testing.T) {
	h := newLimitedHarness(t)
	h.tick(domain.TeamUsage{Team: "big", Rate: 300})
	a := h.newRequest("big")
	if r, ok := findRefusal(h.tick(a), a.Request); !ok || r.Reason != domain.ReasonTeamLimit {
		t.Errorf("got %+v, want team-limit", r)
	}
	h.tickFor(time.Minute)
	h.mustStart(h.newRequest("big"))
}
