package place

import (
	"slices"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
)

const (
	// loadingDivisor is the part of the engines that may load at once.
	loadingDivisor = 10
	// maxStoreBacklog is how much work the weight store may have waiting: an engine
	// that waits for it has unloaded already.
	maxStoreBacklog = time.Second
	// overdueGrace is how long past its expected time an order may be.
	overdueGrace = 30 * time.Second
	// maxOrderAttempts is how often one engine is given an order that it does not
	// follow, and refusedFor how long it is then left alone.
	maxOrderAttempts = 3
	refusalCooldown  = 5 * time.Minute
)

// move has an engine hold other ranges.
type move struct {
	engine       spec.UpstreamID
	ranges       []domain.LoadedRange
	layersToLoad int
}

// pendingOrder is a move that was ordered and that the engine does not report yet.
type pendingOrder struct {
	move
	deadline time.Duration
	attempts int
}

// rollout carries out a plan: most gain first, no faster than the weight store,
// and no layer without a holder in between.
type rollout struct {
	queue   []move
	pending map[spec.UpstreamID]*pendingOrder
	// storeFreeAt is when the weight store has given all that was ordered.
	storeFreeAt  time.Duration
	refusedUntil map[spec.UpstreamID]time.Duration
}

func (m *rollout) isIdle() bool { return len(m.queue) == 0 && len(m.pending) == 0 }

func (m *rollout) loadingCount() int { return len(m.pending) }

func (m *rollout) stuckCount(now time.Duration) int {
	n := 0
	for _, until := range m.refusedUntil {
		if now < until {
			n++
		}
	}
	return n
}

// isRefusing reports whether the engine did not follow its last orders.
func (m *rollout) isRefusing(now time.Duration, id spec.UpstreamID) bool {
	return now < m.refusedUntil[id]
}

// removeCompleted takes off what engines report as done, and those that are gone.
func (m *rollout) removeCompleted(now time.Duration, engines []*domain.Engine) {
	here := map[spec.UpstreamID]*domain.Engine{}
	for _, e := range engines {
		here[e.ID] = e
	}
	for id, s := range m.pending {
		e := here[id]
		switch {
		case e == nil || sameRanges(e.Loaded, s.ranges):
			delete(m.pending, id)
		case now >= s.deadline:
			m.handleOverdue(now, s)
		}
	}
	m.queue = slices.DeleteFunc(m.queue, func(mv move) bool { return here[mv.engine] == nil })
}

// handleOverdue has an overdue order given again, or leaves the engine alone.
func (m *rollout) handleOverdue(now time.Duration, s *pendingOrder) {
	if s.attempts < maxOrderAttempts {
		s.deadline = 0
		return
	}
	delete(m.pending, s.engine)
	if m.refusedUntil == nil {
		m.refusedUntil = map[spec.UpstreamID]time.Duration{}
	}
	m.refusedUntil[s.engine] = now + refusalCooldown
}

// cancelUnsafe takes back orders that were not followed yet and that would now
// leave a layer without a holder, since another engine died meanwhile: the
// engine is told to keep what it reports.
func (m *rollout) cancelUnsafe(w *domain.RoutingState, goal Goal, engines []*domain.Engine, models []Model) {
	for _, e := range engines {
		s := m.pending[e.ID]
		if s == nil || newCoverage(goal, engines, models, m.pending).droppedLayersServed(e.Loaded, s.ranges) {
			continue
		}
		delete(m.pending, e.ID)
		w.Emit(domain.LoadLayers{Engine: e.ID, Ranges: e.Loaded})
	}
}

func sameRanges(a, b []domain.LoadedRange) bool {
	if len(a) != len(b) {
		return false
	}
	for _, h := range a {
		if !slices.ContainsFunc(b, func(o domain.LoadedRange) bool {
			return o.Model == h.Model && o.Version == h.Version && o.Layers == h.Layers
		}) {
			return false
		}
	}
	return true
}

// dispatch orders the next moves that may go now.
func (m *rollout) dispatch(w *domain.RoutingState, goal Goal, engines []*domain.Engine, models []Model, rate float64) {
	m.resendOverdue(w, rate)
	if len(m.queue) == 0 {
		return
	}
	g := newCoverage(goal, engines, models, m.pending)
	var rest []move
	for _, mv := range m.queue {
		if !m.canLoadMore(w.Now(), len(engines), rate) || !g.allows(mv) {
			rest = append(rest, mv)
			continue
		}
		m.sendOrder(w, mv, rate, 1)
		g.applyMove(mv)
	}
	m.queue = rest
}

// resendOverdue gives overdue orders again; an order states the desired end, so that
// is safe.
func (m *rollout) resendOverdue(w *domain.RoutingState, rate float64) {
	var late []*pendingOrder
	for _, s := range m.pending {
		if s.deadline == 0 {
			late = append(late, s)
		}
	}
	slices.SortFunc(late, func(a, b *pendingOrder) int {
		if a.engine < b.engine {
			return -1
		}
		return 1
	})
	for _, s := range late {
		m.sendOrder(w, s.move, rate, s.attempts+1)
	}
}

func (m *rollout) canLoadMore(now time.Duration, engines int, rate float64) bool {
	if len(m.pending) >= max(1, engines/loadingDivisor) {
		return false
	}
	return rate <= 0 || m.storeFreeAt <= now+maxStoreBacklog
}

func (m *rollout) sendOrder(w *domain.RoutingState, mv move, rate float64, orders int) {
	if m.pending == nil {
		m.pending = map[spec.UpstreamID]*pendingOrder{}
	}
	m.storeFreeAt = max(m.storeFreeAt, w.Now())
	if rate > 0 {
		m.storeFreeAt += time.Duration(float64(mv.layersToLoad) / rate * float64(time.Second))
	}
	m.pending[mv.engine] = &pendingOrder{move: mv, deadline: m.storeFreeAt + overdueGrace, attempts: orders}
	w.Emit(domain.LoadLayers{Engine: mv.engine, Ranges: mv.ranges})
}
