package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/core"
	"fulmarwick/internal/route/domain"
)

const (
	tickInterval   = 20 * time.Millisecond
	wakeDelay      = 100 * time.Microsecond
	reportInterval = 200 * time.Millisecond
	reportLag      = 150 * time.Millisecond
	peerLag        = 100 * time.Millisecond
	usageDelay     = time.Second
	cacheInterval  = 500 * time.Millisecond
	// deadAfter is how long all reports in a row must fail before an engine
	// that crashed or hangs is declared dead.
	deadAfter = 2 * time.Second
	// cacheLoss is the fraction of cache reports that is lost. resyncDelay is
	// the time until the full content is sent instead.
	cacheLoss   = 0.05
	resyncDelay = 2 * time.Second
)

// Simulation runs a deployment in virtual time. Set the exported fields before
// Run.
type Simulation struct {
	Layout Layout
	Load   Load
	// Logic returns the routing logic of instance i. If it is nil, instances
	// use core.Logic with the settings of production.
	Logic func(i int) *core.Logic
	// Instances is the number of router instances; zero means 4.
	Instances int
	Seed      uint64
	// Length is the simulated time. Warm is the warm-up at its start, which is
	// excluded from the results.
	Length time.Duration
	Warm   time.Duration
	// Hedge is the time without a first token after which a second run of the
	// request starts; the slower run is canceled at the first token. Zero
	// disables hedging.
	Hedge time.Duration
	// Faults are applied at their times.
	Faults []Fault

	clock clock
	// rand is the random source for callers and noise the one for everything
	// else, so that a seed yields the same requests under every policy.
	rand      *rand.Rand
	noise     *rand.Rand
	engines   []*engine
	byID      map[spec.UpstreamID]*engine
	instances []*instance
	runs      []*run
	open      map[*run]bool
	crashes   int
	timeouts  int
	hedges    int
	teamRates map[spec.TeamID]map[spec.InstanceID]float64
}

// Fault is an event that affects engines, such as a crash. Apply is called at
// time At.
type Fault struct {
	At    time.Duration
	Apply func(s *Simulation)
}

// shareTeamUsage records the request rate of a team at one instance and sends
// the sum over all instances to all of them.
func (s *Simulation) shareTeamUsage(usage domain.LocalTeamUsage, from spec.InstanceID) {
	if s.teamRates[usage.Team] == nil {
		s.teamRates[usage.Team] = map[spec.InstanceID]float64{}
	}
	s.teamRates[usage.Team][from] = usage.Rate
	sum := 0.0
	for _, i := range s.instances {
		sum += s.teamRates[usage.Team][i.id]
	}
	s.clock.after(usageDelay, func() {
		for _, i := range s.instances {
			i.post(domain.TeamUsage{Team: usage.Team, Rate: sum})
		}
	})
}

func (s *Simulation) engine(id spec.UpstreamID) *engine { return s.byID[id] }

// Run simulates the deployment for Length and returns the results.
func (s *Simulation) Run() Result {
	s.build()
	for _, f := range s.Faults {
		s.clock.after(f.At, func() { f.Apply(s) })
	}
	s.Load.scheduleArrivals(s)
	s.clock.runUntil(s.Length)
	return s.result()
}

func (s *Simulation) build() {
	s.rand = rand.New(rand.NewPCG(s.Seed, 1))
	s.noise = rand.New(rand.NewPCG(s.Seed, 2))
	s.byID = map[spec.UpstreamID]*engine{}
	s.teamRates = map[spec.TeamID]map[spec.InstanceID]float64{}
	s.open = map[*run]bool{}
	for _, info := range s.Layout.Engines {
		e := &engine{sim: s, info: info, hopTime: info.ReportedHopTime, cache: newPrefixCache(s.Layout.Blocks)}
		s.engines = append(s.engines, e)
		s.byID[info.ID] = e
	}
	if s.Instances == 0 {
		s.Instances = 4
	}
	for n := range s.Instances {
		s.addInstance(n)
	}
	for _, e := range s.engines {
		s.startReports(e)
	}
}

func (s *Simulation) addInstance(n int) {
	id := spec.InstanceID(fmt.Sprintf("entry-%d", n))
	logic := &core.Logic{}
	if s.Logic != nil {
		logic = s.Logic(n)
	}
	logic.ID = id
	logic.Seed = s.Seed*1000 + uint64(n)
	i := &instance{sim: s, id: id, logic: logic, requests: map[spec.RequestID]*run{}}
	s.instances = append(s.instances, i)
	i.post(domain.ConfigChanged{Version: 1, Classes: s.Load.classes(), Teams: s.Load.teams()})
	s.clock.every(tickInterval, func() bool {
		i.tick()
		return true
	})
}

// startReports announces an engine to all instances at once and then schedules
// its periodic reports and cache reports, which stop while it is dead.
func (s *Simulation) startReports(e *engine) {
	s.broadcast(domain.EngineReport{Engine: e.report()})
	phase := time.Duration(s.noise.Int64N(int64(reportInterval)))
	var deadFor time.Duration
	s.clock.after(phase, func() {
		s.clock.every(reportInterval, func() bool {
			deadFor = s.reportEngine(e, deadFor)
			return true
		})
	})
	s.clock.every(cacheInterval, func() bool {
		s.reportCache(e)
		return true
	})
}

// reportEngine sends a report of an engine to all instances after reportLag.
// For an engine that is dead it sends EngineDead once deadAfter has passed.
// It returns how long the engine has been dead.
func (s *Simulation) reportEngine(e *engine, deadFor time.Duration) time.Duration {
	if e.dead {
		if deadFor < deadAfter && deadFor+reportInterval >= deadAfter {
			s.broadcast(domain.EngineDead{Engine: e.info.ID})
		}
		return deadFor + reportInterval
	}
	ev := domain.EngineReport{Engine: e.report()}
	s.clock.after(reportLag, func() { s.broadcast(ev) })
	if e.hopTime != e.info.ReportedHopTime {
		s.broadcast(domain.HopMeasured{Engine: e.info.ID, P50: e.hopTime, P99: e.hopTime, Count: 1})
	}
	return 0
}

// reportCache sends the changes of an engine's prefix cache to all instances.
// A share of the reports is lost and replaced by the full content later.
func (s *Simulation) reportCache(e *engine) {
	if e.dead || (len(e.cache.added) == 0 && len(e.cache.removed) == 0) {
		return
	}
	ev := e.cache.report(e, false)
	if s.noise.Float64() < cacheLoss {
		s.clock.after(resyncDelay, func() {
			full := e.cache.report(e, true)
			s.broadcast(full)
		})
		return
	}
	s.clock.after(reportLag, func() { s.broadcast(ev) })
}

// announceLeaving sends EngineLeaving to all instances.
func (s *Simulation) announceLeaving(e *engine) {
	s.clock.after(peerLag, func() { s.broadcast(domain.EngineLeaving{Engine: e.info.ID}) })
}

func (s *Simulation) broadcast(ev domain.Event) {
	for _, i := range s.instances {
		i.post(ev)
	}
}

// engineCrashed marks all runs with a stage on a crashed engine as affected. A
// run that waits for a step on it loses the stage after a millisecond, unless
// the engine hangs with its connections open.
func (s *Simulation) engineCrashed(e *engine) {
	for _, r := range s.runs {
		if r.outcome != OutcomeOpen {
			continue
		}
		for _, st := range r.stages {
			if st.engine != e {
				continue
			}
			s.markFault(r)
			if !e.hung && r.step != nil && r.step.stage == st && st.opened && !r.awaitingStart {
				s.clock.after(time.Millisecond, func() { r.loseStage(st, domain.CauseBroken) })
			}
		}
	}
}

// markFault records the time of the first fault that affects a run.
func (s *Simulation) markFault(r *run) {
	if r.faultAt == 0 {
		r.faultAt = s.clock.now
	}
}

func (s *Simulation) removeRequest(r *run) {
	delete(r.instance.requests, r.arrival.Request)
}
