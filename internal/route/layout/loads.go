package layout

import (
	"slices"

	"fulmarwick/internal/base/site"
)

// LimitLoads returns the orders that may be sent now: no more engines may load at once
// than can load at full speed. Additional loads would share that speed, and none of
// them would end before all do. Layers that no engine holds or loads come first, then
// engines that hold nothing.
func LimitLoads(m *site.Model, engines []Engine, orders []Order) []Order {
	if m.MaxParallelLoads <= 0 {
		return orders
	}
	free := m.MaxParallelLoads
	for _, e := range engines {
		if e.Loading {
			free--
		}
	}
	out := slices.Clone(orders)
	slices.SortStableFunc(out, func(a, b Order) int { return urgency(engines, b) - urgency(engines, a) })
	return out[:min(max(0, free), len(out))]
}

// Urgency of orders, the least urgent first.
const (
	urgencyMove = iota
	urgencyEmpty
	urgencyMissing
)

// urgency returns the urgency of an order.
func urgency(engines []Engine, o Order) int {
	for l := o.Layers.From(); l < o.Layers.To(); l++ {
		if countHolders(engines, l) == 0 {
			return urgencyMissing
		}
	}
	if slices.ContainsFunc(engines, func(e Engine) bool { return e.ID == o.ID && e.Held.Len() == 0 }) {
		return urgencyEmpty
	}
	return urgencyMove
}
