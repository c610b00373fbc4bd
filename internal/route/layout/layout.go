// Package layout decides which layers each engine of a service holds.
//
// It imports base/site and base/spec. The instance that holds the duty of
// planning asks it for orders. It does no I/O and reads no clock.
//
// Engines that together hold all layers carry requests. Activations between
// data centres are slow and paid for, so each data centre is planned by itself
// where its engines suffice. What counts is the rate of usual requests that
// engines carry when any one of them is gone (rate.go, area.go): memory behind
// the poorest layer over the time for which requests hold it. A whole placement
// (fresh.go) is made once; losses are mended engine by engine (mend.go).
package layout

import (
	"slices"
	"sort"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
)

// Engine is an engine to be planned for.
type Engine struct {
	ID     spec.UpstreamID
	Centre spec.DataCentre
	Card   site.Card
	Held   spec.Layers
	// Loading is set while what it holds was ordered and is not there yet.
	Loading bool
}

// Order tells one engine which layers to hold.
type Order struct {
	ID     spec.UpstreamID
	Layers spec.Layers
}

// Plan returns the orders that are due: a whole placement where no engine holds
// anything yet, else a range for each engine that is empty. Engines that hold
// something are left alone, unless their data centre lacks layers or gains much
// by one move.
func Plan(m *site.Model, engines []Engine) []Order {
	if m.Layers <= 0 || m.LayerMB <= 0 {
		return nil
	}
	var orders []Order
	all := withMinTokens(m, engines)
	for _, near := range planningGroups(all, engines) {
		if slices.ContainsFunc(near, func(e Engine) bool { return e.Held.Len() > 0 }) {
			orders = append(orders, diffOrders(near, repair(all, near))...)
		} else {
			orders = append(orders, diffOrders(near, placeAll(all, near))...)
		}
	}
	return orders
}

// planningGroups are the engines that are planned together, the fastest first: those of
// each data centre that has memory for the model, and all others.
func planningGroups(m model, engines []Engine) [][]Engine {
	sorted := append([]Engine(nil), engines...)
	sort.Slice(sorted, func(i, j int) bool { return faster(sorted[i], sorted[j]) })
	var centres []spec.DataCentre
	by := map[spec.DataCentre][]Engine{}
	for _, e := range sorted {
		if by[e.Centre] == nil {
			centres = append(centres, e.Centre)
		}
		by[e.Centre] = append(by[e.Centre], e)
	}
	slices.Sort(centres)
	var out [][]Engine
	alone := map[spec.DataCentre]bool{}
	for _, c := range centres {
		if fitsModel(m, by[c], m.minTokens) {
			out, alone[c] = append(out, by[c]), true
		}
	}
	rest := slices.DeleteFunc(sorted, func(e Engine) bool { return alone[e.Centre] })
	if len(rest) > 0 {
		out = append(out, rest)
	}
	return out
}

func faster(a, b Engine) bool {
	if a.Card.StepFactor != b.Card.StepFactor {
		return a.Card.StepFactor < b.Card.StepFactor
	}
	return a.ID < b.ID
}

// diffOrders are the orders that turn one placement into another.
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
