package grid

import (
	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
)

// rescue has engines take layers that none holds. Only engines of which others
// hold every layer as well are moved, those first that weaken the rest least:
// while a layer is missing nothing can be served at all.
func rescue(m *site.Model, engines []Engine) []Order {
	all := append([]Engine(nil), engines...)
	var orders []Order
	for range all {
		gap := missing(m, all)
		at := spareEngine(m, all)
		if gap < 0 || at < 0 {
			return orders
		}
		n := size(m, all[at].Card)
		from := min(gap, m.Layers-n)
		all[at].Held = spec.NewLayers(from, from+n)
		orders = append(orders, Order{ID: all[at].ID, Layers: all[at].Held})
	}
	return orders
}

// missing is the first layer that no engine holds, -1 if there is none.
func missing(m *site.Model, all []Engine) int {
	for l := range m.Layers {
		held := false
		for _, e := range all {
			held = held || e.Held.Has(l)
		}
		if !held {
			return l
		}
	}
	return -1
}

// spareEngine is the engine behind whose layers the others have most memory;
// -1 if each is the only one to hold some layer.
func spareEngine(m *site.Model, all []Engine) int {
	best, at := 0.0, -1
	for i, e := range all {
		if e.Held.Len() == 0 || size(m, e.Card) == 0 {
			continue
		}
		if left := without(m, all, i); left > best {
			best, at = left, i
		}
	}
	return at
}

// without is the memory in tokens behind the weakest layer of an engine if it
// is gone.
func without(m *site.Model, all []Engine, i int) float64 {
	least := -1.0
	for l := all[i].Held.From(); l < all[i].Held.To(); l++ {
		rest := 0.0
		for k, e := range all {
			if k != i && e.Held.Has(l) {
				rest += tokens(m, e.Card, e.Held.Len())
			}
		}
		if least < 0 || rest < least {
			least = rest
		}
	}
	return least
}
