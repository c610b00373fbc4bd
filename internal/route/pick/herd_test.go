package pick_test

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
	"fulmarwick/internal/route/pick"
)

const model = "m"

func newEngine(id string, from, to int) domain.Engine {
	return domain.Engine{
		ID: spec.UpstreamID(id), LayerTime: time.Millisecond, Slots: 8, ReportedHopTime: time.Millisecond, Seq: 1,
		Loaded: []domain.LoadedRange{{Model: model, Version: "1", Depth: 8, Layers: spec.NewLayers(from, to)}},
	}
}

// herdSim simulates many instances that read the same delayed reports and get
// no information from each other.
type herdSim struct {
	states       []*domain.RoutingState
	choosers     []pick.Chooser
	engines      []domain.Engine
	inFlight     map[spec.UpstreamID]int
	completions  map[int][]completion
	lastID       int
	utilizations []float64
	totalWaiting int
	totalRunning int
}

type completion struct {
	instance int
	request  spec.RequestID
	engine   spec.UpstreamID
}

const (
	stepTime        = 20 * time.Millisecond
	requestSteps    = 50 // number of steps that a request takes
	reportSteps     = 50 // number of steps between reports
	meanUtilization = 0.7
	engineSlots     = 8
)

func newHerdSim(instances, engines int, chooser func(i int) pick.Chooser) *herdSim {
	s := &herdSim{inFlight: map[spec.UpstreamID]int{}, completions: map[int][]completion{}}
	for i := range engines {
		s.engines = append(s.engines, newEngine(fmt.Sprintf("e%04d", i), 0, 8))
	}
	for i := range instances {
		w := &domain.RoutingState{}
		w.BeginTick(0)
		w.Apply(domain.ConfigChanged{Version: 1, Classes: []spec.Class{spec.NewModelClass("c", model, spec.Target{})}})
		s.states = append(s.states, w)
		s.choosers = append(s.choosers, chooser(i))
	}
	return s
}

// run simulates the steps. It returns the 99th percentile of the engines'
// utilization and the share of requests that wait for a slot.
func (s *herdSim) run(steps int) (p99, waiting float64) {
	r := rand.New(rand.NewPCG(5, 5))
	perStep := meanUtilization * engineSlots * float64(len(s.engines)) / requestSteps
	due := 0.0
	for n := range steps {
		for _, e := range s.completions[n] {
			s.inFlight[e.engine]--
			s.states[e.instance].Apply(domain.RequestFinished{Request: e.request, OK: true})
		}
		delete(s.completions, n)
		if n%reportSteps == 0 {
			s.report(n)
		}
		for due += perStep; due >= 1; due-- {
			s.send(n, r.IntN(len(s.states)))
		}
		if n > 2*reportSteps {
			for _, e := range s.engines {
				s.utilizations = append(s.utilizations, float64(s.inFlight[e.ID])/engineSlots)
				s.totalWaiting += max(0, s.inFlight[e.ID]-engineSlots)
				s.totalRunning += s.inFlight[e.ID]
			}
		}
	}
	sort.Float64s(s.utilizations)
	return s.utilizations[len(s.utilizations)*99/100], float64(s.totalWaiting) / float64(s.totalRunning)
}

func (s *herdSim) report(n int) {
	for i := range s.engines {
		e := &s.engines[i]
		e.Seq++
		e.Active = min(s.inFlight[e.ID], engineSlots)
		e.Queued = s.inFlight[e.ID] - e.Active
		for _, w := range s.states {
			w.BeginTick(time.Duration(n) * stepTime)
			w.Apply(domain.EngineReport{Engine: *e})
		}
	}
}

func (s *herdSim) send(n, instance int) {
	w := s.states[instance]
	w.BeginTick(time.Duration(n) * stepTime)
	s.lastID++
	id := spec.RequestID(fmt.Sprint(s.lastID))
	w.Apply(domain.RequestArrived{Request: id, Class: "c", Model: model, PromptTokens: 32, MaxTokens: 100})
	for _, r := range w.Requests().TakeDue() {
		choice, ok := s.choosers[instance].Choose(w, r, pick.Query{MaxUtilization: 1, RemainingTokens: 100})
		if !ok {
			continue
		}
		w.Start(r, choice.Plan, 0, 0, 0)
		engine := choice.Plan.Chain[0].Engine()
		s.inFlight[engine]++
		s.completions[n+requestSteps] = append(s.completions[n+requestSteps], completion{instance: instance, request: id, engine: engine})
	}
}

func newPicker(samples int) func(i int) pick.Chooser {
	return func(i int) pick.Chooser {
		return &pick.Picker{Rand: rand.New(rand.NewPCG(uint64(i), 9)), Samples: samples}
	}
}

func newLeastLoaded(int) pick.Chooser { return pick.LeastLoaded{} }

// Guards against herding: instances that read the same report, up to a second
// old, all send to the engine that looked best in it. Requests would wait there
// while other engines are idle.
func TestInstancesDoNotHerd(t *testing.T) {
	for _, size := range []struct{ instances, engines int }{{4, 30}, {90, 150}} {
		_, got := newHerdSim(size.instances, size.engines, newPicker(0)).run(300)
		_, naive := newHerdSim(size.instances, size.engines, newLeastLoaded).run(300)
		if got > 0.1 || got > naive/5 {
			t.Errorf("%d instances: got %.3f of the requests waiting, want at most 0.1 and a fifth of the %.3f of LeastLoaded", size.instances, got, naive)
		}
	}
}

func BenchmarkHerd(b *testing.B) {
	choosers := []struct {
		name string
		make func(i int) pick.Chooser
	}{
		{"tries=1", newPicker(1)},
		{"tries=2", newPicker(2)},
		{"tries=3", newPicker(3)},
		{"tries=5", newPicker(5)},
		{"tries=all", newPicker(1 << 20)},
		{"roundrobin", func(int) pick.Chooser { return &pick.RoundRobin{} }},
		{"least", newLeastLoaded},
	}
	for _, size := range []struct{ instances, engines int }{{4, 30}, {360, 600}} {
		for _, c := range choosers {
			b.Run(fmt.Sprintf("%d/%s", size.instances, c.name), func(b *testing.B) {
				for range b.N {
					p99, waiting := newHerdSim(size.instances, size.engines, c.make).run(400)
					b.ReportMetric(p99, "p99-use")
					b.ReportMetric(100*waiting, "%waiting")
				}
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}
