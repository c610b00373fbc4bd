// Package grid decides which layers each engine of a service holds.
//
// It imports base/site and base/spec. The instance that holds the duty of
// planning asks it for orders. It does no I/O and reads no clock.
//
// A chain is engines that together hold all layers. Every chain costs the
// memory of one copy of the model, and what is left holds requests, so chains
// are few; the engines of one chain get layers in proportion to their memory,
// so that none is full before the others. Chains stay inside a data centre
// where its engines suffice, since activations between data centres are slow
// and paid for.
package grid

import (
	"math"
	"sort"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
)

const (
	// wanted is the memory for requests in tokens that a chain is built for:
	// about 60 requests of usual size, twice what one chain of the smaller
	// sites carries at their peak, so that it can take over from another one.
	wanted = 60000
	// least is the memory in tokens below which a chain is not worth its copy
	// of the model: 30 requests of usual size.
	least = 28000
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

// Plan returns the orders that are due: a whole placement if no engine holds
// anything yet, else one range for each engine that is empty. Engines that hold
// something are left alone, unless layers are held by none or by too few.
func Plan(m *site.Model, engines []Engine) []Order {
	sorted := append([]Engine(nil), engines...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].ID < sorted[j].ID })
	for _, e := range sorted {
		if e.Held.Len() > 0 {
			orders := fill(m, sorted)
			orders = append(orders, rescue(m, apply(sorted, orders))...)
			if len(orders) == 0 {
				return even(m, sorted)
			}
			return orders
		}
	}
	return fresh(m, sorted)
}

// fresh places a model that no engine holds.
func fresh(m *site.Model, engines []Engine) []Order {
	rest := append([]Engine(nil), engines...)
	sort.SliceStable(rest, func(i, j int) bool { return faster(rest[i], rest[j]) })
	var orders []Order
	for _, centre := range centres(rest) {
		for _, size := range []float64{wanted, least} {
			for {
				var chain []Engine
				chain, rest = cut(m, rest, func(e Engine) bool { return e.Centre == centre }, size)
				if chain == nil {
					break
				}
				orders = append(orders, deal(m, chain)...)
			}
		}
	}
	for {
		var chain []Engine
		chain, rest = cut(m, rest, func(Engine) bool { return true }, least)
		if chain == nil {
			break
		}
		orders = append(orders, deal(m, chain)...)
	}
	return append(orders, fill(m, apply(engines, orders))...)
}

func faster(a, b Engine) bool {
	if a.Card.Pace != b.Card.Pace {
		return a.Card.Pace < b.Card.Pace
	}
	return a.ID < b.ID
}

func centres(engines []Engine) []spec.DataCentre {
	seen := map[spec.DataCentre]bool{}
	var out []spec.DataCentre
	for _, e := range engines {
		if !seen[e.Centre] {
			seen[e.Centre] = true
			out = append(out, e.Centre)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// cut takes the first engines that hold a whole model with memory for so many
// tokens out of all; chain is nil if they do not suffice.
func cut(m *site.Model, all []Engine, in func(Engine) bool, tokens float64) (chain, rest []Engine) {
	need := float64(m.Layers) * (m.LayerMB + tokens*m.CellMB())
	got := 0.0
	for i, e := range all {
		if got >= need || !in(e) {
			rest = append(rest, all[i])
			continue
		}
		chain = append(chain, e)
		got += e.Card.MB
	}
	if got < need {
		return nil, all
	}
	return chain, rest
}

// deal splits all layers among the engines of a chain in proportion to their
// memory.
func deal(m *site.Model, chain []Engine) []Order {
	total := 0.0
	for _, e := range chain {
		total += e.Card.MB
	}
	var orders []Order
	from, sum := 0, 0.0
	for i, e := range chain {
		sum += e.Card.MB
		to := int(math.Round(float64(m.Layers) * sum / total))
		if i == len(chain)-1 {
			to = m.Layers
		}
		to = min(to, from+m.Most(e.Card))
		orders = append(orders, Order{ID: e.ID, Layers: spec.NewLayers(from, to)})
		from = to
	}
	return orders
}

func apply(engines []Engine, orders []Order) []Engine {
	held := map[spec.UpstreamID]spec.Layers{}
	for _, o := range orders {
		held[o.ID] = o.Layers
	}
	out := append([]Engine(nil), engines...)
	for i := range out {
		if l, ok := held[out[i].ID]; ok {
			out[i].Held = l
		}
	}
	return out
}

// fill gives each empty engine the range that is held worst.
func fill(m *site.Model, engines []Engine) []Order {
	all := append([]Engine(nil), engines...)
	var orders []Order
	for i := range all {
		if all[i].Held.Len() > 0 {
			continue
		}
		n := size(m, all[i].Card)
		if n == 0 {
			continue
		}
		all[i].Held = weakest(m, all, all[i].Centre, n)
		orders = append(orders, Order{ID: all[i].ID, Layers: all[i].Held})
	}
	return orders
}

// size is how many layers a card takes beside the memory wanted for requests.
func size(m *site.Model, c site.Card) int {
	return min(m.Layers, int(math.Round(c.MB/(m.LayerMB+wanted*m.CellMB()))))
}

// weakest is the range of n layers that the engines hold worst: those layers
// first that none holds, then those with the least memory for requests, those
// of the own data centre counted twice.
func weakest(m *site.Model, all []Engine, centre spec.DataCentre, n int) spec.Layers {
	weak := make([]float64, m.Layers)
	for l := range weak {
		weak[l] = weakness(m, all, centre, l)
	}
	return heaviest(weak, n)
}

// heaviest is the range of n layers with the greatest sum of weights, the first
// of several.
func heaviest(weights []float64, n int) spec.Layers {
	best, at := -1.0, 0
	for from := 0; from+n <= len(weights); from++ {
		sum := 0.0
		for _, w := range weights[from : from+n] {
			sum += w
		}
		// Sums of the same layers in another order differ in the last digits.
		if sum > best*(1+1e-9) {
			best, at = sum, from
		}
	}
	return spec.NewLayers(at, at+n)
}

// tokens is what a card holds of requests behind each of so many layers.
func tokens(m *site.Model, c site.Card, layers int) float64 {
	if layers == 0 {
		return 0
	}
	return float64(m.Cells(c, layers)) / float64(layers)
}

func weakness(m *site.Model, all []Engine, centre spec.DataCentre, layer int) float64 {
	held, near := 0.0, 0.0
	for _, e := range all {
		if !e.Held.Has(layer) {
			continue
		}
		t := tokens(m, e.Card, e.Held.Len())
		held += t
		if e.Centre == centre {
			near += t
		}
	}
	return wanted/(held+1) + wanted/(near+wanted)
}
