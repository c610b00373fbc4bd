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
	tickEvery   = 20 * time.Millisecond
	wakeAfter   = 100 * time.Microsecond
	reportEvery = 200 * time.Millisecond
	reportLag   = 150 * time.Millisecond
	peerLag     = 100 * time.Millisecond
	rateEvery   = time.Second
	cacheEvery  = 500 * time.Millisecond
	// downAfter is how many reports in a row must fail before an engine that
	// hangs counts as down.
	downAfter = 2 * time.Second
	// cacheLoss is the part of cache events that is lost, and resync the time
	// until the whole list is read again.
	cacheLoss = 0.05
	resync    = 2 * time.Second
)

// Site is a deployment in virtual time. Set the exported fields before Run.
type Site struct {
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
	kills     int
	timeouts  int
	hedges    int
	rates     map[spec.TeamID]map[spec.InstanceID]float64
}

// Fault is something that happens to engines.
type Fault struct {
	At time.Duration
	Do func(s *Site)
}

func (s *Site) rate(c domain.LocalTeamUsage, from spec.InstanceID) {
	if s.rates[c.Team] == nil {
		s.rates[c.Team] = map[spec.InstanceID]float64{}
	}
	s.rates[c.Team][from] = c.Rate
	sum := 0.0
	for _, i := range s.instances {
		sum += s.rates[c.Team][i.id]
	}
	s.clock.after(rateEvery, func() {
		for _, i := range s.instances {
			i.post(domain.TeamUsage{Team: c.Team, Rate: sum})
		}
	})
}

func (s *Site) engine(id spec.UpstreamID) *engine { return s.byID[id] }

// Run simulates the whole length and returns the figures.
func (s *Site) Run() Result {
	s.build()
	for _, f := range s.Faults {
		s.clock.after(f.At, func() { f.Do(s) })
	}
	s.Load.feed(s)
	s.clock.until(s.Length)
	return s.result()
}

func (s *Site) build() {
	s.rand = rand.New(rand.NewPCG(s.Seed, 1))
	s.noise = rand.New(rand.NewPCG(s.Seed, 2))
	s.byID = map[spec.UpstreamID]*engine{}
	s.rates = map[spec.TeamID]map[spec.InstanceID]float64{}
	s.open = map[*run]bool{}
	for _, row := range s.Layout.Engines {
		e := &engine{site: s, row: row, hop: row.ReportedHopTime, cache: newPrefix(s.Layout.Blocks)}
		s.engines = append(s.engines, e)
		s.byID[row.ID] = e
	}
	if s.Instances == 0 {
		s.Instances = 4
	}
	for n := range s.Instances {
		s.join(n)
	}
	for _, e := range s.engines {
		s.follow(e)
	}
}

func (s *Site) join(n int) {
	id := spec.InstanceID(fmt.Sprintf("entry-%d", n))
	logic := &core.Logic{}
	if s.Logic != nil {
		logic = s.Logic(n)
	}
	logic.ID = id
	logic.Seed = s.Seed*1000 + uint64(n)
	i := &instance{site: s, id: id, logic: logic, waits: map[spec.RequestID]*run{}}
	s.instances = append(s.instances, i)
	i.post(domain.ConfigChanged{Version: 1, Classes: s.Load.classes(), Teams: s.Load.teams()})
	s.clock.every(tickEvery, func() bool {
		i.tick()
		return true
	})
}

// follow reports an engine to all instances, late, until it is silent.
func (s *Site) follow(e *engine) {
	s.tellAll(domain.EngineReport{Engine: e.report()})
	phase := time.Duration(s.noise.Int64N(int64(reportEvery)))
	var deadFor time.Duration
	s.clock.after(phase, func() {
		s.clock.every(reportEvery, func() bool {
			deadFor = s.watch(e, deadFor)
			return true
		})
	})
	s.clock.every(cacheEvery, func() bool {
		s.cached(e)
		return true
	})
}

func (s *Site) watch(e *engine, deadFor time.Duration) time.Duration {
	if e.dead {
		if deadFor < downAfter && deadFor+reportEvery >= downAfter {
			s.tellAll(domain.EngineDead{Engine: e.row.ID})
		}
		return deadFor + reportEvery
	}
	ev := domain.EngineReport{Engine: e.report()}
	s.clock.after(reportLag, func() { s.tellAll(ev) })
	if e.hop != e.row.ReportedHopTime {
		s.tellAll(domain.HopMeasured{Engine: e.row.ID, P50: e.hop, P99: e.hop, Count: 1})
	}
	return 0
}

func (s *Site) cached(e *engine) {
	if e.dead || (len(e.cache.added) == 0 && len(e.cache.gone) == 0) {
		return
	}
	ev := e.cache.news(e, false)
	if s.noise.Float64() < cacheLoss {
		s.clock.after(resync, func() {
			whole := e.cache.news(e, true)
			s.tellAll(whole)
		})
		return
	}
	s.clock.after(reportLag, func() { s.tellAll(ev) })
}

// leave tells the signal of a leaving engine to all.
func (s *Site) leave(e *engine) {
	s.clock.after(peerLag, func() { s.tellAll(domain.EngineLeaving{Engine: e.row.ID}) })
}

func (s *Site) tellAll(ev domain.Event) {
	for _, i := range s.instances {
		i.post(ev)
	}
}

// broke tells the runs that wait on a dead engine, unless it hangs.
func (s *Site) broke(e *engine) {
	for _, r := range s.runs {
		if r.outcome != OutcomeOpen {
			continue
		}
		for _, st := range r.stages {
			if st.engine != e {
				continue
			}
			s.hit(r)
			if !e.silent && r.step != nil && r.step.stage == st && st.opened && !r.waiting {
				s.clock.after(time.Millisecond, func() { r.lose(st, domain.CauseBroken) })
			}
		}
	}
}

func (s *Site) hit(r *run) {
	if r.hurt == 0 {
		r.hurt = s.clock.now
	}
}

func (s *Site) ended(r *run) {
	delete(r.on.waits, r.ask.Request)
}
