package layout_test

import (
	"fmt"
	"math"
	"sort"
	"testing"
	"time"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/layout"

	"pgregory.net/rapid"
)

// newFleetFor returns engines by data centre and card of a model.
func newFleetFor(m *site.Model, counts [][]int) []layout.Engine {
	out := newFleet(counts)
	at := 0
	for _, centre := range counts {
		for card, n := range centre {
			for range n {
				out[at].Card = m.Cards[card]
				at++
			}
		}
	}
	return out
}

// timedModel returns the basic model with the times of steps and reads.
func timedModel() *site.Model {
	m := model()
	m.StepTime, m.TimePerSequence, m.TimePer1kTokens = 1020*time.Microsecond, 7140*time.Nanosecond, 9560*time.Nanosecond
	m.PrefillRate, m.TypicalPrompt, m.TypicalAnswer = 105000, 774, 200
	return m
}

// unlikeCardsModel returns a model whose cards differ greatly: one with much memory,
// one with little, one slow.
func unlikeCardsModel() *site.Model {
	m := timedModel()
	m.TokenBytes, m.PrefillRate, m.TypicalAnswer = 590000, 164000, 215
	m.Cards = []site.Card{{Name: "a100", MemoryMB: 72000, StepFactor: 2.4, PrefillFactor: 3.2}, {Name: "v100", MemoryMB: 14400, StepFactor: 5.3, PrefillFactor: 7.9}, {Name: "l4", MemoryMB: 21600, StepFactor: 16, PrefillFactor: 8.2}}
	return m
}

// fewLargeLayersModel returns a model of few large layers on cards of two kinds, with
// long prompts.
func fewLargeLayersModel() *site.Model {
	m := timedModel()
	m.Layers, m.LayerMB, m.TypicalPrompt, m.TypicalAnswer = 24, 5200, 2600, 90
	m.Cards = []site.Card{{Name: "big", MemoryMB: 96000, StepFactor: 1.6, PrefillFactor: 1.4}, {Name: "old", MemoryMB: 32000, StepFactor: 9, PrefillFactor: 6}}
	return m
}

// singleCardModel returns a model on one kind of card.
func singleCardModel() *site.Model {
	m := timedModel()
	m.Layers, m.LayerMB, m.TypicalPrompt, m.TypicalAnswer = 48, 900, 300, 500
	m.Cards = []site.Card{{Name: "only", MemoryMB: 16000, StepFactor: 6, PrefillFactor: 5}}
	return m
}

// deployments are the fleets of three users, larger versions of them, and others with
// unlike cards, data centres of unequal size, and too little memory.
var deployments = []struct {
	name   string
	model  func() *site.Model
	counts [][]int
}{
	{"typical fleet", timedModel, typicalCounts},
	{"typical fleet, larger", timedModel, [][]int{{2, 9, 22}, {2, 15, 12}, {4, 6, 14}}},
	{"unlike cards", unlikeCardsModel, [][]int{{2, 4, 4}, {1, 6, 6}, {1, 10, 4}}},
	{"unlike cards, larger", unlikeCardsModel, [][]int{{4, 10, 11}, {3, 14, 16}, {2, 24, 9}}},
	{"one large data centre and two small ones", fewLargeLayersModel, [][]int{{4, 6}, {1, 2}, {0, 3}}},
	{"one kind of card", singleCardModel, [][]int{{7}, {5}}},
	{"a single data centre", unlikeCardsModel, [][]int{{2, 12, 9}}},
}

// evenSplit gives each engine the next layers in proportion to its memory, in the
// order of the list: a placement without planning.
func evenSplit(m *site.Model, engines []layout.Engine) []layout.Engine {
	out := append([]layout.Engine(nil), engines...)
	at := 0
	for i := range out {
		n := max(1, m.MaxLayers(out[i].Card)*2/3)
		if at+n > m.Layers {
			n = m.Layers - at
		}
		out[i].Held = spec.NewLayers(at, at+n)
		at = (at + n) % m.Layers
	}
	return out
}

// byMemory builds chains for a fixed KV memory of 60,000 tokens in each data centre,
// with layers in proportion to memory. It gives the remaining engines the ranges
// behind which there is least KV memory.
func byMemory(m *site.Model, engines []layout.Engine) []layout.Engine {
	const kvTokens = 60000
	out := append([]layout.Engine(nil), engines...)
	sort.SliceStable(out, func(i, j int) bool { return out[i].Card.StepFactor < out[j].Card.StepFactor })
	need := float64(m.Layers) * (m.LayerMB + kvTokens*m.TokenLayerMB())
	for _, centre := range centresOf(out) {
		for chain, got := []int(nil), 0.0; ; chain, got = nil, 0 {
			for i, e := range out {
				if e.Centre == centre && e.Held.Len() == 0 && got < need {
					chain, got = append(chain, i), got+e.Card.MemoryMB
				}
			}
			if got < need {
				break
			}
			from, sum := 0, 0.0
			for _, i := range chain {
				sum += out[i].Card.MemoryMB
				to := min(int(math.Round(float64(m.Layers)*sum/got)), from+m.MaxLayers(out[i].Card))
				out[i].Held = spec.NewLayers(from, to)
				from = to
			}
		}
	}
	for i, e := range out {
		if n := min(m.Layers, int(math.Round(e.Card.MemoryMB/(m.LayerMB+kvTokens*m.TokenLayerMB())))); e.Held.Len() == 0 && n > 0 {
			at, best := 0, math.Inf(1)
			available := tokensPerLayer(m, out)
			for from := 0; from+n <= m.Layers; from++ {
				if sum := sumOf(available[from : from+n]); sum < best {
					at, best = from, sum
				}
			}
			out[i].Held = spec.NewLayers(at, at+n)
		}
	}
	return out
}

func centresOf(engines []layout.Engine) []spec.DataCentre {
	seen := map[spec.DataCentre]bool{}
	var out []spec.DataCentre
	for _, e := range engines {
		if !seen[e.Centre] {
			seen[e.Centre] = true
			out = append(out, e.Centre)
		}
	}
	return out
}

func sumOf(xs []float64) float64 {
	sum := 0.0
	for _, x := range xs {
		sum += x
	}
	return sum
}

// totalRate returns the rate that all data centres carry.
func totalRate(m *site.Model, engines []layout.Engine) float64 {
	sum := 0.0
	for _, c := range centresOf(engines) {
		sum += layout.Rate(m, inCentre(engines, c))
	}
	return sum
}

// servedShare returns the share of a load that is carried after the loss of one
// engine, as the mean over all engines.
func servedShare(m *site.Model, engines []layout.Engine, load float64) float64 {
	sum := 0.0
	for i := range engines {
		others := append(append([]layout.Engine(nil), engines[:i]...), engines[i+1:]...)
		sum += min(1, totalRate(m, others)/load)
	}
	return sum / float64(len(engines))
}

// Cards differ in memory and speed, data centres differ in size, and any one engine
// may be lost. Under a load of six tenths of what the engines could carry, the plan
// must serve at least as much as an even split and as chains by memory alone, in every
// deployment.
func TestPlanAgainstSimplePlacements(t *testing.T) {
	for _, s := range deployments {
		m := s.model()
		engines := newFleetFor(m, s.counts)
		plan, even, proportional := applyOrders(engines, layout.Plan(m, engines)), evenSplit(m, engines), byMemory(m, engines)
		load := 0.6 * max(totalRate(m, plan), totalRate(m, even), totalRate(m, proportional))
		got, a, b := servedShare(m, plan, load), servedShare(m, even, load), servedShare(m, proportional, load)
		t.Logf("%s: %.3f of %.0f requests a second after the loss of one engine, even split %.3f, by memory %.3f", s.name, got, load, a, b)
		if got < a || got < b {
			t.Errorf("%s: got %.3f of the load after the loss of one engine, want at least %.3f and %.3f", s.name, got, a, b)
		}
	}
}

// With few engines and layers, all placements can be tried. The score of the plan must
// be at least half that of the best of them. The score counts the rate with all
// engines and the mean rate without one.
func TestPlanAgainstExhaustiveSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := timedModel()
		m.Layers = rapid.IntRange(3, 5).Draw(t, "layers")
		m.LayerMB = 28000 / float64(m.Layers) * 2
		n := rapid.IntRange(2, 4).Draw(t, "engines")
		counts := make([]int, 3)
		for range n {
			counts[rapid.IntRange(0, 2).Draw(t, "card")]++
		}
		engines := newFleet([][]int{counts})
		score := func(es []layout.Engine) float64 { return layout.Rate(m, es) + meanRateWithoutOne(m, es) }
		best := 0.0
		var try func(i int)
		all := append([]layout.Engine(nil), engines...)
		try = func(i int) {
			if i == len(all) {
				best = max(best, score(all))
				return
			}
			for from := 0; from < m.Layers; from++ {
				for to := from + 1; to <= min(m.Layers, from+m.MaxLayers(all[i].Card)); to++ {
					all[i].Held = spec.NewLayers(from, to)
					try(i + 1)
				}
			}
			all[i].Held = spec.Layers{}
		}
		try(0)
		got := score(applyOrders(engines, layout.Plan(m, engines)))
		if got < 0.5*best {
			t.Fatalf("got a score of %.2f, want at least half of the best score %.2f", got, best)
		}
	})
}

// meanRateWithoutOne returns the rate after the loss of one engine, as the mean over
// all engines.
func meanRateWithoutOne(m *site.Model, engines []layout.Engine) float64 {
	sum := 0.0
	for i := range engines {
		sum += layout.Rate(m, append(append([]layout.Engine(nil), engines[:i]...), engines[i+1:]...))
	}
	return sum / float64(len(engines))
}

// An engine that is the only holder of layers in its data centre dies and doesn't
// return. No request can be served there any more, and the other data centres have to
// carry its load, until spare engines take its layers. The first plan must order them
// to.
func TestSparesTakeOver(t *testing.T) {
	m := unlikeCardsModel()
	engines := newFleetFor(m, [][]int{{2, 4, 4}, {1, 6, 6}, {1, 10, 4}})
	engines = applyOrders(engines, layout.Plan(m, engines))
	for i, dead := range engines {
		others := append(append([]layout.Engine(nil), engines[:i]...), engines[i+1:]...)
		after := applyOrders(others, layout.Plan(m, others))
		before, now := layout.Rate(m, inCentre(engines, dead.Centre)), layout.Rate(m, inCentre(after, dead.Centre))
		if now < before/10 {
			t.Errorf("got %.1f requests a second after %s with %s died, want at least a tenth of %.1f", now, dead.ID, dead.Held, before)
		}
	}
}

// Values that a platform publishes may be missing or invalid. The plan must still
// place the layers that fit, and must not order an engine to hold more than its
// memory.
func TestIncompleteModels(t *testing.T) {
	tests := []struct {
		name   string
		change func(*site.Model)
		serves bool
	}{
		{"no typical sizes", func(m *site.Model) { m.TypicalPrompt, m.TypicalAnswer = 0, 0 }, true},
		{"no answers", func(m *site.Model) { m.TypicalAnswer = 0 }, true},
		{"no times", func(m *site.Model) { m.StepTime, m.TimePerSequence, m.TimePer1kTokens, m.PrefillRate = 0, 0, 0, 0 }, true},
		{"no speed factors", func(m *site.Model) {
			m.Cards = []site.Card{{Name: "x", MemoryMB: 72000}, {Name: "y", MemoryMB: 43200}, {Name: "z", MemoryMB: 21600}}
		}, true},
		{"no KV memory per token", func(m *site.Model) { m.TokenBytes = 0 }, true},
		{"no slots", func(m *site.Model) { m.Slots = 0 }, true},
		{"no layers", func(m *site.Model) { m.Layers = 0 }, false},
		{"layers without size", func(m *site.Model) { m.LayerMB = 0 }, false},
		{"a layer larger than any card", func(m *site.Model) { m.LayerMB = 90000 }, false},
		{"a model larger than all cards", func(m *site.Model) { m.LayerMB = 21000 }, false},
		{"cards without memory", func(m *site.Model) { m.Cards = []site.Card{{}, {}, {}} }, false},
	}
	for _, test := range tests {
		m := timedModel()
		test.change(m)
		engines := newFleetFor(m, typicalCounts)
		orders := layout.Plan(m, engines)
		for _, o := range orders {
			if e := byID(engines, o.ID); float64(o.Layers.Len())*m.LayerMB > e.Card.MemoryMB {
				t.Errorf("%s: got order %s for %.0f MB, want one that fits", test.name, o.Layers, e.Card.MemoryMB)
			}
		}
		if after := applyOrders(engines, orders); test.serves && (len(orders) == 0 || layout.Rate(m, after) <= 0) {
			t.Errorf("%s: got %d orders that serve nothing, want a plan", test.name, len(orders))
		}
	}
}

func ExampleRate() {
	m := timedModel()
	engines := []layout.Engine{
		{ID: "a", Card: m.Cards[0], Held: spec.NewLayers(0, 40)}, {ID: "b", Card: m.Cards[0], Held: spec.NewLayers(40, 80)},
	}
	fmt.Println(layout.Rate(m, engines) > 0, layout.Rate(m, engines[:1]))
	// Output: true 0
}

// BenchmarkPlanEmptyFleet plans 190 empty engines of three data centres at once.
func BenchmarkPlanEmptyFleet(b *testing.B) {
	m := unlikeCardsModel()
	engines := newFleetFor(m, [][]int{{8, 20, 35}, {6, 28, 30}, {4, 40, 19}})
	for b.Loop() {
		layout.Plan(m, engines)
	}
}

// BenchmarkPlanRepair plans 190 engines, six of which restarted empty.
func BenchmarkPlanRepair(b *testing.B) {
	m := unlikeCardsModel()
	engines := newFleetFor(m, [][]int{{8, 20, 35}, {6, 28, 30}, {4, 40, 19}})
	engines = applyOrders(engines, layout.Plan(m, engines))
	for i := range 6 {
		engines[i*30].Held = spec.Layers{}
	}
	for b.Loop() {
		layout.Plan(m, engines)
	}
}
