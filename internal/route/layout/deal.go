package layout

import (
	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
)

// model is a model with the least memory in tokens that an engine must have
// behind its layers.
type model struct {
	*site.Model
	minTokens float64
}

// withMinTokens is a model for engines to be planned. Where they have no memory for a
// few requests at a time, one is better than none.
func withMinTokens(m *site.Model, engines []Engine) model {
	out := model{Model: m, minTokens: minConcurrentRequests * typicalTokens(m)}
	if !fitsModel(out, engines, out.minTokens) {
		out.minTokens = typicalTokens(m)
	}
	return out
}

// layersThatFit is how many layers a card holds beside memory for so many tokens.
func layersThatFit(m model, c site.Card, tokens float64) int {
	return min(m.Layers, int(c.MemoryMB/(m.LayerMB+tokens*m.TokenLayerMB())))
}

// fitsModel reports whether engines together hold all layers beside so many tokens.
func fitsModel(m model, engines []Engine, tokens float64) bool {
	sum := 0
	for _, e := range engines {
		sum += layersThatFit(m, e.Card, tokens)
	}
	return sum >= m.Layers
}

const (
	// maxSearchTokens bounds the search for the room of a chain in tokens, far above
	// any card's; halvings then finds it to a token.
	maxSearchTokens = 1e8
	bisectionSteps  = 27
)

// maxChainTokens is the most tokens beside which engines together hold all layers; zero
// if there are none.
func maxChainTokens(m model, engines []Engine) float64 {
	low, high := 0.0, maxSearchTokens
	for range bisectionSteps {
		if mid := (low + high) / 2; fitsModel(m, engines, mid) {
			low = mid
		} else {
			high = mid
		}
	}
	return low
}

// assignLayers splits all layers among the engines of a chain so that the poorest has
// most room. Shares in proportion to memory are rounded: a card of 14 GB that
// gets 7 layers of 1.75 GB instead of 6 has half the room, and the chain no more
// than that. What is left over is taken off the engine that is slowest.
func assignLayers(m model, chain []Engine) []Engine {
	tokens := maxChainTokens(m, chain)
	counts, sum := make([]int, len(chain)), 0
	for i, e := range chain {
		counts[i] = layersThatFit(m, e.Card, tokens)
		sum += counts[i]
	}
	for ; sum > m.Layers; sum-- {
		counts[slowestEngine(m, chain, counts)]--
	}
	out := append([]Engine(nil), chain...)
	from := 0
	for i, n := range counts {
		out[i].Held = spec.NewLayers(from, from+n)
		from += n
	}
	return out
}

// slowestEngine is the engine of a chain in whose layers a request spends most time.
func slowestEngine(m model, chain []Engine, counts []int) int {
	at, most := 0, -1.0
	for i, n := range counts {
		if ms := float64(n) * layerTime(m.Model, chain[i].Card); n > 0 && ms > most {
			at, most = i, ms
		}
	}
	return at
}
