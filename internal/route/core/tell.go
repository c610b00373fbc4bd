package core

import (
	"math"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/world"
)

const (
	// tellEvery bounds how often one engine's load is told.
	tellEvery = 200 * time.Millisecond
	// sumEvery is how often the sums per model are looked at, sumOld when one
	// is told again unchanged, and sumChange the part of the capacity by which
	// it must have changed else.
	sumEvery  = time.Second
	sumOld    = 4 * time.Second
	sumChange = 0.05
	// sumKeep is how long another data centre's sum counts.
	sumKeep = 10 * time.Second
	// sumLimit is the part of the capacity that is offered to others, and
	// spare how many times a request's rate must be free there.
	sumLimit = 0.9
	spare    = 2
)

// tell is what this instance last told others.
type tell struct {
	loads map[spec.UpstreamID]*toldLoad
	dirty []*toldLoad
	sums  map[spec.ModelName]*toldSum
	next  time.Duration
}

type toldLoad struct {
	engine *world.Engine
	active int
	draw   int64
	at     time.Duration
	sent   bool
	dirty  bool
}

type toldSum struct {
	free float64
	at   time.Duration
}

func (t *tell) run(l *Logic) {
	t.touched(&l.world)
	t.tellLoads(&l.world)
	if now := l.world.Now(); now >= t.next {
		t.next = now + sumEvery
		t.tellSums(l)
	}
}

func (t *tell) touched(w *world.World) {
	for _, e := range w.Touched() {
		if w.Engines().Get(e.ID) != e {
			continue
		}
		if t.loads == nil {
			t.loads = map[spec.UpstreamID]*toldLoad{}
		}
		s := t.loads[e.ID]
		if s == nil || s.engine != e {
			s = &toldLoad{engine: e}
			t.loads[e.ID] = s
		}
		if !s.dirty {
			s.dirty = true
			t.dirty = append(t.dirty, s)
		}
	}
}

func (t *tell) tellLoads(w *world.World) {
	keep := t.dirty[:0]
	for _, s := range t.dirty {
		if s.sent && w.Now()-s.at < tellEvery {
			keep = append(keep, s)
			continue
		}
		s.dirty = false
		if s.active == s.engine.Own() && s.draw == s.engine.OwnDraw() {
			continue
		}
		s.active, s.draw = s.engine.Own(), s.engine.OwnDraw()
		s.at, s.sent = w.Now(), true
		w.Emit(world.OwnLoad{Engine: s.engine.ID, Active: s.active, Tokens: int(s.draw)})
	}
	t.dirty = keep
}

func (t *tell) forget(engine spec.UpstreamID) {
	s := t.loads[engine]
	if s == nil {
		return
	}
	delete(t.loads, engine)
	for i, d := range t.dirty {
		if d == s {
			t.dirty = append(t.dirty[:i], t.dirty[i+1:]...)
			return
		}
	}
}

// tellSums tells per model this instance's part of what is free, so that what
// others send to all instances together fits.
func (t *tell) tellSums(l *Logic) {
	w := &l.world
	if t.sums == nil {
		t.sums = map[spec.ModelName]*toldSum{}
	}
	for _, name := range w.Engines().Index().Names() {
		free, capacity := 0.0, 0.0
		for _, m := range w.Engines().Index().Versions(name) {
			free += max(0, m.Free(sumLimit))
			capacity += m.Capacity()
		}
		free /= float64(1 + len(w.Peers()))
		t.tellSum(w, name, math.Floor(free), capacity)
	}
}

func (t *tell) tellSum(w *world.World, name spec.ModelName, free, capacity float64) {
	s := t.sums[name]
	if s == nil {
		s = &toldSum{at: -sumOld}
		t.sums[name] = s
	}
	moved := math.Abs(free-s.free) > sumChange*capacity/float64(1+len(w.Peers()))
	none := (free == 0) != (s.free == 0)
	if !moved && !none && w.Now()-s.at < sumOld {
		return
	}
	s.free, s.at = free, w.Now()
	w.Emit(world.OwnSum{Model: name, Free: free})
}

// elsewhere is an instance of another data centre that has room for a request
// of rate tokens a second. A request that was forwarded already, or that ran
// here, stays: so it takes at most one hop and no circle.
func (l *Logic) elsewhere(r *world.Request, rate float64) *world.Centre {
	a := r.Arrived()
	if a.Hops > 0 || r.Attempt() > 0 {
		return nil
	}
	w := &l.world
	fits := func(c *world.Centre) bool {
		return w.Now()-c.Heard() < sumKeep && c.Free() > 0 && c.Free() >= spare*rate
	}
	var open []*world.Centre
	for _, c := range w.Centres(a.Model) {
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
	if y.Free() > x.Free() {
		return y
	}
	return x
}
