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

// herdSim is many instances that read the same late reports and hear nothing of
// each other.
type herdSim struct {
	worlds       []*domain.RoutingState
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
	requestSteps    = 50 // steps that a request takes
	reportSteps     = 50 // steps between reports
	meanUtilization = 0.7
	engineSlots     = 8
)

func newHerdSim(instances, engines int, chooser func(i int) pick.Chooser) *herdSim {
	c := &herdSim{inFlight: map[spec.UpstreamID]int{}, completions: map[int][]completion{}}
	for i := range engines {
		c.engines = append(c.engines, newEngine(fmt.Sprintf("e%04d", i), 0, 8))
	}
	for i := range instances {
		w := &domain.RoutingState{}
		w.BeginTick(0)
		w.Apply(domain.ConfigChanged{Version: 1, Classes: []spec.Class{spec.NewModelClass("c", model, spec.Target{})}})
		c.worlds = append(c.worlds, w)
		c.choosers = append(c.choosers, chooser(i))
	}
	return c
}

// run simulates steps and returns the 99th percentile of the use of engines
// and the part of requests that wait for a slot.
func (c *herdSim) run(steps int) (p99, waiting float64) {
	r := rand.New(rand.NewPCG(5, 5))
	perStep := meanUtilization * engineSlots * float64(len(c.engines)) / requestSteps
	owed := 0.0
	for n := range steps {
		for _, e := range c.completions[n] {
			c.inFlight[e.engine]--
			c.worlds[e.instance].Apply(domain.RequestFinished{Request: e.request, OK: true})
		}
		delete(c.completions, n)
		if n%reportSteps == 0 {
			c.report(n)
		}
		for owed += perStep; owed >= 1; owed-- {
			c.send(n, r.IntN(len(c.worlds)))
		}
		if n > 2*reportSteps {
			for _, e := range c.engines {
				c.utilizations = append(c.utilizations, float64(c.inFlight[e.ID])/engineSlots)
				c.totalWaiting += max(0, c.inFlight[e.ID]-engineSlots)
				c.totalRunning += c.inFlight[e.ID]
			}
		}
	}
	sort.Float64s(c.utilizations)
	return c.utilizations[len(c.utilizations)*99/100], float64(c.totalWaiting) / float64(c.totalRunning)
}

func (c *herdSim) report(n int) {
	for i := range c.engines {
		e := &c.engines[i]
		e.Seq++
		e.Active = min(c.inFlight[e.ID], engineSlots)
		e.Queued = c.inFlight[e.ID] - e.Active
		for _, w := range c.worlds {
			w.BeginTick(time.Duration(n) * stepTime)
			w.Apply(domain.EngineReport{Engine: *e})
		}
	}
}

func (c *herdSim) send(n, on int) {
	w := c.worlds[on]
	w.BeginTick(time.Duration(n) * stepTime)
	c.lastID++
	id := spec.RequestID(fmt.Sprint(c.lastID))
	w.Apply(domain.RequestArrived{Request: id, Class: "c", Model: model, PromptTokens: 32, MaxTokens: 100})
	for _, r := range w.Requests().TakeDue() {
		choice, ok := c.choosers[on].Choose(w, r, pick.Query{MaxUtilization: 1, RemainingTokens: 100})
		if !ok {
			continue
		}
		w.Start(r, choice.Plan, 0, 0, 0)
		engine := choice.Plan.Chain[0].Engine()
		c.inFlight[engine]++
		c.completions[n+requestSteps] = append(c.completions[n+requestSteps], completion{instance: on, request: id, engine: engine})
	}
}

func newPicker(tries int) func(i int) pick.Chooser {
	return func(i int) pick.Chooser {
		return &pick.Picker{Rand: rand.New(rand.NewPCG(uint64(i), 9)), Samples: tries}
	}
}

func newLeastLoaded(int) pick.Chooser { return pick.LeastLoaded{} }

// Instances that all read the same report of a second ago must not all send to
// the engine that looked best in it: callers there would wait behind each
// other while other engines idle.
func TestInstancesDoNotHerd(t *testing.T) {
	for _, size := range []struct{ instances, engines int }{{4, 30}, {90, 150}} {
		_, got := newHerdSim(size.instances, size.engines, newPicker(0)).run(300)
		_, naive := newHerdSim(size.instances, size.engines, newLeastLoaded).run(300)
		if got > 0.1 || got > naive/5 {
			t.Errorf("%d instances: got %.3f of the requests waiting, want at most 0.1 and a fifth of the naive %.3f", size.instances, got, naive)
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
