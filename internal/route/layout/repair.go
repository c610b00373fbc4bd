package layout

import (
	"slices"

	"fulmarwick/internal/base/spec"
)

// minMoveGain is the factor by which the rate must grow for an engine that serves to
// be moved. While it loads, for a second or two, it serves nothing, and another loss
// in the data centre at that time would undo the gain.
const minMoveGain = 1.15

// repair returns the placement of engines of which some hold layers, with as few
// changes as possible. Empty engines take the ranges with the highest score. If layers
// are still missing, spare engines take them. Otherwise the one move with a large gain
// is made, unless an engine is loading: the gain from its layers isn't there yet.
func repair(m model, engines []Engine) []Engine {
	parts := splitParts(m, engines)
	var out []Engine
	for _, part := range parts {
		out = append(out, placeEmpty(m, part)...)
	}
	if gap := firstMissingRange(m, out); gap.Len() > 0 {
		out = coverMissing(m, out)
	}
	if len(diffOrders(engines, out)) > 0 || slices.ContainsFunc(engines, func(e Engine) bool { return e.Loading }) {
		return out
	}
	for _, part := range parts {
		if moved := bestMove(m, part); len(diffOrders(part, moved)) > 0 {
			return moved
		}
	}
	return engines
}

// placeEmpty places the engines that hold nothing beside those that hold layers.
func placeEmpty(m model, engines []Engine) []Engine {
	var held, empty []Engine
	for _, e := range engines {
		if e.Held.Len() > 0 {
			held = append(held, e)
		} else {
			empty = append(empty, e)
		}
	}
	if len(empty) == 0 {
		return engines
	}
	p := newPlacement(m, held, maxChainRate(m, engines))
	for _, e := range empty {
		p.place(e)
	}
	return p.engines
}

// firstMissingRange returns the first range of layers that no engine holds.
func firstMissingRange(m model, engines []Engine) spec.Layers {
	from := 0
	for from < m.Layers && countHolders(engines, from) > 0 {
		from++
	}
	to := from
	for to < m.Layers && countHolders(engines, to) == 0 {
		to++
	}
	return spec.NewLayers(from, to)
}

// coverMissing gives missing layers to spare engines, whose own layers are all held by
// others: without the missing layers, no request can be served in the data centre. If
// the spares don't suffice, nothing is moved.
func coverMissing(m model, engines []Engine) []Engine {
	out := append([]Engine(nil), engines...)
	for range out {
		gap := firstMissingRange(m, out)
		if gap.Len() == 0 {
			return out
		}
		at := bestSpare(m, out, gap.Len())
		if at < 0 {
			break
		}
		out[at].Held = spec.NewLayers(gap.From(), gap.From()+min(gap.Len(), layersThatFit(m, out[at].Card, m.minTokens)))
	}
	return engines
}

// bestSpare returns the spare engine that covers most of a gap, or -1 if there is
// none. Of several, it prefers the slowest, which serves least with its present
// layers.
func bestSpare(m model, engines []Engine, gapLen int) int {
	spare, maxCovered := -1, 0
	for i, e := range engines {
		n := min(gapLen, layersThatFit(m, e.Card, m.minTokens))
		if n == 0 || n < maxCovered || e.Loading || !isSpare(engines, i) {
			continue
		}
		if n > maxCovered || e.Card.StepFactor > engines[spare].Card.StepFactor {
			spare, maxCovered = i, n
		}
	}
	return spare
}

// isSpare reports whether other engines hold every layer of an engine.
func isSpare(engines []Engine, i int) bool {
	held := engines[i].Held
	for l := held.From(); l < held.To(); l++ {
		if countHolders(engines, l) < 2 {
			return false
		}
	}
	return held.Len() > 0
}

// bestMove moves the one spare engine that raises the rate most, if this doesn't
// reduce the KV memory behind the layer that has least.
func bestMove(m model, engines []Engine) []Engine {
	bestRate, at, to := minMoveGain*Rate(m.Model, engines), -1, spec.Layers{}
	minTokens := minLayerTokens(m, engines)
	for i, e := range engines {
		if !isSpare(engines, i) {
			continue
		}
		others := withoutEngine(engines, i)
		for _, held := range candidateRanges(m, others, e.Card) {
			e.Held = held
			moved := slices.Concat(others, []Engine{e})
			if r := Rate(m.Model, moved); r > bestRate && minLayerTokens(m, moved) >= minTokens {
				bestRate, at, to = r, i, held
			}
		}
	}
	if at < 0 {
		return engines
	}
	out := append([]Engine(nil), engines...)
	out[at].Held = to
	return out
}

// minLayerTokens returns the KV memory in tokens behind the layer that has least.
func minLayerTokens(m model, engines []Engine) float64 {
	tokens := make([]float64, m.Layers)
	for _, e := range engines {
		for l := e.Held.From(); l < e.Held.To(); l++ {
			tokens[l] += float64(m.KVCapacity(e.Card, e.Held.Len())) / float64(e.Held.Len())
		}
	}
	return slices.Min(tokens)
}
