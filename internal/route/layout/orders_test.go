package layout_test

import (
	"fmt"
	"testing"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/layout"

	"pgregory.net/rapid"
)

// slot is an address with the engine that uses it at present.
type slot struct {
	id     spec.UpstreamID
	card   site.Card
	held   spec.Layers
	orders int
}

// pendingOrder is an order that was sent to an address and hasn't arrived.
type pendingOrder struct {
	slot           int
	engine         spec.UpstreamID
	layers         spec.Layers
	expectedOrders int
	// plannedFrom is the range that the engine had reported to the planner.
	plannedFrom spec.Layers
}

// planners is two planners, the list that each has read, and the pending orders.
type planners struct {
	t         *rapid.T
	model     *site.Model
	slots     []slot
	snapshots [2][]slot
	pending   []pendingOrder
	nextID    int
}

func (p *planners) newID() spec.UpstreamID {
	p.nextID++
	return spec.UpstreamID(fmt.Sprintf("i%02d", p.nextID))
}

// refresh lets one planner read the list. The list of the other planner stays as it
// is.
func (p *planners) refresh(t *rapid.T) {
	planner := rapid.IntRange(0, 1).Draw(t, "planner")
	p.snapshots[planner] = append([]slot(nil), p.slots...)
}

// plan lets a planner send one of its orders, after a report of the engine.
func (p *planners) plan(t *rapid.T) {
	list := p.snapshots[rapid.IntRange(0, 1).Draw(t, "planner")]
	var engines []layout.Engine
	for _, s := range list {
		engines = append(engines, layout.Engine{ID: s.id, Centre: "c", Card: s.card, Held: s.held})
	}
	orders := layout.Plan(p.model, engines)
	if len(orders) == 0 {
		return
	}
	order := orders[rapid.IntRange(0, len(orders)-1).Draw(t, "order")]
	for index, s := range list {
		if current := p.slots[index]; s.id == order.ID && current.held == s.held {
			p.pending = append(p.pending, pendingOrder{slot: index, engine: s.id, layers: order.Layers, expectedOrders: current.orders, plannedFrom: current.held})
		}
	}
}

// deliver carries out a pending order, possibly long after newer ones.
func (p *planners) deliver(t *rapid.T) {
	if len(p.pending) == 0 {
		t.Skip("no pending orders")
	}
	n := rapid.IntRange(0, len(p.pending)-1).Draw(t, "letter")
	order := p.pending[n]
	p.pending = append(p.pending[:n:n], p.pending[n+1:]...)
	s := &p.slots[order.slot]
	if s.id != order.engine || s.orders != order.expectedOrders {
		return
	}
	if float64(order.layers.Len())*p.model.LayerMB > s.card.MemoryMB {
		t.Fatalf("got %s for a card of %.0f MB, want layers that fit", order.layers, s.card.MemoryMB)
	}
	if s.held != order.plannedFrom {
		t.Fatalf("got an order that undoes %s, planned for an engine with %s", s.held, order.plannedFrom)
	}
	s.held, s.orders = order.layers, s.orders+1
}

// replace removes an engine. Another one, possibly smaller, gets its address.
func (p *planners) replace(t *rapid.T) {
	index := rapid.IntRange(0, len(p.slots)-1).Draw(t, "address")
	p.slots[index] = slot{id: p.newID(), card: rapid.SampledFrom(cards).Draw(t, "card")}
}

// Two planners plan from lists of different age; one of them wrongly assumes that it
// still holds the planning lease. Orders arrive late, in any order or never, and
// addresses pass to other engines meanwhile. No engine may be ordered to hold more
// than fits, and no order may undo a newer order that the engine received after the
// planner had asked it.
func TestLateOrdersUndoNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &planners{t: t, model: model()}
		for range rapid.IntRange(6, 14).Draw(t, "engines") {
			p.slots = append(p.slots, slot{id: p.newID(), card: rapid.SampledFrom(cards).Draw(t, "card")})
		}
		t.Repeat(map[string]func(*rapid.T){"read": p.refresh, "plan": p.plan, "deliver": p.deliver, "replace": p.replace})
	})
}
