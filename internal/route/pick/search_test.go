package pick_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"fulmarwick/internal/route/domain"
	"fulmarwick/internal/route/pick"

	"pgregory.net/rapid"
)

// cheapestTokenTime is a naive reference. It returns the least time for a token
// over all chains, which may switch engines at any layer, or a negative value
// if no chain covers the model.
func cheapestTokenTime(engines []domain.Engine, depth int) time.Duration {
	best := make([]time.Duration, depth+1)
	for at := 1; at <= depth; at++ {
		best[at] = -1
		for _, e := range engines {
			l := e.Loaded[0].Layers
			for from := l.From(); from < at && at <= l.To(); from++ {
				if from > 0 && best[from] < 0 {
					continue
				}
				cost := best[from] + e.ReportedHopTime + time.Duration(at-from)*e.LayerTime
				if best[at] < 0 || cost < best[at] {
					best[at] = cost
				}
			}
		}
	}
	return best[depth]
}

// On idle engines with any ranges and speeds, the search over boundaries must
// find a chain that covers each layer once whenever there is one, and it must
// find the cheapest.
func TestSearchFindsTheCheapestChain(t *testing.T) {
	const depth = 8
	rapid.Check(t, func(t *rapid.T) {
		var engines []domain.Engine
		w := &domain.RoutingState{}
		w.BeginTick(0)
		for i := range rapid.IntRange(1, 6).Draw(t, "engines") {
			from := rapid.IntRange(0, depth-1).Draw(t, "from")
			to := rapid.IntRange(from+1, depth).Draw(t, "to")
			e := newEngine(fmt.Sprint("e", i), from, to)
			e.Slots = 1 << 20
			e.LayerTime = time.Duration(rapid.IntRange(1, 9).Draw(t, "layer")) * time.Millisecond
			engines = append(engines, e)
			w.Apply(domain.EngineReport{Engine: e})
		}
		w.Apply(domain.RequestArrived{Request: "r", Model: model, PromptTokens: 1, MaxTokens: 1000})
		p := &pick.Picker{Rand: rand.New(rand.NewPCG(1, 1)), Samples: 64}
		want := cheapestTokenTime(engines, depth)
		c, ok := p.Choose(w, w.Requests().TakeDue()[0], pick.Query{MaxUtilization: 1, RemainingTokens: 1000})
		if ok != (want >= 0) {
			t.Fatalf("found: got %v, want %v", ok, want >= 0)
		}
		if !ok {
			return
		}
		if err := c.Plan.Chain.Check(depth); err != nil {
			t.Fatal(err)
		}
		if got := c.Plan.TokenTime; got > want+want/1000 {
			t.Fatalf("token: got %v by %v, want %v", got, c.Plan.Chain, want)
		}
	})
}

// Two versions of a model are served while one replaces the other. A chain must
// never mix them, and an answer must stay on the version on which it began.
func TestVersionsAreNeverMixed(t *testing.T) {
	w := &domain.RoutingState{}
	w.BeginTick(0)
	add := func(id, version string, from, to int, layer time.Duration) {
		e := newEngine(id, from, to)
		e.LayerTime = layer
		e.Loaded[0].Version = version
		w.Apply(domain.EngineReport{Engine: e})
	}
	add("old1", "1", 0, 4, 9*time.Millisecond)
	add("old2", "1", 4, 8, 9*time.Millisecond)
	add("new1", "2", 0, 4, time.Millisecond)
	w.Apply(domain.RequestArrived{Request: "r", Model: model, PromptTokens: 1, MaxTokens: 10})
	r := w.Requests().TakeDue()[0]
	p := &pick.Picker{Rand: rand.New(rand.NewPCG(1, 1))}
	c, ok := p.Choose(w, r, pick.Query{MaxUtilization: 1, RemainingTokens: 10})
	if !ok || c.Plan.Version != "1" {
		t.Fatalf("got %v %v, want a chain of version 1", c.Plan, ok)
	}
	w.Start(r, c.Plan, 0, 0, 0)
	add("new2", "2", 4, 8, time.Millisecond)
	w.Apply(domain.StageLost{Request: "r", Attempt: 1, Engine: c.Plan.Chain[0].Engine(), Cause: domain.CauseStateLost})
	replanned, ok := p.Choose(w, r, pick.Query{MaxUtilization: 1, RemainingTokens: 10})
	if !ok || replanned.Plan.Version != "1" {
		t.Errorf("got %v %v, want version 1 still", replanned.Plan, ok)
	}
	if replanned.Plan.Chain.Uses("new2") {
		t.Error("got an engine of version 2 in the chain, want none")
	}
}
