package layout

import (
	"slices"

	"fulmarwick/internal/base/spec"
)

// minMoveGain is how many times the rate must grow by a move of an engine that
// serves: while it loads, for a second or two, it serves nothing, and one more
// loss nearby would undo the gain.
const minMoveGain = 1.15

// repair returns how the engines of an area, some of which hold layers, should
// hold them, those that change at least: empty ones take what is worth most; where
// layers are missing still, spare engines take these; else the one move is made that
// gains much, unless an engine loads: what that brings is not there yet.
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

// placeEmpty places the engines that hold nothing beside those that do.
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
	a := newPlacement(m, held, maxChainRate(m, engines))
	for _, e := range empty {
		a.place(e)
	}
	return a.engines
}

// firstMissingRange is the first range of layers that no engine holds.
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

// coverMissing has engines of which others hold every layer take the layers that none
// holds: without them no request is served here at all. Nothing is moved where
// that does not suffice.
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

// bestSpare is the spare engine that covers most of a gap, of several the slowest,
// which serves least where it is; -1 if there is none.
func bestSpare(m model, engines []Engine, gap int) int {
	at, most := -1, 0
	for i, e := range engines {
		n := min(gap, layersThatFit(m, e.Card, m.minTokens))
		if n == 0 || n < most || e.Loading || !isSpare(engines, i) {
			continue
		}
		if n > most || e.Card.StepFactor > engines[at].Card.StepFactor {
			at, most = i, n
		}
	}
	return at
}

// isSpare reports whether others hold every layer of an engine.
func isSpare(engines []Engine, i int) bool {
	held := engines[i].Held
	for l := held.From(); l < held.To(); l++ {
		if countHolders(engines, l) < 2 {
			return false
		}
	}
	return held.Len() > 0
}

// bestMove moves the one spare engine by which the rate grows most, if that
// leaves no less room behind the poorest layer.
func bestMove(m model, engines []Engine) []Engine {
	best, at, to := minMoveGain*Rate(m.Model, engines), -1, spec.Layers{}
	poorest := minLayerTokens(m, engines)
	for i, e := range engines {
		if !isSpare(engines, i) {
			continue
		}
		others := withoutEngine(engines, i)
		for _, held := range candidateRanges(m, others, e.Card) {
			e.Held = held
			with := slices.Concat(others, []Engine{e})
			if r := Rate(m.Model, with); r > best && minLayerTokens(m, with) >= poorest {
				best, at, to = r, i, held
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

// minLayerTokens is the memory in tokens behind the layer that has least.
func minLayerTokens(m model, engines []Engine) float64 {
	tokens := make([]float64, m.Layers)
	for _, e := range engines {
		for l := e.Held.From(); l < e.Held.To(); l++ {
			tokens[l] += float64(m.KVCapacity(e.Card, e.Held.Len())) / float64(e.Held.Len())
		}
	}
	return slices.Min(tokens)
}
