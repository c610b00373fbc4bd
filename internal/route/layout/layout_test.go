package layout_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/layout"

	"pgregory.net/rapid"
)

var cards = []site.Card{
	{Name: "a100", MemoryMB: 72000, StepFactor: 2.4, PrefillFactor: 3.2}, {Name: "l40s", MemoryMB: 43200, StepFactor: 5.6, PrefillFactor: 2.7}, {Name: "l4", MemoryMB: 21600, StepFactor: 16, PrefillFactor: 8.2},
}

func model() *site.Model {
	return &site.Model{Slots: 192, Layers: 80, LayerMB: 1750, TokenBytes: 918000, LoadTime: 14 * time.Second, Cards: cards}
}

// newFleet returns engines by data centre and card.
func newFleet(counts [][]int) []layout.Engine {
	var out []layout.Engine
	for z, cardCounts := range counts {
		for card, n := range cardCounts {
			for range n {
				id := spec.UpstreamID(fmt.Sprintf("e%03d", len(out)))
				out = append(out, layout.Engine{ID: id, Centre: spec.DataCentre(fmt.Sprintf("z%d", z)), Card: cards[card]})
			}
		}
	}
	return out
}

// typicalCounts are the engines of a typical deployment.
var typicalCounts = [][]int{{1, 3, 8}, {1, 6, 5}, {2, 2, 5}}

func applyOrders(engines []layout.Engine, orders []layout.Order) []layout.Engine {
	out := append([]layout.Engine(nil), engines...)
	for _, o := range orders {
		for i := range out {
			if out[i].ID == o.ID {
				out[i].Held = o.Layers
			}
		}
	}
	return out
}

// tokensPerLayer returns the KV memory for requests behind each layer, in tokens.
func tokensPerLayer(m *site.Model, engines []layout.Engine) []float64 {
	out := make([]float64, m.Layers)
	for _, e := range engines {
		for l := e.Held.From(); l < e.Held.To(); l++ {
			out[l] += float64(m.KVCapacity(e.Card, e.Held.Len())) / float64(e.Held.Len())
		}
	}
	return out
}

func minOf(xs []float64) float64 {
	out := xs[0]
	for _, x := range xs {
		out = min(out, x)
	}
	return out
}

// The initial placement of a typical fleet must have more KV memory behind its weakest
// layer than equal stages of 20 and 10 layers, and each data centre must hold a
// complete chain.
func TestInitialPlacement(t *testing.T) {
	m := model()
	engines := newFleet(typicalCounts)
	got := applyOrders(engines, layout.Plan(m, engines))
	equal := append([]layout.Engine(nil), engines...)
	next := map[int]int{}
	for i := range equal {
		n := 20
		if equal[i].Card.Name == "l4" {
			n = 10
		}
		equal[i].Held = spec.NewLayers(next[n], next[n]+n)
		next[n] = (next[n] + n) % m.Layers
	}
	if a, b := minOf(tokensPerLayer(m, got)), minOf(tokensPerLayer(m, equal)); a < 1.1*b {
		t.Errorf("got %.0f tokens behind the weakest layer, want 1.1 times the %.0f of equal stages", a, b)
	}
	for _, centre := range []spec.DataCentre{"z0", "z1", "z2"} {
		var local []layout.Engine
		for _, e := range got {
			if e.Centre == centre {
				local = append(local, e)
			}
		}
		if minOf(tokensPerLayer(m, local)) <= 0 {
			t.Errorf("got layers without an engine in %s, want all", centre)
		}
	}
}

// For any set of engines, some of which died or left: no order exceeds the memory of
// its engine, and none reduces the KV memory behind the weakest layer of a data
// centre. An engine that holds layers gets an order only if its data centre lacks a
// layer, or as the only order there while no engine is empty or loading.
func TestPlanIsSafe(t *testing.T) {
	m := model()
	rapid.Check(t, func(t *rapid.T) {
		var counts [][]int
		for z := range rapid.IntRange(1, 4).Draw(t, "centres") {
			_ = z
			counts = append(counts, []int{rapid.IntRange(0, 3).Draw(t, "a100"), rapid.IntRange(0, 6).Draw(t, "l40s"), rapid.IntRange(0, 9).Draw(t, "l4")})
		}
		all := newFleet(counts)
		all = applyOrders(all, layout.Plan(m, all))
		var engines []layout.Engine
		noneEmptyOrLoading := true
		restarts := rapid.Bool().Draw(t, "come back")
		for _, e := range all {
			if rapid.IntRange(0, 3).Draw(t, "dies") == 0 {
				if !restarts {
					continue
				}
				e.Held = spec.Layers{}
			}
			e.Loading = rapid.IntRange(0, 20).Draw(t, "loading") == 0
			noneEmptyOrLoading = noneEmptyOrLoading && e.Held.Len() > 0 && !e.Loading
			engines = append(engines, e)
		}
		if len(engines) == 0 {
			return
		}
		orders := layout.Plan(m, engines)
		after := applyOrders(engines, orders)
		moves := map[spec.DataCentre]int{}
		for _, o := range orders {
			e := byID(engines, o.ID)
			if float64(o.Layers.Len())*m.LayerMB > e.Card.MemoryMB || o.Layers.From() < 0 || o.Layers.To() > m.Layers {
				t.Fatalf("got order %s for %s, want one that fits", o.Layers, e.Card.Name)
			}
			if e.Held.Len() > 0 && minOf(tokensPerLayer(m, inCentre(engines, e.Centre))) > 0 {
				moves[e.Centre]++
			}
		}
		for centre, n := range moves {
			if n > 1 || !isSettled(inCentre(engines, centre)) {
				t.Fatalf("got orders %v for engines of %s that hold layers, want one while nothing else is due", orders, centre)
			}
		}
		for _, e := range engines {
			before, now := inCentre(engines, e.Centre), inCentre(after, e.Centre)
			if minOf(tokensPerLayer(m, now)) < minOf(tokensPerLayer(m, before)) {
				t.Fatalf("got orders %v that leave less behind the weakest layer of %s, want none", orders, e.Centre)
			}
		}
	})
}

// isSettled reports whether no engine is empty or loading.
func isSettled(engines []layout.Engine) bool {
	for _, e := range engines {
		if e.Held.Len() == 0 || e.Loading {
			return false
		}
	}
	return true
}

func byID(engines []layout.Engine, id spec.UpstreamID) layout.Engine {
	for _, e := range engines {
		if e.ID == id {
			return e
		}
	}
	return layout.Engine{}
}

// inCentre returns the engines of a data centre.
func inCentre(engines []layout.Engine, centre spec.DataCentre) []layout.Engine {
	var out []layout.Engine
	for _, e := range engines {
		if e.Centre == centre {
			out = append(out, e)
		}
	}
	return out
}

// A quarter of the engines is lost for good, namely all but one of the engines that
// hold one part of the model. Requests are rejected for lack of KV memory there, while
// memory behind the other layers is free. Engines must be moved one after the other,
// until no move is worth its load time.
func TestPlanRebalancesAfterLoss(t *testing.T) {
	m := model()
	engines := newFleet(typicalCounts)
	engines = applyOrders(engines, layout.Plan(m, engines))
	if orders := layout.Plan(m, engines); len(orders) > 0 {
		t.Fatalf("got orders %v for the complete fleet, want none", orders)
	}
	var left []layout.Engine
	lost := 0
	for _, e := range engines {
		if lost < 8 && e.Held.From() < 40 && e.Held.To() > 20 && e.Card.Name != "a100" {
			lost++
			continue
		}
		left = append(left, e)
	}
	before := minOf(tokensPerLayer(m, left))
	moves := 0
	for ; moves < 10; moves++ {
		orders := layout.Plan(m, left)
		if len(orders) == 0 {
			break
		}
		left = applyOrders(left, orders)
	}
	if after := minOf(tokensPerLayer(m, left)); after < 1.5*before || moves > 4 {
		t.Errorf("got %.0f tokens behind the weakest layer after %d moves, want 1.5 times the %.0f before and 4 moves at most", after, moves, before)
	}
}

// One stage of a chain has little KV memory while spare engines hold other layers, so
// requests are rejected until a spare is moved. A card that is too small for any layer
// stays empty for good. It must not block the move as an engine that has to be filled
// first.
func TestUnusableCardDoesNotBlockMoves(t *testing.T) {
	m := model()
	engines := newFleet([][]int{{1, 6, 0}})
	for i, l := range [][2]int{{0, 25}, {25, 45}, {45, 62}, {62, 80}, {0, 10}, {0, 10}, {0, 10}} {
		engines[i].Held = spec.NewLayers(l[0], l[1])
	}
	want := layout.Plan(m, engines)
	tiny := layout.Engine{ID: "tiny", Centre: "z0", Card: site.Card{Name: "tiny", MemoryMB: 900, StepFactor: 1, PrefillFactor: 1}}
	got := layout.Plan(m, append(engines, tiny))
	if len(want) != 1 || !slices.Equal(got, want) {
		t.Errorf("got orders %v with an unusable card, want the same one as without it: %v", got, want)
	}
}

// An engine of a chain dies and restarts empty. It must get the range that no other
// engine of its data centre holds.
func TestReturningEngineFillsGap(t *testing.T) {
	m := model()
	engines := newFleet(typicalCounts)
	engines = applyOrders(engines, layout.Plan(m, engines))
	for i := range engines {
		previous := engines[i].Held
		engines[i].Held = spec.Layers{}
		orders := layout.Plan(m, engines)
		if len(orders) != 1 || orders[0].ID != engines[i].ID {
			t.Fatalf("got %v, want one order for %s", orders, engines[i].ID)
		}
		after := minOf(tokensPerLayer(m, applyOrders(engines, orders)))
		engines[i].Held = previous
		if before := minOf(tokensPerLayer(m, engines)); after < 0.8*before {
			t.Errorf("got %.0f tokens behind the weakest layer after %s came back, want at least eight tenths of %.0f", after, engines[i].ID, before)
		}
	}
}

// All engines that hold a range die for good, and no engine is empty. Another engine
// must give up layers that others hold as well and take the range: no request could be
// served without it.
func TestLostRangeIsReassigned(t *testing.T) {
	m := model()
	engines := newFleet([][]int{{0, 10, 0}})
	engines = applyOrders(engines, layout.Plan(m, engines))
	var left []layout.Engine
	for _, e := range engines {
		if !e.Held.Has(40) {
			left = append(left, e)
		}
	}
	if minOf(tokensPerLayer(m, left)) > 0 {
		t.Fatal("got layer 40 still held, want none")
	}
	orders := layout.Plan(m, left)
	after := applyOrders(left, orders)
	if len(orders) == 0 || minOf(tokensPerLayer(m, after)) <= 0 {
		t.Errorf("got orders %v, want every layer held after them", orders)
	}
}
