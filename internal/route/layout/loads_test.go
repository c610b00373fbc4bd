package layout_test

import (
	"testing"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/layout"
)

// Guards against a model that is complete only when the last of many engines has
// loaded: loads beyond those at full speed share it.
func TestConcurrentLoadsAreLimited(t *testing.T) {
	m := unlikeCardsModel()
	m.MaxParallelLoads = 3
	engines := newFleetFor(m, [][]int{{4, 0, 8}})
	held := func(i, from, to int) { engines[i].Held = spec.NewLayers(from, to) }
	held(0, 0, 30)
	held(1, 0, 30)
	held(2, 30, 60)
	engines[3].Held, engines[3].Loading = spec.NewLayers(30, 60), true
	orders := []layout.Order{
		{ID: engines[0].ID, Layers: spec.NewLayers(0, 20)},
		{ID: engines[4].ID, Layers: spec.NewLayers(0, 10)},
		{ID: engines[5].ID, Layers: spec.NewLayers(60, 70)},
		{ID: engines[6].ID, Layers: spec.NewLayers(70, 80)},
		{ID: engines[7].ID, Layers: spec.NewLayers(10, 20)},
	}
	tests := []struct {
		name  string
		loads int
		want  []int
	}{
		{"one loading, two allowed", 3, []int{2, 3}},
		{"missing layers, then empty engines", 5, []int{2, 3, 1, 4}},
		{"no load allowed", 1, nil},
		{"no limit published", 0, []int{0, 1, 2, 3, 4}},
		{"all allowed", 9, []int{2, 3, 1, 4, 0}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m.MaxParallelLoads = test.loads
			got := layout.LimitLoads(m, engines, orders)
			if len(got) != len(test.want) {
				t.Fatalf("got %v, want %d orders", got, len(test.want))
			}
			for i, at := range test.want {
				if got[i] != orders[at] {
					t.Errorf("got %v as order %d, want %v", got[i], i, orders[at])
				}
			}
		})
	}
}
