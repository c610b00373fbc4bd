package core

import (
	"math"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
)

const (
	// loadInterval is the shortest time between two announcements of one
	// engine's load.
	loadInterval = 200 * time.Millisecond
	// capacityInterval is how often the free capacity of each model is
	// checked.
	capacityInterval = time.Second
	// capacityResendAfter is when an unchanged free capacity is announced
	// again.
	capacityResendAfter = 4 * time.Second
	// minCapacityChange is the fraction of the capacity by which the free
	// capacity must have changed to be announced earlier.
	minCapacityChange = 0.05
	// remoteCapacityTTL is how long another data centre's announced capacity
	// is valid.
	remoteCapacityTTL = 10 * time.Second
	// offeredShare is the fraction of the capacity that is offered to other
	// data centres.
	offeredShare = 0.9
	// spareFactor is how many times a request's rate must be free in a data
	// centre that it is forwarded to.
	spareFactor = 2
)

// announcer tracks what this instance last announced to others: the load of
// each engine and the free capacity of each model.
type announcer struct {
	loads          map[spec.UpstreamID]*announcedLoad
	changed        []*announcedLoad
	capacities     map[spec.ModelName]*announcedCapacity
	nextCapacities time.Duration
}

type announcedLoad struct {
	engine  *domain.Engine
	active  int
	demand  int64
	sentAt  time.Duration
	sent    bool
	changed bool
}

type announcedCapacity struct {
	freeRate float64
	sentAt   time.Duration
}

func (a *announcer) announce(l *Logic) {
	a.markChanged(&l.state)
	a.announceLoads(&l.state)
	if now := l.state.Now(); now >= a.nextCapacities {
		a.nextCapacities = now + capacityInterval
		a.announceCapacities(l)
	}
}

func (a *announcer) markChanged(state *domain.RoutingState) {
	for _, e := range state.TakeChangedEngines() {
		if state.Engines().Get(e.ID) != e {
			continue
		}
		if a.loads == nil {
			a.loads = map[spec.UpstreamID]*announcedLoad{}
		}
		load := a.loads[e.ID]
		if load == nil || load.engine != e {
			load = &announcedLoad{engine: e}
			a.loads[e.ID] = load
		}
		if !load.changed {
			load.changed = true
			a.changed = append(a.changed, load)
		}
	}
}

func (a *announcer) announceLoads(state *domain.RoutingState) {
	kept := a.changed[:0]
	for _, load := range a.changed {
		if load.sent && state.Now()-load.sentAt < loadInterval {
			kept = append(kept, load)
			continue
		}
		load.changed = false
		if load.active == load.engine.LocalRequests() && load.demand == load.engine.LocalDemand() {
			continue
		}
		load.active, load.demand = load.engine.LocalRequests(), load.engine.LocalDemand()
		load.sentAt, load.sent = state.Now(), true
		state.Emit(domain.LocalLoad{Engine: load.engine.ID, Active: load.active, LayerTokenRate: int(load.demand)})
	}
	a.changed = kept
}

func (a *announcer) removeEngine(engine spec.UpstreamID) {
	load := a.loads[engine]
	if load == nil {
		return
	}
	delete(a.loads, engine)
	for i, changed := range a.changed {
		if changed == load {
			a.changed = append(a.changed[:i], a.changed[i+1:]...)
			return
		}
	}
}

// announceCapacities announces, for each model, this instance's part of the
// free capacity. The parts of all instances add up to the whole, so that the
// requests forwarded to all of them fit.
func (a *announcer) announceCapacities(l *Logic) {
	state := &l.state
	if a.capacities == nil {
		a.capacities = map[spec.ModelName]*announcedCapacity{}
	}
	for _, name := range state.Engines().Index().ModelNames() {
		free, capacity := 0.0, 0.0
		for _, m := range state.Engines().Index().Versions(name) {
			free += max(0, m.FreeRate(offeredShare))
			capacity += m.Capacity()
		}
		free /= float64(1 + len(state.Peers()))
		a.announceCapacity(state, name, math.Floor(free), capacity)
	}
}

func (a *announcer) announceCapacity(state *domain.RoutingState, name spec.ModelName, free, capacity float64) {
	last := a.capacities[name]
	if last == nil {
		last = &announcedCapacity{sentAt: -capacityResendAfter}
		a.capacities[name] = last
	}
	changed := math.Abs(free-last.freeRate) > minCapacityChange*capacity/float64(1+len(state.Peers()))
	zeroChanged := (free == 0) != (last.freeRate == 0)
	if !changed && !zeroChanged && state.Now()-last.sentAt < capacityResendAfter {
		return
	}
	last.freeRate, last.sentAt = free, state.Now()
	state.Emit(domain.LocalCapacity{Model: name, FreeRate: free})
}

// chooseRemoteCentre returns an instance of another data centre with free
// capacity for a request that needs rate tokens per second, or nil. A request
// that was forwarded already or that ran here stays, so that it is forwarded
// at most once and never in a circle.
func (l *Logic) chooseRemoteCentre(r *domain.Request, rate float64) *domain.RemoteCentre {
	arrival := r.Arrival()
	if arrival.Hops > 0 || r.Attempt() > 0 {
		return nil
	}
	state := &l.state
	hasCapacity := func(c *domain.RemoteCentre) bool {
		return state.Now()-c.ReportedAt() < remoteCapacityTTL && c.FreeRate() > 0 && c.FreeRate() >= spareFactor*rate
	}
	var candidates []*domain.RemoteCentre
	for _, c := range state.RemoteCentres(arrival.Model) {
		if hasCapacity(c) {
			candidates = append(candidates, c)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	// Taking the better of two random candidates keeps the data centres that
	// see the same capacities from all sending to the same one.
	first := candidates[l.rand.IntN(len(candidates))]
	second := candidates[l.rand.IntN(len(candidates))]
	if second.FreeRate() > first.FreeRate() {
		return second
	}
	return first
}
