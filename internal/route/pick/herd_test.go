package pick_test

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/pick"
	"fulmarwick/internal/route/world"
)

const model = "m"

func engine(id string, from, to int) world.Engine {
	return world.Engine{
		ID: spec.UpstreamID(id), Layer: time.Millisecond, Slots: 8, Hop: time.Millisecond, Seq: 1,
		Holds: []world.Hold{{Model: model, Version: "1", Depth: 8, Layers: spec.NewLayers(from, to)}},
	}
}

// crowd is many instances that read the same late reports and hear nothing of
// each other.
type crowd struct {
	worlds   []*world.World
	choosers []pick.Chooser
	engines  []world.Engine
	flight   map[spec.UpstreamID]int
	ends     map[int][]ending
	ids      int
	seen     []float64
	waits    int
	all      int
}

type ending struct {
	on      int
	request spec.RequestID
	engine  spec.UpstreamID
}

const (
	step     = 20 * time.Millisecond
	stay     = 50 // steps that a request takes
	late     = 50 // steps between reports
	headUse  = 0.7
	inflight = 8
)

func newCrowd(instances, engines int, chooser func(i int) pick.Chooser) *crowd {
	c := &crowd{flight: map[spec.UpstreamID]int{}, ends: map[int][]ending{}}
	for i := range engines {
		c.engines = append(c.engines, engine(fmt.Sprintf("e%04d", i), 0, 8))
	}
	for i := range instances {
		w := &world.World{}
		w.Begin(0)
		w.Apply(world.ConfigSet{Version: 1, Classes: []spec.Class{spec.NewModelClass("c", model, spec.Target{})}})
		c.worlds = append(c.worlds, w)
		c.choosers = append(c.choosers, chooser(i))
	}
	return c
}

// run simulates steps and returns the 99th percentile of the use of engines
// and the part of requests that wait for a slot.
func (c *crowd) run(steps int) (p99, waiting float64) {
	r := rand.New(rand.NewPCG(5, 5))
	perStep := headUse * inflight * float64(len(c.engines)) / stay
	owed := 0.0
	for n := range steps {
		for _, e := range c.ends[n] {
			c.flight[e.engine]--
			c.worlds[e.on].Apply(world.Finished{Request: e.request, OK: true})
		}
		delete(c.ends, n)
		if n%late == 0 {
			c.report(n)
		}
		for owed += perStep; owed >= 1; owed-- {
			c.send(n, r.IntN(len(c.worlds)))
		}
		if n > 2*late {
			for _, e := range c.engines {
				c.seen = append(c.seen, float64(c.flight[e.ID])/inflight)
				c.waits += max(0, c.flight[e.ID]-inflight)
				c.all += c.flight[e.ID]
			}
		}
	}
	sort.Float64s(c.seen)
	return c.seen[len(c.seen)*99/100], float64(c.waits) / float64(c.all)
}

func (c *crowd) report(n int) {
	for i := range c.engines {
		e := &c.engines[i]
		e.Seq++
		e.Active = min(c.flight[e.ID], inflight)
		e.Queued = c.flight[e.ID] - e.Active
		for _, w := range c.worlds {
			w.Begin(time.Duration(n) * step)
			w.Apply(world.EngineSeen{Engine: *e})
		}
	}
}

func (c *crowd) send(n, on int) {
	w := c.worlds[on]
	w.Begin(time.Duration(n) * step)
	c.ids++
	id := spec.RequestID(fmt.Sprint(c.ids))
	w.Apply(world.Arrived{Request: id, Class: "c", Model: model, Prompt: 32, Limit: 100})
	for _, r := range w.Requests().Due() {
		choice, ok := c.choosers[on].Choose(w, r, pick.Ask{Limit: 1, Out: 100})
		if !ok {
			continue
		}
		w.Start(r, choice.Plan, 0, 0, 0)
		engine := choice.Plan.Chain[0].Engine()
		c.flight[engine]++
		c.ends[n+stay] = append(c.ends[n+stay], ending{on: on, request: id, engine: engine})
	}
}

func picker(tries int) func(i int) pick.Chooser {
	return func(i int) pick.Chooser {
		return &pick.Picker{Rand: rand.New(rand.NewPCG(uint64(i), 9)), Tries: tries}
	}
}

func least(int) pick.Chooser { return pick.Least{} }

// Instances that all read the same report of a second ago must not all send to
// the engine that looked best in it: callers there would wait behind each
// other while other engines idle.
func TestNoHerd(t *testing.T) {
	for _, size := range []struct{ instances, engines int }{{4, 30}, {90, 150}} {
		_, got := newCrowd(size.instances, size.engines, picker(0)).run(300)
		_, naive := newCrowd(size.instances, size.engines, least).run(300)
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
		{"tries=1", picker(1)},
		{"tries=2", picker(2)},
		{"tries=3", picker(3)},
		{"tries=5", picker(5)},
		{"tries=all", picker(1 << 20)},
		{"roundrobin", func(int) pick.Chooser { return &pick.RoundRobin{} }},
		{"least", least},
	}
	for _, size := range []struct{ instances, engines int }{{4, 30}, {360, 600}} {
		for _, c := range choosers {
			b.Run(fmt.Sprintf("%d/%s", size.instances, c.name), func(b *testing.B) {
				for range b.N {
					p99, waiting := newCrowd(size.instances, size.engines, c.make).run(400)
					b.ReportMetric(p99, "p99-use")
					b.ReportMetric(100*waiting, "%waiting")
				}
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}
