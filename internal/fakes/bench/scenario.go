package bench

import (
	"math/rand/v2"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/core"
	"fulmarwick/internal/route/pick"
)

// Scenario is a deployment with its typical load.
type Scenario struct {
	Name   string
	Layout Layout
	Load   Load
}

// Scenarios returns the deployments that the benchmarks measure.
func Scenarios() []Scenario {
	return []Scenario{
		{"association", Association(), Load{
			Sizes: sizes(10, 3, 6), Prompt: 512, Output: 64, Burst: 3,
			Target: spec.NewTarget(5*time.Second, 200*time.Millisecond, 0, 95),
		}},
		{"coast", Coast(), Load{
			Sizes: sizes(10, 3, 6), Prompt: 256, Output: 48, Burst: 3,
			Target: spec.NewTarget(4*time.Second, 0, 20*time.Second, 95),
		}},
		{"centre", Centre(), Load{
			Sizes: sizes(200, 10, 10), Prompt: 256, Output: 64, Burst: 3,
			Target: spec.NewTarget(5*time.Second, 400*time.Millisecond, 0, 95),
		}},
	}
}

// sizes returns the relative sizes of n teams. The first large ones have the
// size factor, the others 1.
func sizes(n, large int, factor float64) []float64 {
	out := make([]float64, n)
	for i := range out {
		out[i] = 1
		if i < large {
			out[i] = factor
		}
	}
	return out
}

// Policy is a named routing policy. Logic returns the routing logic of instance
// i.
type Policy struct {
	Name  string
	Logic func(i int) *core.Logic
}

// Policies returns the production routing logic and naive baselines.
func Policies() []Policy {
	return []Policy{
		{"served", func(int) *core.Logic { return &core.Logic{} }},
		{"roundrobin", func(int) *core.Logic { return &core.Logic{AdmitAll: true, Chooser: &pick.RoundRobin{}} }},
		{"least", func(int) *core.Logic { return &core.Logic{AdmitAll: true, Chooser: pick.LeastLoaded{}} }},
	}
}

// Rand returns a random source with the given seed.
func Rand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 3)) }

// NewSimulation returns a simulation of the scenario with a policy. The offered
// load is loadFactor times the layout's Bound.
func (c Scenario) NewSimulation(p Policy, loadFactor float64, seed uint64) *Simulation {
	s := &Simulation{
		Layout: c.Layout, Load: c.Load, Logic: p.Logic, Seed: seed,
		Length: 90 * time.Second, Warm: 30 * time.Second,
	}
	s.Load.LoadFactor = loadFactor
	return s
}
