package place_test

import (
	"fmt"
	"slices"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
	"fulmarwick/internal/route/place"
)

const tick = 20 * time.Millisecond

// sim is engines that follow orders in virtual time: what an order does not
// name goes at once, the rest comes from a store of a given rate.
type sim struct {
	w            domain.RoutingState
	planner      place.Planner
	now          time.Duration
	loadRate     float64
	storeFreeAt  time.Duration
	engines      []*simEngine
	moves        int
	loadedLayers int
	lastReadyAt  time.Duration
	// longestRun is the most time that one run of the planner took.
	longestRun time.Duration
	// lostLayer names a layer that an order left without a holder; must not be.
	lostLayer string
	// wantedVersions is the version in force; other versions may go once it is whole.
	wantedVersions map[spec.ModelName]string
}

type simEngine struct {
	row           domain.Engine
	ordered       []domain.LoadedRange
	readyAt       time.Duration
	dead          bool
	ignoresOrders bool
	loaded        bool
}

func newSim(goal place.Goal, rate float64, rows []*domain.Engine) *sim {
	s := &sim{planner: place.Planner{Goal: goal, LoadRate: rate}, loadRate: rate, wantedVersions: map[spec.ModelName]string{}}
	for _, r := range rows {
		s.engines = append(s.engines, &simEngine{row: *r, loaded: true})
	}
	s.w.Apply(domain.Duties{PlansPlacement: true})
	return s
}

// run ticks for a while and reports every engine's state each second.
func (s *sim) run(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += tick {
		s.w.BeginTick(s.now)
		for _, e := range s.engines {
			s.finishLoad(e)
			if s.now%time.Second == 0 && !e.dead {
				e.row.Seq++
				s.w.Apply(domain.EngineReport{Engine: e.row})
			}
		}
		began := time.Now()
		s.planner.Run(&s.w)
		s.longestRun = max(s.longestRun, time.Since(began))
		for _, c := range s.w.Commands() {
			if p, ok := c.(domain.LoadLayers); ok {
				s.applyOrder(p)
			}
		}
	}
}

func (s *sim) finishLoad(e *simEngine) {
	if !e.loaded && !e.dead && s.now >= e.readyAt {
		e.row.Loaded = e.ordered
		e.loaded = true
	}
}

func (s *sim) applyOrder(p domain.LoadLayers) {
	for _, e := range s.engines {
		if e.row.ID != p.Engine || e.dead || e.ignoresOrders {
			continue
		}
		before := s.holderCounts()
		missing := layerCount(p.Ranges)
		var kept []domain.LoadedRange
		for _, want := range p.Ranges {
			for _, have := range e.row.Loaded {
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
		e.row.Loaded, e.ordered, e.loaded = kept, p.Ranges, false
		s.storeFreeAt = max(s.storeFreeAt, s.now)
		s.storeFreeAt += time.Duration(float64(missing) / s.loadRate * float64(time.Second))
		e.readyAt = s.storeFreeAt
		s.moves++
		s.lastReadyAt = e.readyAt
		s.loadedLayers += missing
		s.recordLostLayers(before)
	}
}

// recordLostLayers notes layers that an order left without a holder.
func (s *sim) recordLostLayers(before map[string]int) {
	after := s.holderCounts()
	for _, key := range sortedKeys(before) {
		if after[key] == 0 && !s.isSuperseded(key, after) {
			s.lostLayer = fmt.Sprintf("%s at %v", key, s.now)
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

// isSuperseded reports whether the layer is of an old version whose successor is
// whole.
func (s *sim) isSuperseded(key string, after map[string]int) bool {
	var model, version string
	var layer, depth int
	if _, err := fmt.Sscanf(key, "%s %s %d %d", &model, &version, &layer, &depth); err != nil {
		return false
	}
	next := s.wantedVersions[spec.ModelName(model)]
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

func (s *sim) holderCounts() map[string]int {
	out := map[string]int{}
	for _, e := range s.engines {
		if e.dead {
			continue
		}
		for _, h := range e.row.Loaded {
			for at := h.Layers.From(); at < h.Layers.To(); at++ {
				out[fmt.Sprintf("%s %s %d %d", h.Model, h.Version, at, h.Depth)]++
			}
		}
	}
	return out
}

func (s *sim) kill(i int) {
	s.engines[i].dead = true
	s.w.Apply(domain.EngineDead{Engine: s.engines[i].row.ID})
}

// evaluate is what the living engines are worth as the world sees them.
func (s *sim) evaluate(models []place.Model) place.Result {
	var rows []*domain.Engine
	for _, e := range s.w.Engines().Rows() {
		if e.State() == domain.StateServing {
			rows = append(rows, e)
		}
	}
	return place.Evaluate(rows, models)
}

func layerCount(holds []domain.LoadedRange) int {
	n := 0
	for _, h := range holds {
		n += h.Layers.Len()
	}
	return n
}
