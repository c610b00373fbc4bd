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

func drawEngines(t *rapid.T, most int) []*domain.Engine {
	var out []*domain.Engine
	for i := range rapid.IntRange(1, most).Draw(t, "engines") {
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

// minHolders is how many holders the layer with the fewest has.
func minHolders(m place.Model, holds [][]domain.LoadedRange) int {
	least := -1
	for at := range m.Depth {
		n := 0
		for _, list := range holds {
			for _, h := range list {
				if h.Model == m.Name && h.Version == m.Version && h.Layers.Has(at) {
					n++
				}
			}
		}
		if least < 0 || n < least {
			least = n
		}
	}
	return least
}

// Whenever the engines' memory can hold all layers, the plan does; it never
// gives an engine more than fits, nor one layer twice, and its rate is no
// higher than the bound.
func TestPlanCoversLayersWithinMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		models := drawModels(t)
		engines := drawEngines(t, 12)
		goal := rapid.SampledFrom([]place.Goal{place.Throughput, place.Recovery}).Draw(t, "goal")
		r := place.Plan(goal, engines, models)
		room, depth := 0, 0
		for i, e := range engines {
			room += e.LayerCapacity
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
			if got := minHolders(m, r.Placement); room >= depth && got < 1 {
				t.Errorf("got a layer of %s without holder, want none: %d of room for %d layers", m.Name, room, depth)
			}
		}
		if r.Rate > r.Bound*(1+1e-6) {
			t.Errorf("got rate %g above the bound %g", r.Rate, r.Bound)
		}
	})
}

// The shares are a flow: no engine runs more than its speed, and each layer of
// each model gets its part of the rate.
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
			if got, most := work[e.ID], float64(e.Capacity()); got > most*(1+1e-6) {
				t.Errorf("got %g layer-tokens a second on %s, want at most %g", got, e.ID, most)
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

// The rate against a computation by hand: layer 1 has the slow engine only.
func TestRateOfKnownPlacement(t *testing.T) {
	models := []place.Model{{Name: "m", Version: "1", Depth: 2, Demand: 1}}
	hold := func(from, to int) []domain.LoadedRange {
		return []domain.LoadedRange{{Model: "m", Version: "1", Depth: 2, Layers: spec.NewLayers(from, to)}}
	}
	engines := []*domain.Engine{
		{ID: "a", LayerTime: time.Millisecond, Slots: 3, LayerCapacity: 1, Loaded: hold(0, 1)},
		{ID: "b", LayerTime: time.Millisecond, Slots: 1, LayerCapacity: 2, Loaded: hold(0, 2)},
		{ID: "c", LayerTime: time.Millisecond, Slots: 2, LayerCapacity: 1, Loaded: hold(0, 1)},
	}
	r := place.Evaluate(engines, models)
	if r.Rate < 999 || r.Rate > 1001 {
		t.Errorf("got %g tokens a second, want 1000", r.Rate)
	}
	if r.Bound < 2999 || r.Bound > 3001 {
		t.Errorf("got bound %g, want 3000: a runs one layer, b and c the other", r.Bound)
	}
}

// A caller's chain stays whole while the placement changes: engines die, come
// back empty and ignore orders while weights load. No order may leave a layer
// without a holder that had one; only a death may.
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
				t.Fatalf("got layer %s without a holder by an order, want one", s.lostLayer)
			}
		}
	})
}

// The same world gives the same orders.
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

// Callers of Coral Coast see no break when an engine dies at night: each layer
// has a second holder already, and the planner finds a third for those that
// lost one.
func TestRecoveryKeepsTwoHolders(t *testing.T) {
	st := deployments()[1]
	engines := st.engines()
	setLoaded(engines, place.Plan(st.goal, engines, st.models).Placement)
	s := newSim(st.goal, 20, engines)
	s.run(20 * time.Second)
	for i := range s.engines {
		s.kill(i)
		if got := s.evaluate(st.models).Rate; got <= 0 {
			t.Fatalf("got no whole chain after the death of %s, want one", s.engines[i].row.ID)
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

// Callers wait in long queues: the death of a fast engine left one layer to a
// slow one. So much is lost that the planner does not wait for things to
// settle, although no layer is without a holder.
func TestLargeLossSkipsSettleTime(t *testing.T) {
	st := deployments()[3]
	engines := st.engines()
	setLoaded(engines, place.Plan(st.goal, engines, st.models).Placement)
	s := newSim(st.goal, 20, engines)
	s.run(20 * time.Second)
	s.kill(0)
	if got := s.evaluate(st.models); got.Rate == 0 || got.Rate > 0.3*got.Bound {
		t.Fatalf("got rate %g of %g after the death, want some, and little", got.Rate, got.Bound)
	}
	s.run(5 * time.Second)
	if s.moves == 0 {
		t.Error("got no order within 5 s, want one: settling takes 10 s")
	}
}

// The operator sees no weights load back and forth. An engine that dies and
// returns every few seconds, with its weights, takes no layer's last holder
// away; nothing is worth a load.
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

// Callers see most of the speed while a plan is carried out, although nobody
// said how fast the weight store is: a tenth of the engines loads at once.
func TestConcurrentLoadsAreLimited(t *testing.T) {
	st := deployments()[3]
	engines := st.engines()
	setLoaded(engines, place.EvenSplit(engines, st.models))
	s := newSim(st.goal, 1, engines)
	s.planner.LoadRate = 0
	most := 0
	for range 120 {
		s.run(time.Second)
		most = max(most, s.planner.Status().Loading)
	}
	if want := len(engines) / 10; most != want {
		t.Errorf("got up to %d engines loading at once, want %d", most, want)
	}
}

// The instance lost the duty in the midst of a plan: it must order nothing
// more, for the next holder orders now.
func TestNoOrdersWithoutDuty(t *testing.T) {
	st := deployments()[0]
	engines := st.engines()
	setLoaded(engines, place.EvenSplit(engines, st.models))
	s := newSim(st.goal, 1, engines)
	s.run(20 * time.Second)
	if s.moves == 0 {
		t.Fatal("got no order while the duty was held, want some")
	}
	before := s.moves
	s.w.Apply(domain.Duties{})
	s.run(2 * time.Minute)
	if s.moves != before {
		t.Errorf("got %d orders after the duty was lost, want 0", s.moves-before)
	}
}

// A new version is wanted while callers use the old one. The old one stays
// whole until all layers of the new one are served, and then goes.
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
