package layout_test

import (
	"fmt"
	"testing"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/layout"

	"pgregory.net/rapid"
)

// slot is an address with the engine that has it now.
type slot struct {
	id     spec.UpstreamID
	card   site.Card
	held   spec.Layers
	orders int
}

// pendingOrder is an order on its way to an address.
type pendingOrder struct {
	slot           int
	engine         spec.UpstreamID
	layers         spec.Layers
	expectedOrders int
	// plannedFrom is what its planner was told that the engine held.
	plannedFrom spec.Layers
}

// planners are two planners, the list that each has read, and what is on its way.
type planners struct {
	t         *rapid.T
	model     *site.Model
	slots     []slot
	snapshots [2][]slot
	pending   []pendingOrder
	nextID    int
}

func (o *planners) newID() spec.UpstreamID {
	o.nextID++
	return spec.UpstreamID(fmt.Sprintf("i%02d", o.nextID))
}

// refresh has one planner read the list; the other's stays as old as it is.
func (o *planners) refresh(t *rapid.T) {
	p := rapid.IntRange(0, 1).Draw(t, "planner")
	o.snapshots[p] = append([]slot(nil), o.slots...)
}

// plan has a planner send one of its orders, after the engine's report.
func (o *planners) plan(t *rapid.T) {
	list := o.snapshots[rapid.IntRange(0, 1).Draw(t, "planner")]
	var engines []layout.Engine
	for _, s := range list {
		engines = append(engines, layout.Engine{ID: s.id, Centre: "c", Card: s.card, Held: s.held})
	}
	due := layout.Plan(o.model, engines)
	if len(due) == 0 {
		return
	}
	d := due[rapid.IntRange(0, len(due)-1).Draw(t, "order")]
	for at, s := range list {
		if now := o.slots[at]; s.id == d.ID && now.held == s.held {
			o.pending = append(o.pending, pendingOrder{slot: at, engine: s.id, layers: d.Layers, expectedOrders: now.orders, plannedFrom: now.held})
		}
	}
}

// deliver carries out an order, perhaps long after newer ones.
func (o *planners) deliver(t *rapid.T) {
	if len(o.pending) == 0 {
		t.Skip("nothing on its way")
	}
	n := rapid.IntRange(0, len(o.pending)-1).Draw(t, "letter")
	l := o.pending[n]
	o.pending = append(o.pending[:n:n], o.pending[n+1:]...)
	s := &o.slots[l.slot]
	if s.id != l.engine || s.orders != l.expectedOrders {
		return
	}
	if float64(l.layers.Len())*o.model.LayerMB > s.card.MemoryMB {
		t.Fatalf("got %s for a card of %.0f MB, want what it holds", l.layers, s.card.MemoryMB)
	}
	if s.held != l.plannedFrom {
		t.Fatalf("got an order that undoes %s, given for an engine with %s", s.held, l.plannedFrom)
	}
	s.held, s.orders = l.layers, s.orders+1
}

// replace ends an engine; another one, perhaps smaller, gets its address.
func (o *planners) replace(t *rapid.T) {
	at := rapid.IntRange(0, len(o.slots)-1).Draw(t, "address")
	o.slots[at] = slot{id: o.newID(), card: rapid.SampledFrom(cards).Draw(t, "card")}
}

// Two planners, one of which believes that it still has the duty, plan from
// lists of different age. Orders come late, in any order or never, and addresses
// go to other engines meanwhile. No engine is told to hold more than it can, and
// no order undoes what an engine was told after its planner had asked it.
func TestLateOrdersUndoNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := &planners{t: t, model: model()}
		for range rapid.IntRange(6, 14).Draw(t, "engines") {
			o.slots = append(o.slots, slot{id: o.newID(), card: rapid.SampledFrom(cards).Draw(t, "card")})
		}
		t.Repeat(map[string]func(*rapid.T){"read": o.refresh, "plan": o.plan, "deliver": o.deliver, "replace": o.replace})
	})
}
