package depot_test

import (
	"testing"
	"time"

	"fulmarwick/internal/fakes/depot"
	"fulmarwick/internal/fakes/drive"
	"fulmarwick/platform/stand"
)

// deployments differ from the default one in cards, layers, sizes of answers and
// data centres.
var deployments = []struct {
	name  string
	shape stand.Deployment
	// load is the share of the usual traffic that the deployment gets.
	load float64
	// minWorth is the least worth that callers must get.
	minWorth float64
}{
	{"small and slow cards", stand.Deployment{
		Cards:  []stand.Card{{Name: "a100", MemoryMB: 72000, StepFactor: 2.4, PrefillFactor: 3.2, EvenLayers: 20}, {Name: "v100", MemoryMB: 14400, StepFactor: 5.3, PrefillFactor: 7.9, EvenLayers: 5}, {Name: "l4", MemoryMB: 21600, StepFactor: 16, PrefillFactor: 8.2, EvenLayers: 10}},
		Zones:  []stand.Zone{{Name: "a", EnginesPerCard: []int{2, 4, 4}}, {Name: "b", EnginesPerCard: []int{1, 6, 6}}, {Name: "c", EnginesPerCard: []int{1, 10, 4}}},
		Layers: 80, LayerMB: 1750, TokenBytes: 590000, PrefillRate: 164000, TypicalPrompt: 774, TypicalAnswer: 215,
	}, 1, 0.8},
	{"few large layers in data centres of unequal size", stand.Deployment{
		Cards:  []stand.Card{{Name: "big", MemoryMB: 96000, StepFactor: 1.6, PrefillFactor: 1.4, EvenLayers: 8}, {Name: "old", MemoryMB: 32000, StepFactor: 9, PrefillFactor: 6, EvenLayers: 4}},
		Zones:  []stand.Zone{{Name: "a", EnginesPerCard: []int{4, 6}}, {Name: "b", EnginesPerCard: []int{1, 2}}, {Name: "c", EnginesPerCard: []int{0, 3}}},
		Layers: 24, LayerMB: 5200, TokenBytes: 700000, PrefillRate: 120000, TypicalPrompt: 774, TypicalAnswer: 200,
	}, 0.6, 0.8},
	{"one kind of card", stand.Deployment{
		Cards:  []stand.Card{{Name: "only", MemoryMB: 24000, StepFactor: 4, PrefillFactor: 4, EvenLayers: 12}},
		Zones:  []stand.Zone{{Name: "a", EnginesPerCard: []int{8}}, {Name: "b", EnginesPerCard: []int{6}}},
		Layers: 48, LayerMB: 900, TokenBytes: 500000, PrefillRate: 120000, TypicalPrompt: 774, TypicalAnswer: 200,
	}, 0.6, 0.8},
	{"far too little memory", stand.Deployment{
		Cards:  []stand.Card{{Name: "tiny", MemoryMB: 16000, StepFactor: 6, PrefillFactor: 5, EvenLayers: 8}},
		Zones:  []stand.Zone{{Name: "a", EnginesPerCard: []int{4}}, {Name: "b", EnginesPerCard: []int{3}}},
		Layers: 40, LayerMB: 1900, TokenBytes: 800000, PrefillRate: 100000, TypicalPrompt: 774, TypicalAnswer: 200,
	}, 0.2, 0},
}

// TestOtherShapes runs deployments that the router has no tuning for and crashes the
// busiest engine halfway. Callers get at least minWorth, and no less than the better
// of two forwarders that work without a plan.
func TestOtherShapes(t *testing.T) {
	for _, s := range deployments {
		t.Run(s.name, func(t *testing.T) {
			got := runDeployment(t, &s.shape, nil, s.load)
			baseline := max(runDeployment(t, &s.shape, &stand.Baseline{}, s.load), runDeployment(t, &s.shape, &stand.Baseline{LeastLoaded: true}, s.load))
			t.Logf("worth %.3f, baseline forwarders %.3f", got, baseline)
			if got < s.minWorth || got < baseline {
				t.Errorf("got worth %.3f, want at least %.3f and at least the %.3f of the baseline forwarders", got, s.minWorth, baseline)
			}
		})
	}
}

// runDeployment runs a share of the usual traffic with one crash and returns the
// worth of all answers.
func runDeployment(t *testing.T, shape *stand.Deployment, baseline *stand.Baseline, load float64) float64 {
	t.Helper()
	d := &depot.Depot{Instances: 4, Baseline: baseline, Deployment: *shape}
	return runOn(t, d, func(w *drive.Workload) {
		w.Duration = 10 * time.Second
		for i := range w.Classes {
			w.Classes[i].Rate *= load
		}
		w.Faults = []drive.Fault{{At: 5 * time.Second, Kind: drive.KindCrash, Count: 1}}
	}).Total.Worth
}
