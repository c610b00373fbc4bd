package core_test

import (
	"fmt"
	"testing"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/core"
	"fulmarwick/internal/route/domain"
)

const testModel = "m"

// harness drives a Logic by hand.
type harness struct {
	t            *testing.T
	logic        *core.Logic
	now          time.Duration
	requestCount int
}

func newHarness(t *testing.T, target spec.Target, engines ...domain.Engine) *harness {
	g := &harness{t: t, logic: &core.Logic{ID: "a", Seed: 1}, now: time.Second}
	events := []domain.Event{domain.ConfigChanged{
		Version: 1, Classes: []spec.Class{spec.NewModelClass("c", testModel, target)},
		Teams: []spec.Team{spec.NewTeam("big", "big", 1), spec.NewTeam("small", "small", 1)},
	}}
	for _, e := range engines {
		events = append(events, domain.EngineReport{Engine: e})
	}
	g.tick(events...)
	return g
}

func (g *harness) tick(events ...domain.Event) []domain.Command {
	g.now += 20 * time.Millisecond
	return g.logic.Tick(g.now, events)
}

// tickFor ticks for d and returns all commands.
func (g *harness) tickFor(d time.Duration) []domain.Command {
	var out []domain.Command
	for end := g.now + d; g.now < end; {
		out = append(out, g.tick()...)
	}
	return out
}

func (g *harness) newRequest(team spec.TeamID) domain.RequestArrived {
	g.requestCount++
	return domain.RequestArrived{
		Request: spec.RequestID(fmt.Sprint(g.requestCount)), Team: team, Class: "c", Model: testModel,
		PromptTokens: 32, MaxTokens: 50, Fingerprint: uint64(100 + g.requestCount),
	}
}

func findStart(cs []domain.Command, id spec.RequestID) (domain.Start, bool) {
	for _, c := range cs {
		if s, ok := c.(domain.Start); ok && s.Request == id {
			return s, true
		}
	}
	return domain.Start{}, false
}

func findRefusal(cs []domain.Command, id spec.RequestID) (domain.Refuse, bool) {
	for _, c := range cs {
		if s, ok := c.(domain.Refuse); ok && s.Request == id {
			return s, true
		}
	}
	return domain.Refuse{}, false
}

// mustStart sends a and wants it started at once.
func (g *harness) mustStart(a domain.RequestArrived) domain.Start {
	g.t.Helper()
	s, ok := findStart(g.tick(a), a.Request)
	if !ok {
		g.t.Fatalf("request %s: got no start, want one at once", a.Request)
	}
	return s
}

func newEngine(id string, from, to int) domain.Engine {
	return domain.Engine{
		ID: spec.UpstreamID(id), LayerTime: time.Millisecond, Slots: 4, ReportedHopTime: time.Millisecond, Seq: 1,
		Loaded: []domain.LoadedRange{{Model: testModel, Version: "1", Depth: 8, Layers: spec.NewLayers(from, to)}},
	}
}

func lenientTarget() spec.Target { return spec.NewTarget(5*time.Second, 0, 0, 95) }
