package place

import "fulmarwick/internal/route/domain"

// EvenSplit is the naive placement: each model is cut into the fewest equal parts
// that fit the smallest engine, and the engines take the parts in turn by
// their order, whatever their speed or link. It is the baseline of the
// measurements.
func EvenSplit(engines []*domain.Engine, models []Model) [][]domain.LoadedRange {
	p := newProblem(Throughput, engines, models)
	room := 0
	for _, u := range p.units {
		if room == 0 || u.memory < room {
			room = u.memory
		}
	}
	var parts []span
	for m, model := range models {
		n := (model.Depth + room - 1) / max(1, room)
		for i := range n {
			parts = append(parts, span{model: m, from: i * model.Depth / n, to: (i + 1) * model.Depth / n})
		}
	}
	out := make([][]domain.LoadedRange, len(engines))
	for i := range engines {
		out[i] = p.toLoadedRanges([]span{parts[i%len(parts)]})
	}
	return out
}
