package place_test

import (
	"fmt"
	"slices"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/place"
	"fulmarwick/internal/route/world"
)

const tick = 20 * time.Millisecond

// sim is engines that follow orders in virtual time: what an order does not
// name goes at once, the rest comes from a store of a given rate.
type sim struct {
	w       world.World
	planner place.Planner
	now     time.Duration
	rate    float64
	free    time.Duration
	engines []*simEngine
	moves   int
	loads   int
	last    time.Duration
	// longest is the most time that one run of the planner took.
	longest time.Duration
	// lost names a layer that an order left without a holder; must not be.
	lost string
	// wanted is the version in force; other versions may go once it is whole.
	wanted map[spec.ModelName]string
}

type simEngine struct {
	row    world.Engine
	want   []world.Hold
	ready  time.Duration
	dead   bool
	deaf   bool
	loaded bool
}

func newSim(goal place.Goal, rate float64, rows []*world.Engine) *sim {
	s := &sim{planner: place.Planner{Goal: goal, Rate: rate}, rate: rate, wanted: map[spec.ModelName]string{}}
	for _, r := range rows {
		s.engines = append(s.engines, &simEngine{row: *r, loaded: true})
	}
	s.w.Apply(world.Duties{Place: true})
	return s
}

// run ticks for a while and reports every engine's state each second.
func (s *sim) run(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += tick {
		s.w.Begin(s.now)
		for _, e := range s.engines {
			s.load(e)
			if s.now%time.Second == 0 && !e.dead {
				e.row.Seq++
				s.w.Apply(world.EngineSeen{Engine: e.row})
			}
		}
		began := time.Now()
		s.planner.Run(&s.w)
		s.longest = max(s.longest, time.Since(began))
		for _, c := range s.w.Commands() {
			if p, ok := c.(world.Place); ok {
				s.order(p)
			}
		}
	}
}

func (s *sim) load(e *simEngine) {
	if !e.loaded && !e.dead && s.now >= e.ready {
		e.row.Holds = e.want
		e.loaded = true
	}
}

func (s *sim) order(p world.Place) {
	for _, e := range s.engines {
		if e.row.ID != p.Engine || e.dead || e.deaf {
			continue
		}
		before := s.holders()
		missing := layers(p.Holds)
		var kept []world.Hold
		for _, want := range p.Holds {
			for _, have := range e.row.Holds {
				if want.Model != have.Model || want.Version != have.Version {
					continue
				}
				part := want
				part.Layers = spec.NewLayers(max(want.Layers.From(), have.Layers.From()), min(want.Layers.To(), have.Layers.To()))
				if part.Layers.Len() > 0 {
					kept = append(kept, part)
					missing -= part.Layers.Len()
				}
			}
		}
		e.row.Holds, e.want, e.loaded = kept, p.Holds, false
		s.free = max(s.free, s.now)
		s.free += time.Duration(float64(missing) / s.rate * float64(time.Second))
		e.ready = s.free
		s.moves++
		s.last = e.ready
		s.loads += missing
		s.compare(before)
	}
}

// compare notes layers that an order left without a holder.
func (s *sim) compare(before map[string]int) {
	after := s.holders()
	for _, key := range sortedKeys(before) {
		if after[key] == 0 && !s.replaced(key, after) {
			s.lost = fmt.Sprintf("%s at %v", key, s.now)
		}
	}
}

func sortedKeys(m map[string]int) []string {
	var out []string
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// replaced reports whether the layer is of an old version whose successor is
// whole.
func (s *sim) replaced(key string, after map[string]int) bool {
	var model, version string
	var layer, depth int
	if _, err := fmt.Sscanf(key, "%s %s %d %d", &model, &version, &layer, &depth); err != nil {
		return false
	}
	next := s.wanted[spec.ModelName(model)]
	if next == "" || next == version {
		return false
	}
	for at := range depth {
		if after[fmt.Sprintf("%s %s %d %d", model, next, at, depth)] == 0 {
			return false
		}
	}
	return true
}

func (s *sim) holders() map[string]int {
	out := map[string]int{}
	for _, e := range s.engines {
		if e.dead {
			continue
		}
		for _, h := range e.row.Holds {
			for at := h.Layers.From(); at < h.Layers.To(); at++ {
				out[fmt.Sprintf("%s %s %d %d", h.Model, h.Version, at, h.Depth)]++
			}
		}
	}
	return out
}

func (s *sim) kill(i int) {
	s.engines[i].dead = true
	s.w.Apply(world.EngineDown{Engine: s.engines[i].row.ID})
}

// value is what the living engines are worth as the world sees them.
func (s *sim) value(models []place.Model) place.Result {
	var rows []*world.Engine
	for _, e := range s.w.Engines().Rows() {
		if e.State() == world.StateServing {
			rows = append(rows, e)
		}
	}
	return place.Value(rows, models)
}

func layers(holds []world.Hold) int {
	n := 0
	for _, h := range holds {
		n += h.Layers.Len()
	}
	return n
}
