// Package layout decides which layers each engine of a service holds.
//
// It imports base/site and base/spec. The instance that holds the planning lease asks
// it for orders. It does no I/O and reads no clock.
//
// Engines that together hold all layers serve requests. Activations between data
// centres are slow and charged for, so each data centre is planned separately if its
// engines suffice. A placement is rated by how many typical requests per second its
// engines carry with all of them and with any one lost (rate.go, placement.go). That
// depends on the KV memory behind the layer that has least, and on how long requests
// hold it. A placement for engines that hold nothing (initial.go) is made once; losses
// are repaired engine by engine (repair.go).
package layout

import (
	"slices"
	"sort"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
)

// Engine is an engine to plan for.
type Engine struct {
	ID     spec.UpstreamID
	Centre spec.DataCentre
	Card   site.Card
	Held   spec.Layers
	// Loading is set while the engine still loads the layers in Held.
	Loading bool
}

// Order lists the layers that one engine has to hold.
type Order struct {
	ID     spec.UpstreamID
	Layers spec.Layers
}

// Plan returns the load orders that are due. If no engine holds layers yet, it is a
// complete placement; otherwise each empty engine gets a range. Engines that hold
// layers keep them, unless their data centre lacks layers or gains much by one move.
func Plan(m *site.Model, engines []Engine) []Order {
	if m.Layers <= 0 || m.LayerMB <= 0 {
		return nil
	}
	var orders []Order
	sized := withMinTokens(m, engines)
	for _, group := range planningGroups(sized, engines) {
		if slices.ContainsFunc(group, func(e Engine) bool { return e.Held.Len() > 0 }) {
			orders = append(orders, diffOrders(group, repair(sized, group))...)
		} else {
			orders = append(orders, diffOrders(group, placeAll(sized, group))...)
		}
	}
	return orders
}

// planningGroups returns the groups of engines that are planned together, the fastest
// engines first: one group for each data centre with enough memory for the model, and
// one for all other engines.
func planningGroups(m model, engines []Engine) [][]Engine {
	sorted := append([]Engine(nil), engines...)
	sort.Slice(sorted, func(i, j int) bool { return faster(sorted[i], sorted[j]) })
	var centres []spec.DataCentre
	byCentre := map[spec.DataCentre][]Engine{}
	for _, e := range sorted {
		if byCentre[e.Centre] == nil {
			centres = append(centres, e.Centre)
		}
		byCentre[e.Centre] = append(byCentre[e.Centre], e)
	}
	slices.Sort(centres)
	var out [][]Engine
	separate := map[spec.DataCentre]bool{}
	for _, c := range centres {
		if fitsModel(m, byCentre[c], m.minTokens) {
			out, separate[c] = append(out, byCentre[c]), true
		}
	}
	remaining := slices.DeleteFunc(sorted, func(e Engine) bool { return separate[e.Centre] })
	if len(remaining) > 0 {
		out = append(out, remaining)
	}
	return out
}

func faster(a, b Engine) bool {
	if a.Card.StepFactor != b.Card.StepFactor {
		return a.Card.StepFactor < b.Card.StepFactor
	}
	return a.ID < b.ID
}

// diffOrders returns the orders that turn one placement into another.
func diffOrders(before, after []Engine) []Order {
	held := map[spec.UpstreamID]spec.Layers{}
	for _, e := range before {
		held[e.ID] = e.Held
	}
	var out []Order
	for _, e := range after {
		if e.Held != held[e.ID] && e.Held.Len() > 0 {
			out = append(out, Order{ID: e.ID, Layers: e.Held})
		}
	}
	return out
}
