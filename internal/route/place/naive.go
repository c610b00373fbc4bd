package place

import "fulmarwick/internal/route/domain"

// EvenSplit is a naive placement that serves as the baseline of benchmarks. It
// splits each model into the fewest equal parts that fit the smallest engine
// and assigns the parts to the engines round-robin, regardless of speed and
// links.
func EvenSplit(engines []*domain.Engine, models []Model) [][]domain.LoadedRange {
	p := newProblem(Throughput, engines, models)
	minMemory := 0
	for _, u := range p.units {
		if minMemory == 0 || u.memory < minMemory {
			minMemory = u.memory
		}
	}
	var parts []span
	for m, model := range models {
		n := (model.Depth + minMemory - 1) / max(1, minMemory)
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
