package core_test

import (
	"fmt"
	"testing"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/core"
	"fulmarwick/internal/route/world"
)

const model = "m"

// rig drives a Logic by hand.
type rig struct {
	t     *testing.T
	logic *core.Logic
	now   time.Duration
	n     int
}

func newRig(t *testing.T, target spec.Target, engines ...world.Engine) *rig {
	g := &rig{t: t, logic: &core.Logic{ID: "a", Seed: 1}, now: time.Second}
	events := []world.Event{world.ConfigSet{
		Version: 1, Classes: []spec.Class{spec.NewModelClass("c", model, target)},
		Teams: []spec.Team{spec.NewTeam("big", "big", 1), spec.NewTeam("small", "small", 1)},
	}}
	for _, e := range engines {
		events = append(events, world.EngineSeen{Engine: e})
	}
	g.tick(events...)
	return g
}

func (g *rig) tick(events ...world.Event) []world.Command {
	g.now += 20 * time.Millisecond
	return g.logic.Tick(g.now, events)
}

// pass ticks for d and returns all commands.
func (g *rig) pass(d time.Duration) []world.Command {
	var out []world.Command
	for end := g.now + d; g.now < end; {
		out = append(out, g.tick()...)
	}
	return out
}

func (g *rig) ask(team spec.TeamID) world.Arrived {
	g.n++
	return world.Arrived{
		Request: spec.RequestID(fmt.Sprint(g.n)), Team: team, Class: "c", Model: model,
		Prompt: 32, Limit: 50, Print: uint64(100 + g.n),
	}
}

func started(cs []world.Command, id spec.RequestID) (world.Start, bool) {
	for _, c := range cs {
		if s, ok := c.(world.Start); ok && s.Request == id {
			return s, true
		}
	}
	return world.Start{}, false
}

func refused(cs []world.Command, id spec.RequestID) (world.Refuse, bool) {
	for _, c := range cs {
		if s, ok := c.(world.Refuse); ok && s.Request == id {
			return s, true
		}
	}
	return world.Refuse{}, false
}

// start sends a and wants it started at once.
func (g *rig) start(a world.Arrived) world.Start {
	g.t.Helper()
	s, ok := started(g.tick(a), a.Request)
	if !ok {
		g.t.Fatalf("request %s: got no start, want one at once", a.Request)
	}
	return s
}

func engine(id string, from, to int) world.Engine {
	return world.Engine{
		ID: spec.UpstreamID(id), Layer: time.Millisecond, Slots: 4, Hop: time.Millisecond, Seq: 1,
		Holds: []world.Hold{{Model: model, Version: "1", Depth: 8, Layers: spec.NewLayers(from, to)}},
	}
}

func lax() spec.Target { return spec.NewTarget(5*time.Second, 0, 0, 95) }
