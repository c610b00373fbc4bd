package grid

import (
	"slices"

	"fulmarwick/internal/base/spec"
)

// moveGain is how many times the rate must grow by a move of an engine that
// serves: while it loads, for a second or two, it serves nothing, and one more
// loss nearby would undo the gain.
const moveGain = 1.15

// mend returns how the engines of an area, some of which hold layers, should
// hold them, those that change at least: empty ones take what is worth most; where
// layers are missing still, spare engines take these; else the one move is made that
// gains much, unless an engine loads: what that brings is not there yet.
func mend(m model, engines []Engine) []Engine {
	parts := split(m, engines)
	var out []Engine
	for _, part := range parts {
		out = append(out, fill(m, part)...)
	}
	if gap := missing(m, out); gap.Len() > 0 {
		out = cover(m, out)
	}
	if len(changes(engines, out)) > 0 || slices.ContainsFunc(engines, func(e Engine) bool { return e.Loading }) {
		return out
	}
	for _, part := range parts {
		if moved := improve(m, part); len(changes(part, moved)) > 0 {
			return moved
		}
	}
	return engines
}

// fill places the engines that hold nothing beside those that do.
func fill(m model, engines []Engine) []Engine {
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
	a := survey(m, held, topRate(m, engines))
	for _, e := range empty {
		a.add(e)
	}
	return a.engines
}

// missing is the first range of layers that no engine holds.
func missing(m model, engines []Engine) spec.Layers {
	from := 0
	for from < m.Layers && holders(engines, from) > 0 {
		from++
	}
	to := from
	for to < m.Layers && holders(engines, to) == 0 {
		to++
	}
	return spec.NewLayers(from, to)
}

// cover has engines of which others hold every layer take the layers that none
// holds: without them no request is served here at all. Nothing is moved where
// that does not suffice.
func cover(m model, engines []Engine) []Engine {
	out := append([]Engine(nil), engines...)
	for range out {
		gap := missing(m, out)
		if gap.Len() == 0 {
			return out
		}
		at := widest(m, out, gap.Len())
		if at < 0 {
			break
		}
		out[at].Held = spec.NewLayers(gap.From(), gap.From()+min(gap.Len(), fit(m, out[at].Card, m.least)))
	}
	return engines
}

// widest is the spare engine that covers most of a gap, of several the slowest,
// which serves least where it is; -1 if there is none.
func widest(m model, engines []Engine, gap int) int {
	at, most := -1, 0
	for i, e := range engines {
		n := min(gap, fit(m, e.Card, m.least))
		if n == 0 || n < most || e.Loading || !spare(engines, i) {
			continue
		}
		if n > most || e.Card.Pace > engines[at].Card.Pace {
			at, most = i, n
		}
	}
	return at
}

// spare reports whether others hold every layer of an engine.
func spare(engines []Engine, i int) bool {
	held := engines[i].Held
	for l := held.From(); l < held.To(); l++ {
		if holders(engines, l) < 2 {
			return false
		}
	}
	return held.Len() > 0
}

// improve moves the one spare engine by which the rate grows most, if that
// leaves no less room behind the poorest layer.
func improve(m model, engines []Engine) []Engine {
	best, at, to := moveGain*Rate(m.Model, engines), -1, spec.Layers{}
	poorest := poorestLayer(m, engines)
	for i, e := range engines {
		if !spare(engines, i) {
			continue
		}
		others := except(engines, i)
		for _, held := range places(m, others, e.Card) {
			e.Held = held
			with := slices.Concat(others, []Engine{e})
			if r := Rate(m.Model, with); r > best && poorestLayer(m, with) >= poorest {
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

// poorestLayer is the memory in tokens behind the layer that has least.
func poorestLayer(m model, engines []Engine) float64 {
	tokens := make([]float64, m.Layers)
	for _, e := range engines {
		for l := e.Held.From(); l < e.Held.To(); l++ {
			tokens[l] += float64(m.Cells(e.Card, e.Held.Len())) / float64(e.Held.Len())
		}
	}
	return slices.Min(tokens)
}
