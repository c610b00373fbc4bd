package layout_test

import (
	"testing"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/layout"
)

// Guards against a plan of a large data centre that takes longer to compute than it
// stays valid. The plan is made in parts, so that one engine more or less changes only
// the orders of its part.
func TestLargeCentreIsPlannedInParts(t *testing.T) {
	m := unlikeCardsModel()
	engines := newFleetFor(m, [][]int{{16, 56, 56}})
	before := layout.Plan(m, engines)
	if len(before) < len(engines)*9/10 {
		t.Fatalf("got %d orders for %d engines, want most of them placed", len(before), len(engines))
	}
	after := map[spec.UpstreamID]spec.Layers{}
	for _, o := range layout.Plan(m, engines[1:]) {
		after[o.ID] = o.Layers
	}
	changed := 0
	for _, o := range before {
		if after[o.ID] != o.Layers {
			changed++
		}
	}
	if changed > len(engines)/2 {
		t.Errorf("got other layers for %d of %d engines after the loss of one, want half at most", changed, len(engines))
	}
}

// Guards against one part of a large data centre giving up layers to fill a gap that
// another part fills.
func TestPartsCoverForEachOther(t *testing.T) {
	m := unlikeCardsModel()
	engines := newFleetFor(m, [][]int{{16, 56, 56}})
	engines = applyOrders(engines, layout.Plan(m, engines))
	var remaining []layout.Engine
	for i, e := range engines {
		if i%5 > 0 {
			remaining = append(remaining, e)
		}
	}
	if minOf(tokensPerLayer(m, remaining)) == 0 {
		t.Fatal("got a layer that no engine holds, want a loss that leaves all")
	}
	if moved := layout.Plan(m, remaining); len(moved) > 1 {
		t.Errorf("got %d engines moved, want one at most while every layer is held", len(moved))
	}
}

// BenchmarkLargeCentre plans 936 engines of five data centres at once.
func BenchmarkLargeCentre(b *testing.B) {
	m := unlikeCardsModel()
	counts := [][]int{}
	for range 5 {
		counts = append(counts, []int{18, 66, 103})
	}
	engines := newFleetFor(m, counts)
	for b.Loop() {
		layout.Plan(m, engines)
	}
}
