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
	// deadAfter is how many reports in a row must fail before an engine that
	// hangs counts as down.
	deadAfter = 2 * time.Second
	// cacheLoss is the part of cache events that is lost, and resync the time
	// until the whole list is read again.
	cacheLoss   = 0.05
	resyncDelay = 2 * time.Second
)

// Simulation is a deployment in virtual time. Set the exported fields before Run.
type Simulation struct {
	Layout Layout
	Load   Load
	// Logic makes the logic of instance i; nil is core.Logic as it is served.
	Logic func(i int) *core.Logic
	// Instances is how many there are; zero is 4.
	Instances int
	Seed      uint64
	// Length is the virtual time simulated; Warm is left out of the figures.
	Length time.Duration
	Warm   time.Duration
	// Hedge is the time without a first token after which a request runs twice
	// until one of the runs has it; zero never.
	Hedge time.Duration
	// Faults happen at their times.
	Faults []Fault

	clock clock
	// rand draws what callers do, noise the rest, so that the same seed gives
	// the same callers under every policy.
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

// Fault is something that happens to engines.
type Fault struct {
	At    time.Duration
	Apply func(s *Simulation)
}

func (s *Simulation) shareTeamUsage(c domain.LocalTeamUsage, from spec.InstanceID) {
	if s.teamRates[c.Team] == nil {
		s.teamRates[c.Team] = map[spec.InstanceID]float64{}
	}
	s.teamRates[c.Team][from] = c.Rate
	sum := 0.0
	for _, i := range s.instances {
		sum += s.teamRates[c.Team][i.id]
	}
	s.clock.after(usageDelay, func() {
		for _, i := range s.instances {
			i.post(domain.TeamUsage{Team: c.Team, Rate: sum})
		}
	})
}

func (s *Simulation) engine(id spec.UpstreamID) *engine { return s.byID[id] }

// Run simulates the whole length and returns the figures.
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
	for _, row := range s.Layout.Engines {
		e := &engine{sim: s, info: row, hopTime: row.ReportedHopTime, cache: newPrefixCache(s.Layout.Blocks)}
		s.engines = append(s.engines, e)
		s.byID[row.ID] = e
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

// startReports reports an engine to all instances, late, until it is silent.
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

func (s *Simulation) reportCache(e *engine) {
	if e.dead || (len(e.cache.added) == 0 && len(e.cache.removed) == 0) {
		return
	}
	ev := e.cache.report(e, false)
	if s.noise.Float64() < cacheLoss {
		s.clock.after(resyncDelay, func() {
			whole := e.cache.report(e, true)
			s.broadcast(whole)
		})
		return
	}
	s.clock.after(reportLag, func() { s.broadcast(ev) })
}

// announceLeaving tells the signal of a leaving engine to all.
func (s *Simulation) announceLeaving(e *engine) {
	s.clock.after(peerLag, func() { s.broadcast(domain.EngineLeaving{Engine: e.info.ID}) })
}

func (s *Simulation) broadcast(ev domain.Event) {
	for _, i := range s.instances {
		i.post(ev)
	}
}

// engineCrashed tells the runs that wait on a dead engine, unless it hangs.
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

func (s *Simulation) markFault(r *run) {
	if r.faultAt == 0 {
		r.faultAt = s.clock.now
	}
}

func (s *Simulation) removeRequest(r *run) {
	delete(r.instance.requests, r.arrival.Request)
}
