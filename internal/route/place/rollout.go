package place

import (
	"slices"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
)

const (
	// loadingDivisor limits how many engines may load at once: one in
	// loadingDivisor.
	loadingDivisor = 10
	// maxStoreBacklog limits the queued work of the weight store. An engine
	// unloads its old layers before it waits for the store, so a longer queue
	// would leave engines idle.
	maxStoreBacklog = time.Second
	// overdueGrace is how long after its expected completion an order counts as
	// overdue.
	overdueGrace = 30 * time.Second
	// maxOrderAttempts is how many times an order is sent to an engine that
	// doesn't carry it out.
	maxOrderAttempts = 3
	// refusalCooldown is how long the planner sends nothing to an engine that
	// did not carry out its orders.
	refusalCooldown = 5 * time.Minute
)

// move changes the set of ranges that an engine holds.
type move struct {
	engine       spec.UpstreamID
	ranges       []domain.LoadedRange
	layersToLoad int
}

// pendingOrder is a move that was ordered and that the engine doesn't report as
// done yet.
type pendingOrder struct {
	move
	deadline time.Duration
	attempts int
}

// rollout carries out a plan. Moves with the highest gain go first, no faster
// than the weight store delivers, and no layer loses its last holder in
// between.
type rollout struct {
	queue   []move
	pending map[spec.UpstreamID]*pendingOrder
	// storeFreeAt is when the weight store has delivered everything that was
	// ordered.
	storeFreeAt  time.Duration
	refusedUntil map[spec.UpstreamID]time.Duration
}

func (r *rollout) isIdle() bool { return len(r.queue) == 0 && len(r.pending) == 0 }

func (r *rollout) loadingCount() int { return len(r.pending) }

func (r *rollout) stuckCount(now time.Duration) int {
	n := 0
	for _, until := range r.refusedUntil {
		if now < until {
			n++
		}
	}
	return n
}

// isRefusing reports whether the engine did not carry out its last orders and
// is still in its cooldown.
func (r *rollout) isRefusing(now time.Duration, id spec.UpstreamID) bool {
	return now < r.refusedUntil[id]
}

// removeCompleted removes orders that the engines report as done and moves of
// engines that are gone.
func (r *rollout) removeCompleted(now time.Duration, engines []*domain.Engine) {
	present := map[spec.UpstreamID]*domain.Engine{}
	for _, e := range engines {
		present[e.ID] = e
	}
	for id, order := range r.pending {
		e := present[id]
		switch {
		case e == nil || sameRanges(e.Loaded, order.ranges):
			delete(r.pending, id)
		case now >= order.deadline:
			r.handleOverdue(now, order)
		}
	}
	r.queue = slices.DeleteFunc(r.queue, func(mv move) bool { return present[mv.engine] == nil })
}

// handleOverdue marks an overdue order for resending. After the last attempt it
// drops the order and starts the cooldown of the engine.
func (r *rollout) handleOverdue(now time.Duration, order *pendingOrder) {
	if order.attempts < maxOrderAttempts {
		order.deadline = 0
		return
	}
	delete(r.pending, order.engine)
	if r.refusedUntil == nil {
		r.refusedUntil = map[spec.UpstreamID]time.Duration{}
	}
	r.refusedUntil[order.engine] = now + refusalCooldown
}

// cancelUnsafe cancels orders that were not carried out yet and that would now
// leave a layer without a holder, because another engine died in the meantime.
// It orders the engine to keep the ranges that it reports.
func (r *rollout) cancelUnsafe(w *domain.RoutingState, goal Goal, engines []*domain.Engine, models []Model) {
	for _, e := range engines {
		order := r.pending[e.ID]
		if order == nil || newCoverage(goal, engines, models, r.pending).droppedLayersServed(e.Loaded, order.ranges) {
			continue
		}
		delete(r.pending, e.ID)
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

// dispatch sends the orders for the next moves that are allowed now.
func (r *rollout) dispatch(w *domain.RoutingState, goal Goal, engines []*domain.Engine, models []Model, rate float64) {
	r.resendOverdue(w, rate)
	if len(r.queue) == 0 {
		return
	}
	c := newCoverage(goal, engines, models, r.pending)
	var deferred []move
	for _, mv := range r.queue {
		if !r.canLoadMore(w.Now(), len(engines), rate) || !c.allows(mv) {
			deferred = append(deferred, mv)
			continue
		}
		r.sendOrder(w, mv, rate, 1)
		c.applyMove(mv)
	}
	r.queue = deferred
}

// resendOverdue sends overdue orders again. This is safe because an order
// states the desired final state.
func (r *rollout) resendOverdue(w *domain.RoutingState, rate float64) {
	var overdue []*pendingOrder
	for _, order := range r.pending {
		if order.deadline == 0 {
			overdue = append(overdue, order)
		}
	}
	slices.SortFunc(overdue, func(a, b *pendingOrder) int {
		if a.engine < b.engine {
			return -1
		}
		return 1
	})
	for _, order := range overdue {
		r.sendOrder(w, order.move, rate, order.attempts+1)
	}
}

func (r *rollout) canLoadMore(now time.Duration, engines int, rate float64) bool {
	if len(r.pending) >= max(1, engines/loadingDivisor) {
		return false
	}
	return rate <= 0 || r.storeFreeAt <= now+maxStoreBacklog
}

func (r *rollout) sendOrder(w *domain.RoutingState, mv move, rate float64, attempts int) {
	if r.pending == nil {
		r.pending = map[spec.UpstreamID]*pendingOrder{}
	}
	r.storeFreeAt = max(r.storeFreeAt, w.Now())
	if rate > 0 {
		r.storeFreeAt += time.Duration(float64(mv.layersToLoad) / rate * float64(time.Second))
	}
	r.pending[mv.engine] = &pendingOrder{move: mv, deadline: r.storeFreeAt + overdueGrace, attempts: attempts}
	w.Emit(domain.LoadLayers{Engine: mv.engine, Ranges: mv.ranges})
}
