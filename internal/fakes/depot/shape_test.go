package depot_test

import (
	"testing"
	"time"

	"fulmarwick/internal/fakes/depot"
	"fulmarwick/internal/fakes/drive"
	"fulmarwick/platform/stand"
)

// shapes are deployments that differ from the usual one in cards, layers, sizes
// of answers and data centres, with the part of the usual traffic that they get.
var shapes = []struct {
	name  string
	shape stand.Shape
	load  float64
	// aim is the least worth that callers must get.
	aim float64
}{
	{"small and slow cards", stand.Shape{
		Cards:  []stand.Card{{Name: "a100", MB: 72000, Pace: 2.4, Read: 3.2, Even: 20}, {Name: "v100", MB: 14400, Pace: 5.3, Read: 7.9, Even: 5}, {Name: "l4", MB: 21600, Pace: 16, Read: 8.2, Even: 10}},
		Zones:  []stand.Zone{{Name: "a", Cards: []int{2, 4, 4}}, {Name: "b", Cards: []int{1, 6, 6}}, {Name: "c", Cards: []int{1, 10, 4}}},
		Layers: 80, LayerMB: 1750, TokenBytes: 590000, ReadRate: 164000, Prompt: 774, Answer: 215,
	}, 1, 0.8},
	{"few large layers in data centres of unequal size", stand.Shape{
		Cards:  []stand.Card{{Name: "big", MB: 96000, Pace: 1.6, Read: 1.4, Even: 8}, {Name: "old", MB: 32000, Pace: 9, Read: 6, Even: 4}},
		Zones:  []stand.Zone{{Name: "a", Cards: []int{4, 6}}, {Name: "b", Cards: []int{1, 2}}, {Name: "c", Cards: []int{0, 3}}},
		Layers: 24, LayerMB: 5200, TokenBytes: 700000, ReadRate: 120000, Prompt: 774, Answer: 200,
	}, 0.6, 0.8},
	{"one kind of card", stand.Shape{
		Cards:  []stand.Card{{Name: "only", MB: 24000, Pace: 4, Read: 4, Even: 12}},
		Zones:  []stand.Zone{{Name: "a", Cards: []int{8}}, {Name: "b", Cards: []int{6}}},
		Layers: 48, LayerMB: 900, TokenBytes: 500000, ReadRate: 120000, Prompt: 774, Answer: 200,
	}, 0.6, 0.8},
	{"far too little memory", stand.Shape{
		Cards:  []stand.Card{{Name: "tiny", MB: 16000, Pace: 6, Read: 5, Even: 8}},
		Zones:  []stand.Zone{{Name: "a", Cards: []int{4}}, {Name: "b", Cards: []int{3}}},
		Layers: 40, LayerMB: 1900, TokenBytes: 800000, ReadRate: 100000, Prompt: 774, Answer: 200,
	}, 0.2, 0},
}

// Nothing in the router knows these deployments. One of the busiest engines dies
// in the middle. Callers get at least the stated worth, and on every deployment
// more than the better of two forwarders without a plan brings them.
func TestOtherShapes(t *testing.T) {
	for _, s := range shapes {
		t.Run(s.name, func(t *testing.T) {
			got := playShape(t, &s.shape, nil, s.load)
			naive := max(playShape(t, &s.shape, &stand.Naive{}, s.load), playShape(t, &s.shape, &stand.Naive{Least: true}, s.load))
			t.Logf("worth %.3f, naive forwarders %.3f", got, naive)
			if got < s.aim || got < naive {
				t.Errorf("got worth %.3f, want %.3f and no less than the %.3f of naive forwarders", got, s.aim, naive)
			}
		})
	}
}

// playShape plays a part of the usual traffic with a death and returns the worth.
func playShape(t *testing.T, shape *stand.Shape, naive *stand.Naive, load float64) float64 {
	t.Helper()
	d := &depot.Depot{Instances: 4, Naive: naive, Shape: *shape}
	return playOn(t, d, func(w *drive.Work) {
		w.Span = 10 * time.Second
		for i := range w.Classes {
			w.Classes[i].Rate *= load
		}
		w.Faults = []drive.Fault{{At: 5 * time.Second, Kind: drive.KindCrash, Count: 1}}
	}).Total.Worth
}
