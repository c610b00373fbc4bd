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

// harness runs a Logic tick by tick with a simulated clock.
type harness struct {
	t            *testing.T
	logic        *core.Logic
	now          time.Duration
	requestCount int
}

func newHarness(t *testing.T, target spec.Target, engines ...domain.Engine) *harness {
	h := &harness{t: t, logic: &core.Logic{ID: "a", Seed: 1}, now: time.Second}
	events := []domain.Event{domain.ConfigChanged{
		Version: 1, Classes: []spec.Class{spec.NewModelClass("c", testModel, target)},
		Teams: []spec.Team{spec.NewTeam("big", "big", 1), spec.NewTeam("small", "small", 1)},
	}}
	for _, e := range engines {
		events = append(events, domain.EngineReport{Engine: e})
	}
	h.tick(events...)
	return h
}

func (h *harness) tick(events ...domain.Event) []domain.Command {
	h.now += 20 * time.Millisecond
	return h.logic.Tick(h.now, events)
}

// tickFor runs ticks for the duration d and returns all commands.
func (h *harness) tickFor(d time.Duration) []domain.Command {
	var out []domain.Command
	for end := h.now + d; h.now < end; {
		out = append(out, h.tick()...)
	}
	return out
}

func (h *harness) newRequest(team spec.TeamID) domain.RequestArrived {
	h.requestCount++
	return domain.RequestArrived{
		Request: spec.RequestID(fmt.Sprint(h.requestCount)), Team: team, Class: "c", Model: testModel,
		PromptTokens: 32, MaxTokens: 50, Fingerprint: uint64(100 + h.requestCount),
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

// mustStart sends the request and fails the test unless it starts in the same
// tick.
func (h *harness) mustStart(a domain.RequestArrived) domain.Start {
	h.t.Helper()
	s, ok := findStart(h.tick(a), a.Request)
	if !ok {
		h.t.Fatalf("request %s: got no start, want one at once", a.Request)
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
