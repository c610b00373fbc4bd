package bench_test

import (
	"fmt"
	"testing"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fakes/bench"
	"fulmarwick/internal/route/core"
	"fulmarwick/internal/route/pick"
)

const seed = 1

// eachPolicy runs a benchmark per scenario and policy.
func eachPolicy(b *testing.B, run func(b *testing.B, c bench.Scenario, p bench.Policy)) {
	for _, c := range bench.Scenarios() {
		for _, p := range bench.Policies() {
			b.Run(c.Name+"/"+p.Name, func(b *testing.B) { run(b, c, p) })
		}
	}
}

func report(b *testing.B, r bench.Result) {
	b.ReportMetric(r.Throughput, "work/bound")
	b.ReportMetric(r.Goodput, "good/bound")
	b.ReportMetric(100*r.MetTarget, "%held")
	b.ReportMetric(100*r.AdmittedMetTarget, "%heldofadmitted")
	b.ReportMetric(0, "ns/op")
}

// Saturation offers 1.3 times the layout's Bound, overload twice the Bound.
func BenchmarkSaturation(b *testing.B) { benchmarkLoad(b, 1.3) }
func BenchmarkOverload(b *testing.B)   { benchmarkLoad(b, 2.0) }
func BenchmarkTargets70(b *testing.B)  { benchmarkLoad(b, 0.7) }
func BenchmarkTargets90(b *testing.B)  { benchmarkLoad(b, 0.9) }

// BenchmarkReach measures saturation with a target that any engine can meet
// while all its slots are in use.
func BenchmarkReach(b *testing.B) {
	eachPolicy(b, func(b *testing.B, c bench.Scenario, p bench.Policy) {
		for range b.N {
			c.Load.Target = spec.NewTarget(0, 0, 60*time.Second, 95)
			s := c.NewSimulation(p, 1.3, seed)
			s.Length, s.Warm = 180*time.Second, 110*time.Second
			report(b, s.Run())
		}
	})
}

func benchmarkLoad(b *testing.B, loadFactor float64) {
	eachPolicy(b, func(b *testing.B, c bench.Scenario, p bench.Policy) {
		for range b.N {
			report(b, c.NewSimulation(p, loadFactor, seed).Run())
		}
	})
}

// BenchmarkSmallTeams has one team that offers ten times the load of each of
// nine small teams. The small teams add up to 0.45 of the bound and all teams
// to 0.95. During bursts the load is far higher.
func BenchmarkSmallTeams(b *testing.B) {
	eachPolicy(b, func(b *testing.B, c bench.Scenario, p bench.Policy) {
		for range b.N {
			s := c.NewSimulation(p, 0.95, seed)
			s.Load.Sizes = []float64{10, 1, 1, 1, 1, 1, 1, 1, 1, 1}
			r := s.Run()
			b.ReportMetric(100*r.MeanWithout(0), "%held-small")
			b.ReportMetric(100*r.Teams["team-000"], "%held-large")
			b.ReportMetric(0, "ns/op")
		}
	})
}

func BenchmarkFaults(b *testing.B) {
	const at = 50 * time.Second
	faults := []struct {
		name  string
		fault []bench.Fault
	}{
		{"death", []bench.Fault{bench.Kill(at, 4, false)}},
		{"hang", []bench.Fault{bench.Kill(at, 4, true)}},
		{"two", []bench.Fault{bench.Kill(at, 4, false), bench.Kill(at, 5, false)}},
		{"link", []bench.Fault{bench.Degrade(at, 4, 400*time.Millisecond)}},
	}
	for _, c := range bench.Scenarios() {
		for _, f := range faults {
			b.Run(c.Name+"/"+f.name, func(b *testing.B) {
				for range b.N {
					s := c.NewSimulation(bench.Policies()[0], 0.6, seed)
					s.Faults = f.fault
					r := s.Run()
					b.ReportMetric(float64(r.Affected), "hit")
					b.ReportMetric(float64(r.Lost), "lost")
					b.ReportMetric(float64(r.DetectionMax.Milliseconds()), "ms-found")
					b.ReportMetric(float64(r.Recovery50.Milliseconds()), "ms-p50")
					b.ReportMetric(float64(r.Recovery95.Milliseconds()), "ms-p95")
					b.ReportMetric(float64(r.RecoveryMax.Milliseconds()), "ms-max")
					b.ReportMetric(100*r.AdmittedMetTarget, "%heldofadmitted")
					b.ReportMetric(0, "ns/op")
				}
			})
		}
	}
}

// BenchmarkHedge compares runs without hedging to runs that start a second run
// of a request once it has waited for the 95th percentile of the time to the
// first token.
func BenchmarkHedge(b *testing.B) {
	for _, c := range bench.Scenarios() {
		for _, loadFactor := range []float64{0.5, 0.7, 0.9} {
			plain := c.NewSimulation(bench.Policies()[0], loadFactor, seed).Run()
			for _, hedge := range []time.Duration{0, plain.First95} {
				b.Run(fmt.Sprintf("%s/%.1f/after=%v", c.Name, loadFactor, hedge.Round(time.Millisecond)), func(b *testing.B) {
					for range b.N {
						s := c.NewSimulation(bench.Policies()[0], loadFactor, seed)
						s.Hedge = hedge
						r := s.Run()
						b.ReportMetric(float64(r.First95.Milliseconds()), "ms-first95")
						b.ReportMetric(float64(r.First99.Milliseconds()), "ms-first99")
						b.ReportMetric(100*r.MetTarget, "%held")
						b.ReportMetric(float64(r.Hedges), "hedges")
						b.ReportMetric(0, "ns/op")
					}
				})
			}
		}
	}
}

func BenchmarkPoison(b *testing.B) {
	for _, c := range bench.Scenarios() {
		for _, p := range bench.Policies()[:2] {
			b.Run(c.Name+"/"+p.Name, func(b *testing.B) {
				for range b.N {
					s := c.NewSimulation(p, 0.6, seed)
					s.Load.Poison = 50 * time.Second
					r := s.Run()
					b.ReportMetric(float64(r.Crashes), "engines")
					b.ReportMetric(float64(r.Lost), "lost")
					b.ReportMetric(float64(r.Affected), "hit")
					b.ReportMetric(float64(r.RecoveryMax.Milliseconds()), "ms-max")
					b.ReportMetric(0, "ns/op")
				}
			})
		}
	}
}

func BenchmarkCache(b *testing.B) {
	policies := bench.Policies()
	policies = append(policies, bench.Policy{Name: "blind", Logic: func(i int) *core.Logic {
		return &core.Logic{Chooser: &pick.Picker{Rand: bench.Rand(uint64(i))}}
	}})
	for _, c := range bench.Scenarios() {
		for _, p := range policies {
			b.Run(c.Name+"/"+p.Name, func(b *testing.B) {
				for range b.N {
					s := c.NewSimulation(p, 0.7, seed)
					// Sixty teams with long shared prefixes: four times what
					// each engine of a range can cache.
					s.Load.SharedPrefix, s.Load.Prompt, s.Load.Sizes = 0.8, 1024, make([]float64, 60)
					for i := range s.Load.Sizes {
						s.Load.Sizes[i] = 1
					}
					s.Layout.Blocks = 200
					r := s.Run()
					b.ReportMetric(100*r.CacheHits, "%hit")
					b.ReportMetric(float64(r.First50.Milliseconds()), "ms-first50")
					b.ReportMetric(float64(r.First99.Milliseconds()), "ms-first99")
					b.ReportMetric(100*r.MetTarget, "%held")
					b.ReportMetric(0, "ns/op")
				}
			})
		}
	}
}

// A poison request arrives while others run. Its caller sends it again to the
// next instance each time it ends. It must be refused permanently after it has
// crashed two engines, and all other answers must complete.
func TestPoisonCostsTwoEngines(t *testing.T) {
	for _, c := range bench.Scenarios()[:2] {
		s := c.NewSimulation(bench.Policies()[0], 0.2, seed)
		s.Load.Poison = 10 * time.Second
		s.Load.RetryDelay = 20 * time.Millisecond
		s.Length, s.Warm = 25*time.Second, time.Second
		r := s.Run()
		if r.Crashes > 2 || r.Lost > 0 || r.Affected == 0 {
			t.Errorf("%s: got %d crashed engines and %d lost answers of %d affected, want at most 2, none, and some", c.Name, r.Crashes, r.Lost, r.Affected)
		}
	}
}

// Two engines crash at the same time under load, and one of them hangs with its
// connections open. No answer may be lost: each request gets its next token
// from other engines.
func TestTwoDeathsLoseNoAnswer(t *testing.T) {
	for _, c := range bench.Scenarios()[:2] {
		s := c.NewSimulation(bench.Policies()[0], 0.2, seed)
		s.Faults = []bench.Fault{bench.Kill(10*time.Second, 0, false), bench.Kill(10*time.Second, 1, true)}
		s.Length, s.Warm = 26*time.Second, time.Second
		r := s.Run()
		if r.Lost > 0 || r.Affected == 0 {
			t.Errorf("%s: got %d lost answers of %d affected, want none of some", c.Name, r.Lost, r.Affected)
		}
	}
}

// An engine announces that it leaves. After two seconds it must receive no new
// stage from any instance, and no answer that runs on it may be lost.
func TestLeavingEngineDrains(t *testing.T) {
	c := bench.Scenarios()[0]
	s := c.NewSimulation(bench.Policies()[0], 0.2, seed)
	const at = 8 * time.Second
	s.Faults = []bench.Fault{bench.Leave(at, 0)}
	s.Length, s.Warm = 24*time.Second, time.Second
	r := s.Run()
	if last := s.LastStageAt(0); last > at+2*time.Second || last == 0 {
		t.Errorf("last new stage: got at %v, want within 2s after %v", last, at)
	}
	if r.Lost > 0 {
		t.Errorf("got %d lost answers, want none", r.Lost)
	}
}

// Two simulations with the same seed must yield the same results.
func TestSameSeedSameFigures(t *testing.T) {
	run := func() string {
		s := bench.Scenarios()[0].NewSimulation(bench.Policies()[0], 0.5, 7)
		s.Length, s.Warm = 12*time.Second, time.Second
		return fmt.Sprintf("%+v", s.Run())
	}
	if got, want := run(), run(); got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}
