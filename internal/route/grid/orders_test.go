package grid_test

import (
	"fmt"
	"testing"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/grid"

	"pgregory.net/rapid"
)

// slot is an address with the engine that has it now.
type slot struct {
	id     spec.UpstreamID
	card   site.Card
	held   spec.Layers
	orders int
}

// letter is an order on its way to an address.
type letter struct {
	at     int
	engine spec.UpstreamID
	layers spec.Layers
	expect int
	// saw is what its planner was told that the engine held.
	saw spec.Layers
}

// orders are two planners, the list that each has read, and what is on its way.
type orders struct {
	t     *rapid.T
	model *site.Model
	slots []slot
	lists [2][]slot
	mail  []letter
	born  int
}

func (o *orders) name() spec.UpstreamID {
	o.born++
	return spec.UpstreamID(fmt.Sprintf("i%02d", o.born))
}

// read has one planner read the list; the other's stays as old as it is.
func (o *orders) read(t *rapid.T) {
	p := rapid.IntRange(0, 1).Draw(t, "planner")
	o.lists[p] = append([]slot(nil), o.slots...)
}

// plan has a planner send one of its orders, after the engine's report.
func (o *orders) plan(t *rapid.T) {
	list := o.lists[rapid.IntRange(0, 1).Draw(t, "planner")]
	var engines []grid.Engine
	for _, s := range list {
		engines = append(engines, grid.Engine{ID: s.id, Centre: "c", Card: s.card, Held: s.held})
	}
	due := grid.Plan(o.model, engines)
	if len(due) == 0 {
		return
	}
	d := due[rapid.IntRange(0, len(due)-1).Draw(t, "order")]
	for at, s := range list {
		if now := o.slots[at]; s.id == d.ID && now.held == s.held {
			o.mail = append(o.mail, letter{at: at, engine: s.id, layers: d.Layers, expect: now.orders, saw: now.held})
		}
	}
}

// deliver carries out an order, perhaps long after newer ones.
func (o *orders) deliver(t *rapid.T) {
	if len(o.mail) == 0 {
		t.Skip("nothing on its way")
	}
	n := rapid.IntRange(0, len(o.mail)-1).Draw(t, "letter")
	l := o.mail[n]
	o.mail = append(o.mail[:n:n], o.mail[n+1:]...)
	s := &o.slots[l.at]
	if s.id != l.engine || s.orders != l.expect {
		return
	}
	if float64(l.layers.Len())*o.model.LayerMB > s.card.MB {
		t.Fatalf("got %s for a card of %.0f MB, want what it holds", l.layers, s.card.MB)
	}
	if s.held != l.saw {
		t.Fatalf("got an order that undoes %s, given for an engine with %s", s.held, l.saw)
	}
	s.held, s.orders = l.layers, s.orders+1
}

// replace ends an engine; another one, perhaps smaller, gets its address.
func (o *orders) replace(t *rapid.T) {
	at := rapid.IntRange(0, len(o.slots)-1).Draw(t, "address")
	o.slots[at] = slot{id: o.name(), card: rapid.SampledFrom(cards).Draw(t, "card")}
}

// Two planners, one of which believes that it still has the duty, plan from
// lists of different age. Orders come late, in any order or never, and addresses
// go to other engines meanwhile. No engine is told to hold more than it can, and
// no order undoes what an engine was told after its planner had asked it.
func TestLateOrdersUndoNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := &orders{t: t, model: model()}
		for range rapid.IntRange(6, 14).Draw(t, "engines") {
			o.slots = append(o.slots, slot{id: o.name(), card: rapid.SampledFrom(cards).Draw(t, "card")})
		}
		t.Repeat(map[string]func(*rapid.T){"read": o.read, "plan": o.plan, "deliver": o.deliver, "replace": o.replace})
	})
}
