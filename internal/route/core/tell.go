package core

import (
	"math"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
)

const (
	// loadInterval bounds how often one engine's load is told.
	loadInterval = 200 * time.Millisecond
	// capacityInterval is how often the sums per model are looked at, sumOld when one
	// is told again unchanged, and sumChange the part of the capacity by which
	// it must have changed else.
	capacityInterval    = time.Second
	capacityResendAfter = 4 * time.Second
	minCapacityChange   = 0.05
	// remoteCapacityTTL is how long another data centre's sum counts.
	remoteCapacityTTL = 10 * time.Second
	// offeredShare is the part of the capacity that is offered to others, and
	// spare how many times a request's rate must be free there.
	offeredShare = 0.9
	spareFactor  = 2
)

// announcer is what this instance last told others.
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

func (t *announcer) announce(l *Logic) {
	t.markChanged(&l.state)
	t.announceLoads(&l.state)
	if now := l.state.Now(); now >= t.nextCapacities {
		t.nextCapacities = now + capacityInterval
		t.announceCapacities(l)
	}
}

func (t *announcer) markChanged(w *domain.RoutingState) {
	for _, e := range w.TakeChangedEngines() {
		if w.Engines().Get(e.ID) != e {
			continue
		}
		if t.loads == nil {
			t.loads = map[spec.UpstreamID]*announcedLoad{}
		}
		s := t.loads[e.ID]
		if s == nil || s.engine != e {
			s = &announcedLoad{engine: e}
			t.loads[e.ID] = s
		}
		if !s.changed {
			s.changed = true
			t.changed = append(t.changed, s)
		}
	}
}

func (t *announcer) announceLoads(w *domain.RoutingState) {
	keep := t.changed[:0]
	for _, s := range t.changed {
		if s.sent && w.Now()-s.sentAt < loadInterval {
			keep = append(keep, s)
			continue
		}
		s.changed = false
		if s.active == s.engine.LocalRequests() && s.demand == s.engine.LocalDemand() {
			continue
		}
		s.active, s.demand = s.engine.LocalRequests(), s.engine.LocalDemand()
		s.sentAt, s.sent = w.Now(), true
		w.Emit(domain.LocalLoad{Engine: s.engine.ID, Active: s.active, LayerTokenRate: int(s.demand)})
	}
	t.changed = keep
}

func (t *announcer) removeEngine(engine spec.UpstreamID) {
	s := t.loads[engine]
	if s == nil {
		return
	}
	delete(t.loads, engine)
	for i, d := range t.changed {
		if d == s {
			t.changed = append(t.changed[:i], t.changed[i+1:]...)
			return
		}
	}
}

// announceCapacities tells per model this instance's part of what is free, so that what
// others send to all instances together fits.
func (t *announcer) announceCapacities(l *Logic) {
	w := &l.state
	if t.capacities == nil {
		t.capacities = map[spec.ModelName]*announcedCapacity{}
	}
	for _, name := range w.Engines().Index().ModelNames() {
		free, capacity := 0.0, 0.0
		for _, m := range w.Engines().Index().Versions(name) {
			free += max(0, m.FreeRate(offeredShare))
			capacity += m.Capacity()
		}
		free /= float64(1 + len(w.Peers()))
		t.announceCapacity(w, name, math.Floor(free), capacity)
	}
}

func (t *announcer) announceCapacity(w *domain.RoutingState, name spec.ModelName, free, capacity float64) {
	s := t.capacities[name]
	if s == nil {
		s = &announcedCapacity{sentAt: -capacityResendAfter}
		t.capacities[name] = s
	}
	moved := math.Abs(free-s.freeRate) > minCapacityChange*capacity/float64(1+len(w.Peers()))
	none := (free == 0) != (s.freeRate == 0)
	if !moved && !none && w.Now()-s.sentAt < capacityResendAfter {
		return
	}
	s.freeRate, s.sentAt = free, w.Now()
	w.Emit(domain.LocalCapacity{Model: name, FreeRate: free})
}

// chooseRemoteCentre is an instance of another data centre that has room for a request
// of rate tokens a second. A request that was forwarded already, or that ran
// here, stays: so it takes at most one hop and no circle.
func (l *Logic) chooseRemoteCentre(r *domain.Request, rate float64) *domain.RemoteCentre {
	a := r.Arrival()
	if a.Hops > 0 || r.Attempt() > 0 {
		return nil
	}
	w := &l.state
	fits := func(c *domain.RemoteCentre) bool {
		return w.Now()-c.ReportedAt() < remoteCapacityTTL && c.FreeRate() > 0 && c.FreeRate() >= spareFactor*rate
	}
	var open []*domain.RemoteCentre
	for _, c := range w.RemoteCentres(a.Model) {
		if fits(c) {
			open = append(open, c)
		}
	}
	if len(open) == 0 {
		return nil
	}
	// The better of two drawn keeps the data centres that read the same sums
	// from all sending to one.
	x := open[l.rand.IntN(len(open))]
	y := open[l.rand.IntN(len(open))]
	if y.FreeRate() > x.FreeRate() {
		return y
	}
	return x
}
