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

// sim simulates engines that carry out load orders in virtual time. Ranges that
// an order doesn't name are dropped at once. The others are loaded from a
// weight store with a given rate.
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
	// longestRun is the longest duration of one run of the planner.
	longestRun time.Duration
	// lostLayer names a layer that an order left without a holder. It must stay
	// empty.
	lostLayer string
	// wantedVersions is the wanted version of each model. Other versions may be
	// dropped once it is completely served.
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

// run runs ticks for the duration d and reports the state of every engine each
// second.
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
		start := time.Now()
		s.planner.Run(&s.w)
		s.longestRun = max(s.longestRun, time.Since(start))
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

// recordLostLayers records a layer that an order left without a holder.
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

// isSuperseded reports whether the layer belongs to an old version and the
// wanted version is completely served.
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

// evaluate returns the evaluation of the serving engines according to the
// routing state.
func (s *sim) evaluate(models []place.Model) place.Result {
	var rows []*domain.Engine
	for _, e := range s.w.Engines().Rows() {
		if e.State() == domain.StateServing {
			rows = append(rows, e)
		}
	}
	return place.Evaluate(rows, models)
}

func layerCount(ranges []domain.LoadedRange) int {
	n := 0
	for _, h := range ranges {
		n += h.Layers.Len()
	}
	return n
}
