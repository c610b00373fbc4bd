package place_test

import (
	"fmt"
	"testing"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
	"fulmarwick/internal/route/place"
)

// kind is a type of accelerator.
type kind struct {
	name   string
	count  int
	layer  time.Duration
	slots  int
	memory int
	link   int64
	hop    time.Duration
}

// deployment is a set of engines and models to plan for.
type deployment struct {
	name   string
	goal   place.Goal
	kinds  []kind
	models []place.Model
}

// fiveKinds returns five types of accelerators whose link bandwidths differ by
// a factor of a hundred.
func fiveKinds(times int) []kind {
	return []kind{
		{"h200", 6 * times, 20 * time.Microsecond, 32, 40, 10 << 30, 20 * time.Microsecond},
		{"a100", 10 * times, 35 * time.Microsecond, 24, 24, 5 << 30, 50 * time.Microsecond},
		{"l40s", 14 * times, 60 * time.Microsecond, 16, 16, 1 << 30, 200 * time.Microsecond},
		{"a10", 18 * times, 110 * time.Microsecond, 8, 10, 500 << 20, 500 * time.Microsecond},
		{"t4", 12 * times, 250 * time.Microsecond, 4, 6, 100 << 20, 2 * time.Millisecond},
	}
}

func singleModel() []place.Model {
	return []place.Model{{Name: "levy-70b", Version: "1", Depth: 80, Width: 16 << 10, Demand: 1}}
}

func deployments() []deployment {
	small := []kind{
		{"l40s", 8, 60 * time.Microsecond, 16, 16, 1 << 30, 100 * time.Microsecond},
		{"a10", 12, 110 * time.Microsecond, 8, 10, 500 << 20, 200 * time.Microsecond},
		{"t4", 10, 250 * time.Microsecond, 4, 6, 100 << 20, time.Millisecond},
	}
	medium := []place.Model{{Name: "levy-13b", Version: "1", Depth: 40, Width: 10 << 10, Demand: 1}}
	// The memory is hardly more than two times what the model's layers need.
	scarce := []kind{
		{"l40s", 8, 60 * time.Microsecond, 16, 5, 1 << 30, 100 * time.Microsecond},
		{"a10", 12, 110 * time.Microsecond, 8, 3, 500 << 20, 200 * time.Microsecond},
		{"t4", 10, 250 * time.Microsecond, 4, 2, 100 << 20, time.Millisecond},
	}
	var several []place.Model
	for i, d := range []float64{0.4, 0.25, 0.2, 0.1, 0.05} {
		several = append(several, place.Model{
			Name: spec.ModelName(fmt.Sprint("m", i)), Version: "1", Depth: 40 + 10*i, Width: 8 << 10, Demand: d,
		})
	}
	return []deployment{
		{"association", place.Throughput, small, medium},
		{"coral", place.Recovery, small, medium},
		{"scarce-throughput", place.Throughput, scarce, medium},
		{"scarce-recovery", place.Recovery, scarce, medium},
		{"sixty", place.Throughput, fiveKinds(1), singleModel()},
		{"sixhundred", place.Throughput, fiveKinds(10), singleModel()},
		{"sixhundred-5models", place.Throughput, fiveKinds(10), several},
	}
}

func (s deployment) engines() []*domain.Engine {
	var out []*domain.Engine
	for _, k := range s.kinds {
		for i := range k.count {
			out = append(out, &domain.Engine{
				ID: spec.UpstreamID(fmt.Sprintf("%s-%03d", k.name, i)), Kind: k.name, LayerTime: k.layer,
				Slots: k.slots, LayerCapacity: k.memory, Bandwidth: k.link, ReportedHopTime: k.hop,
			})
		}
	}
	return out
}

func setLoaded(engines []*domain.Engine, ranges [][]domain.LoadedRange) {
	for i, e := range engines {
		e.Loaded = ranges[i]
	}
}

// BenchmarkPlan plans from scratch. It reports the rate, the rate relative to
// the bound, that of the even split relative to the bound, and the number of
// loaded layers.
func BenchmarkPlan(b *testing.B) {
	for _, s := range deployments() {
		b.Run(s.name, func(b *testing.B) {
			engines := s.engines()
			var r place.Result
			for b.Loop() {
				r = place.Plan(s.goal, engines, s.models)
			}
			setLoaded(engines, place.EvenSplit(engines, s.models))
			even := place.Evaluate(engines, s.models)
			b.ReportMetric(r.Rate, "tokens/s")
			b.ReportMetric(r.Rate/r.Bound, "of-bound")
			b.ReportMetric(even.Rate/even.Bound, "even-of-bound")
			b.ReportMetric(float64(r.LoadedLayers), "layers-loaded")
		})
	}
}

// disruption is an event that requires a new plan.
type disruption struct {
	name  string
	apply func(s *sim, second int)
	// startsEven starts the simulation from the even split.
	startsEven bool
}

func disruptions() []disruption {
	return []disruption{
		{name: "weakest", apply: func(s *sim, second int) {
			if second == 0 {
				s.kill(len(s.engines) - 1)
			}
		}},
		{name: "even", apply: func(*sim, int) {}, startsEven: true},
		{name: "death", apply: func(s *sim, second int) {
			if second == 0 {
				s.kill(0)
			}
		}},
		{name: "deaths", apply: func(s *sim, second int) {
			if second == 0 {
				s.kill(0)
				s.kill(1)
			}
		}},
		{name: "link", apply: func(s *sim, _ int) {
			s.w.Apply(domain.HopMeasured{Engine: s.engines[0].row.ID, P50: 100 * time.Millisecond, P99: time.Second, Count: 100})
		}},
		{name: "join", apply: func(s *sim, second int) {
			if second == 0 {
				row := s.engines[0].row
				row.ID, row.Loaded = "joined", nil
				s.engines = append(s.engines, &simEngine{row: row, loaded: true})
			}
		}},
	}
}

// BenchmarkReplan starts from the even split, or applies a disruption to a
// planned placement: engines die, a link degrades, or an engine joins. It
// reports the lowest rate relative to the bound in the following half minute,
// the rate after all moves, the number of moves and loaded layers, the time
// until the last move is done, and the longest run of the planner.
func BenchmarkReplan(b *testing.B) {
	for _, st := range deployments() {
		planned := place.Plan(st.goal, st.engines(), st.models).Placement
		for _, c := range disruptions() {
			b.Run(st.name+"/"+c.name, func(b *testing.B) {
				var s *sim
				var lowest float64
				var after place.Result
				for b.Loop() {
					engines := st.engines()
					setLoaded(engines, planned)
					s = newSim(st.goal, float64(len(engines)), engines)
					s.planner.Models = st.models
					if c.startsEven {
						setLoaded(engines, place.EvenSplit(engines, st.models))
						for i, e := range s.engines {
							e.row.Loaded = engines[i].Loaded
						}
					} else {
						s.run(20 * time.Second)
					}
					s.moves, s.loadedLayers, s.longestRun = 0, 0, 0
					start := s.now
					lowest = 1
					for second := range 180 {
						c.apply(s, second)
						if second < 30 && second > 0 || second == 0 && !c.startsEven {
							now := s.evaluate(st.models)
							lowest = min(lowest, now.Rate/now.Bound)
						}
						s.run(time.Second)
					}
					after = s.evaluate(st.models)
					s.lastReadyAt -= start
				}
				if c.name == "death" {
					engines := st.engines()
					setLoaded(engines, place.EvenSplit(engines, st.models))
					even := place.Evaluate(engines[1:], st.models)
					b.ReportMetric(even.Rate/even.Bound, "even-of-bound")
				}
				b.ReportMetric(lowest, "least-of-bound")
				b.ReportMetric(after.Rate/after.Bound, "after-of-bound")
				b.ReportMetric(float64(s.moves), "moves")
				b.ReportMetric(float64(s.loadedLayers), "layers-loaded")
				b.ReportMetric(max(0, s.lastReadyAt.Seconds()), "done-s")
				b.ReportMetric(float64(s.longestRun.Microseconds())/1000, "longest-run-ms")
			})
		}
	}
}
