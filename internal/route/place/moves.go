package place

import (
	"slices"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/world"
)

const (
	// loadingPart is the part of the engines that may load at once.
	loadingPart = 10
	// storeAhead is how much work the weight store may have waiting: an engine
	// that waits for it has unloaded already.
	storeAhead = time.Second
	// overdue is how long past its expected time an order may be.
	overdue = 30 * time.Second
	// maxOrders is how often one engine is given an order that it does not
	// follow, and refusedFor how long it is then left alone.
	maxOrders  = 3
	refusedFor = 5 * time.Minute
)

// move has an engine hold other ranges.
type move struct {
	engine spec.UpstreamID
	holds  []world.Hold
	loads  int
}

// sent is a move that was ordered and that the engine does not report yet.
type sent struct {
	move
	due    time.Duration
	orders int
}

// moves carries out a plan: most gain first, no faster than the weight store,
// and no layer without a holder in between.
type moves struct {
	queue []move
	sent  map[spec.UpstreamID]*sent
	// free is when the weight store has given all that was ordered.
	free  time.Duration
	tried map[spec.UpstreamID]time.Duration
}

func (m *moves) idle() bool { return len(m.queue) == 0 && len(m.sent) == 0 }

func (m *moves) loading() int { return len(m.sent) }

func (m *moves) stuck(now time.Duration) int {
	n := 0
	for _, until := range m.tried {
		if now < until {
			n++
		}
	}
	return n
}

// refused reports whether the engine did not follow its last orders.
func (m *moves) refused(now time.Duration, id spec.UpstreamID) bool { return now < m.tried[id] }

// settle takes off what engines report as done, and those that are gone.
func (m *moves) settle(now time.Duration, engines []*world.Engine) {
	here := map[spec.UpstreamID]*world.Engine{}
	for _, e := range engines {
		here[e.ID] = e
	}
	for id, s := range m.sent {
		e := here[id]
		switch {
		case e == nil || sameHolds(e.Holds, s.holds):
			delete(m.sent, id)
		case now >= s.due:
			m.late(now, s)
		}
	}
	m.queue = slices.DeleteFunc(m.queue, func(mv move) bool { return here[mv.engine] == nil })
}

// late has an overdue order given again, or leaves the engine alone.
func (m *moves) late(now time.Duration, s *sent) {
	if s.orders < maxOrders {
		s.due = 0
		return
	}
	delete(m.sent, s.engine)
	if m.tried == nil {
		m.tried = map[spec.UpstreamID]time.Duration{}
	}
	m.tried[s.engine] = now + refusedFor
}

// withdraw takes back orders that were not followed yet and that would now
// leave a layer without a holder, since another engine died meanwhile: the
// engine is told to keep what it reports.
func (m *moves) withdraw(w *world.World, goal Goal, engines []*world.Engine, models []Model) {
	for _, e := range engines {
		s := m.sent[e.ID]
		if s == nil || newGuard(goal, engines, models, m.sent).spares(e.Holds, s.holds) {
			continue
		}
		delete(m.sent, e.ID)
		w.Emit(world.Place{Engine: e.ID, Holds: e.Holds})
	}
}

func sameHolds(a, b []world.Hold) bool {
	if len(a) != len(b) {
		return false
	}
	for _, h := range a {
		if !slices.ContainsFunc(b, func(o world.Hold) bool {
			return o.Model == h.Model && o.Version == h.Version && o.Layers == h.Layers
		}) {
			return false
		}
	}
	return true
}

// emit orders the next moves that may go now.
func (m *moves) emit(w *world.World, goal Goal, engines []*world.Engine, models []Model, rate float64) {
	m.repeat(w, rate)
	if len(m.queue) == 0 {
		return
	}
	g := newGuard(goal, engines, models, m.sent)
	var rest []move
	for _, mv := range m.queue {
		if !m.room(w.Now(), len(engines), rate) || !g.allows(mv) {
			rest = append(rest, mv)
			continue
		}
		m.order(w, mv, rate, 1)
		g.take(mv)
	}
	m.queue = rest
}

// repeat gives overdue orders again; an order states the desired end, so that
// is safe.
func (m *moves) repeat(w *world.World, rate float64) {
	var late []*sent
	for _, s := range m.sent {
		if s.due == 0 {
			late = append(late, s)
		}
	}
	slices.SortFunc(late, func(a, b *sent) int {
		if a.engine < b.engine {
			return -1
		}
		return 1
	})
	for _, s := range late {
		m.order(w, s.move, rate, s.orders+1)
	}
}

func (m *moves) room(now time.Duration, engines int, rate float64) bool {
	if len(m.sent) >= max(1, engines/loadingPart) {
		return false
	}
	return rate <= 0 || m.free <= now+storeAhead
}

func (m *moves) order(w *world.World, mv move, rate float64, orders int) {
	if m.sent == nil {
		m.sent = map[spec.UpstreamID]*sent{}
	}
	m.free = max(m.free, w.Now())
	if rate > 0 {
		m.free += time.Duration(float64(mv.loads) / rate * float64(time.Second))
	}
	m.sent[mv.engine] = &sent{move: mv, due: m.free + overdue, orders: orders}
	w.Emit(world.Place{Engine: mv.engine, Holds: mv.holds})
}
