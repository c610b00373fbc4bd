package place_test

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
	"fulmarwick/internal/route/place"

	"pgregory.net/rapid"
)

func drawModels(t *rapid.T) []place.Model {
	var out []place.Model
	for i := range rapid.IntRange(1, 3).Draw(t, "models") {
		out = append(out, place.Model{
			Name: spec.ModelName(fmt.Sprint("m", i)), Version: "1",
			Depth:  rapid.IntRange(1, 40).Draw(t, "depth"),
			Width:  rapid.SampledFrom([]int{0, 1 << 10}).Draw(t, "width"),
			Demand: rapid.Float64Range(0.1, 2).Draw(t, "demand"),
		})
	}
	return out
}

func drawEngines(t *rapid.T, maxEngines int) []*domain.Engine {
	var out []*domain.Engine
	for i := range rapid.IntRange(1, maxEngines).Draw(t, "engines") {
		out = append(out, &domain.Engine{
			ID:            spec.UpstreamID(fmt.Sprintf("e%02d", i)),
			LayerTime:     time.Duration(rapid.IntRange(1, 100).Draw(t, "layer")) * time.Microsecond,
			Slots:         rapid.IntRange(1, 16).Draw(t, "slots"),
			LayerCapacity: rapid.IntRange(1, 30).Draw(t, "memory"),
			Bandwidth:     rapid.SampledFrom([]int64{0, 1 << 20, 100 << 20}).Draw(t, "link"),
		})
	}
	return out
}

// minHolders returns the number of holders of the layer with the fewest.
func minHolders(m place.Model, placement [][]domain.LoadedRange) int {
	fewest := -1
	for at := range m.Depth {
		n := 0
		for _, list := range placement {
			for _, h := range list {
				if h.Model == m.Name && h.Version == m.Version && h.Layers.Has(at) {
					n++
				}
			}
		}
		if fewest < 0 || n < fewest {
			fewest = n
		}
	}
	return fewest
}

// Tests that the plan covers all layers whenever the engines' memory suffices.
// No engine may get more layers than fit or the same layer twice, and the rate
// must not exceed the bound.
func TestPlanCoversLayersWithinMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		models := drawModels(t)
		engines := drawEngines(t, 12)
		goal := rapid.SampledFrom([]place.Goal{place.Throughput, place.Recovery}).Draw(t, "goal")
		r := place.Plan(goal, engines, models)
		memory, depth := 0, 0
		for i, e := range engines {
			memory += e.LayerCapacity
			if got := layerCount(r.Placement[i]); got > e.LayerCapacity {
				t.Errorf("got %d layers on %s, want at most %d", got, e.ID, e.LayerCapacity)
			}
			for k, a := range r.Placement[i] {
				for _, b := range r.Placement[i][:k] {
					if a.Model == b.Model && a.Layers.From() < b.Layers.To() && b.Layers.From() < a.Layers.To() {
						t.Errorf("got overlapping ranges %v and %v on %s", a, b, e.ID)
					}
				}
			}
		}
		for _, m := range models {
			depth += m.Depth
		}
		for _, m := range models {
			if got := minHolders(m, r.Placement); memory >= depth && got < 1 {
				t.Errorf("got a layer of %s without a holder, want none: memory for %d of %d layers", m.Name, memory, depth)
			}
		}
		if r.Rate > r.Bound*(1+1e-6) {
			t.Errorf("got rate %g above the bound %g", r.Rate, r.Bound)
		}
	})
}

// Tests that the shares form a valid flow: no engine runs more than its speed
// allows, and each layer of each model gets the work that the rate requires.
func TestSharesFormValidFlow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		models := drawModels(t)
		engines := drawEngines(t, 12)
		r := place.Plan(place.Throughput, engines, models)
		if r.Rate == 0 {
			return
		}
		work := map[spec.UpstreamID]float64{}
		for _, s := range r.Shares {
			work[s.Engine] += s.Rate * float64(s.Layers.Len())
		}
		for _, e := range engines {
			if got, capacity := work[e.ID], float64(e.Capacity()); got > capacity*(1+1e-6) {
				t.Errorf("got %g layer-tokens a second on %s, want at most %g", got, e.ID, capacity)
			}
		}
		for _, m := range models {
			for at := range m.Depth {
				got := 0.0
				for _, s := range r.Shares {
					if s.Model == m.Name && s.Layers.Has(at) {
						got += s.Rate
					}
				}
				if want := r.Rate * m.Demand; got < want*(1-1e-4) {
					t.Errorf("got %g tokens a second through layer %d of %s, want %g", got, at, m.Name, want)
				}
			}
		}
	})
}

// Compares the rate with one computed by hand. Only the slow engine b holds
// layer 1.
func TestRateOfKnownPlacement(t *testing.T) {
	models := []place.Model{{Name: "m", Version: "1", Depth: 2, Demand: 1}}
	loaded := func(from, to int) []domain.LoadedRange {
		return []domain.LoadedRange{{Model: "m", Version: "1", Depth: 2, Layers: spec.NewLayers(from, to)}}
	}
	engines := []*domain.Engine{
		{ID: "a", LayerTime: time.Millisecond, Slots: 3, LayerCapacity: 1, Loaded: loaded(0, 1)},
		{ID: "b", LayerTime: time.Millisecond, Slots: 1, LayerCapacity: 2, Loaded: loaded(0, 2)},
		{ID: "c", LayerTime: time.Millisecond, Slots: 2, LayerCapacity: 1, Loaded: loaded(0, 1)},
	}
	r := place.Evaluate(engines, models)
	if r.Rate < 999 || r.Rate > 1001 {
		t.Errorf("got %g tokens a second, want 1000", r.Rate)
	}
	if r.Bound < 2999 || r.Bound > 3001 {
		t.Errorf("got bound %g, want 3000: a runs one layer, b and c the other", r.Bound)
	}
}

// Guards against broken chains while the placement changes. Engines die, return
// empty and ignore orders while weights load. No order may take away the last
// holder of a layer; only the death of an engine may.
func TestMovesKeepEveryLayerServed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		models := drawModels(t)
		engines := drawEngines(t, 10)
		setLoaded(engines, place.EvenSplit(engines, models))
		goal := rapid.SampledFrom([]place.Goal{place.Throughput, place.Recovery}).Draw(t, "goal")
		s := newSim(goal, 20, engines)
		s.planner.Models = models
		for range rapid.IntRange(1, 5).Draw(t, "events") {
			e := s.engines[rapid.IntRange(0, len(engines)-1).Draw(t, "which")]
			switch rapid.SampledFrom([]string{"die", "back", "deaf", "version"}).Draw(t, "what") {
			case "die":
				e.dead = true
				s.w.Apply(domain.EngineDead{Engine: e.row.ID})
			case "back":
				e.dead, e.row.Loaded, e.loaded = false, nil, true
			case "deaf":
				e.ignoresOrders = !e.ignoresOrders
			case "version":
				s.planner.Models = append([]place.Model(nil), s.planner.Models...)
				s.planner.Models[0].Version += "x"
				s.wantedVersions[models[0].Name] = s.planner.Models[0].Version
			}
			s.run(time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second)
			if s.lostLayer != "" {
				t.Fatalf("got layer %s without a holder after an order, want one", s.lostLayer)
			}
		}
	})
}

// Tests that the same routing state leads to the same orders.
func TestPlannerIsDeterministic(t *testing.T) {
	run := func() []domain.LoadedRange {
		st := deployments()[0]
		engines := st.engines()
		setLoaded(engines, place.EvenSplit(engines, st.models))
		s := newSim(st.goal, 20, engines)
		s.run(40 * time.Second)
		s.kill(3)
		s.run(40 * time.Second)
		var out []domain.LoadedRange
		for _, e := range s.engines {
			out = append(out, e.row.Loaded...)
		}
		return out
	}
	first := run()
	for range 3 {
		if got := run(); !reflect.DeepEqual(got, first) {
			t.Fatalf("got %v, want %v", got, first)
		}
	}
}

// With the recovery goal, the death of any one engine must leave a complete
// chain, since each layer has a second holder. Within two minutes of a death,
// the planner must have found a new second holder for each layer that lost one.
func TestRecoveryKeepsTwoHolders(t *testing.T) {
	st := deployments()[1]
	engines := st.engines()
	setLoaded(engines, place.Plan(st.goal, engines, st.models).Placement)
	s := newSim(st.goal, 20, engines)
	s.run(20 * time.Second)
	for i := range s.engines {
		s.kill(i)
		if got := s.evaluate(st.models).Rate; got <= 0 {
			t.Fatalf("got no complete chain after the death of %s, want one", s.engines[i].row.ID)
		}
		s.engines[i].dead = false
		s.run(2 * time.Second)
	}
	s.kill(0)
	s.run(2 * time.Minute)
	if got := s.planner.Status().MissingHolders; got != 0 {
		t.Errorf("got %d holders missing two minutes after a death, want 0", got)
	}
}

// Guards against long queues after the death of a fast engine leaves one layer
// to a slow engine. The loss of rate is so large that the planner must not wait
// for the settle time, although every layer still has a holder.
func TestLargeLossSkipsSettleTime(t *testing.T) {
	st := deployments()[3]
	engines := st.engines()
	setLoaded(engines, place.Plan(st.goal, engines, st.models).Placement)
	s := newSim(st.goal, 20, engines)
	s.run(20 * time.Second)
	s.kill(0)
	if got := s.evaluate(st.models); got.Rate == 0 || got.Rate > 0.3*got.Bound {
		t.Fatalf("got rate %g of %g after the death, want a low rate above 0", got.Rate, got.Bound)
	}
	s.run(5 * time.Second)
	if s.moves == 0 {
		t.Error("got no order within 5 s, want one: the settle time is 10 s")
	}
}

// Guards against weights that are loaded back and forth. An engine dies and
// returns with its weights every few seconds. No layer loses its last holder,
// so nothing justifies a load.
func TestFlappingEngineTriggersNoLoads(t *testing.T) {
	for _, st := range deployments()[:4] {
		engines := st.engines()
		setLoaded(engines, place.Plan(st.goal, engines, st.models).Placement)
		s := newSim(st.goal, 20, engines)
		s.run(20 * time.Second)
		last := len(engines) - 1
		for range 20 {
			s.kill(last)
			s.run(3 * time.Second)
			s.engines[last].dead = false
			s.run(3 * time.Second)
		}
		if s.moves != 0 {
			t.Errorf("got %d engines reloaded at %s, want 0", s.moves, st.name)
		}
	}
}

// Guards against a large loss of speed while a plan is carried out and the rate
// of the weight store is unknown. Only a tenth of the engines may load at once.
func TestConcurrentLoadsAreLimited(t *testing.T) {
	st := deployments()[3]
	engines := st.engines()
	setLoaded(engines, place.EvenSplit(engines, st.models))
	s := newSim(st.goal, 1, engines)
	s.planner.LoadRate = 0
	maxLoading := 0
	for range 120 {
		s.run(time.Second)
		maxLoading = max(maxLoading, s.planner.Status().Loading)
	}
	if want := len(engines) / 10; maxLoading != want {
		t.Errorf("got up to %d engines loading at once, want %d", maxLoading, want)
	}
}

// Guards against two instances that send orders at once. An instance that loses
// the duty in the middle of a plan must send no more orders, since the next
// holder of the duty sends its own.
func TestNoOrdersWithoutDuty(t *testing.T) {
	st := deployments()[0]
	engines := st.engines()
	setLoaded(engines, place.EvenSplit(engines, st.models))
	s := newSim(st.goal, 1, engines)
	s.run(20 * time.Second)
	if s.moves == 0 {
		t.Fatal("got no order while the instance had the duty, want some")
	}
	before := s.moves
	s.w.Apply(domain.Duties{})
	s.run(2 * time.Minute)
	if s.moves != before {
		t.Errorf("got %d orders after the duty was lost, want 0", s.moves-before)
	}
}

// A new version is wanted while callers use the old one. The old version must
// stay complete until all layers of the new one are served, and is dropped only
// then.
func TestVersionChangeKeepsServing(t *testing.T) {
	st := deployments()[0]
	engines := st.engines()
	setLoaded(engines, place.Plan(st.goal, engines, st.models).Placement)
	s := newSim(st.goal, 20, engines)
	s.run(5 * time.Second)
	next := st.models[0]
	next.Version = "2"
	s.planner.Models = []place.Model{next}
	s.wantedVersions[next.Name] = "2"
	s.run(3 * time.Minute)
	if s.lostLayer != "" {
		t.Errorf("got layer %s without a holder, want one", s.lostLayer)
	}
	if got := s.evaluate([]place.Model{next}); got.Rate < 0.95*got.Bound {
		t.Errorf("got rate %g of the new version, want near the bound %g", got.Rate, got.Bound)
	}
}
