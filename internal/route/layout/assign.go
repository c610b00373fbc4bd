package layout

import (
	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
)

// model is a model with the KV memory, in tokens, that an engine must at least have
// free behind its layers.
type model struct {
	*site.Model
	minTokens float64
}

// withMinTokens sets the minimum for the given engines. If their memory doesn't
// suffice for several concurrent requests, the minimum is one request.
func withMinTokens(m *site.Model, engines []Engine) model {
	out := model{Model: m, minTokens: minConcurrentRequests * typicalTokens(m)}
	if !fitsModel(out, engines, out.minTokens) {
		out.minTokens = typicalTokens(m)
	}
	return out
}

// layersThatFit returns how many layers a card holds beside KV memory for that many
// tokens.
func layersThatFit(m model, card site.Card, tokens float64) int {
	return min(m.Layers, int(card.MemoryMB/(m.LayerMB+tokens*m.TokenLayerMB())))
}

// fitsModel reports whether engines together hold all layers beside KV memory for that
// many tokens.
func fitsModel(m model, engines []Engine, tokens float64) bool {
	sum := 0
	for _, e := range engines {
		sum += layersThatFit(m, e.Card, tokens)
	}
	return sum >= m.Layers
}

const (
	// maxSearchTokens is the upper bound of the search for the KV memory of a chain in
	// tokens, far above that of any card.
	maxSearchTokens = 1e8
	// bisectionSteps is the number of halvings that find it to within a token.
	bisectionSteps = 27
)

// maxChainTokens returns the most tokens of KV memory beside which engines together
// hold all layers; zero if they don't hold them all.
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

// assignLayers splits all layers among the engines of a chain so that the engine with
// the least KV memory has as much as possible. It doesn't round shares in proportion
// to memory: a card of 14 GB that gets 7 layers of 1.75 GB instead of 6 has half the
// KV memory, which then limits the whole chain. Surplus layers are taken off the
// slowest engine.
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

// slowestEngine returns the engine of a chain in whose layers a request spends most
// time.
func slowestEngine(m model, chain []Engine, counts []int) int {
	slowest, maxMs := 0, -1.0
	for i, n := range counts {
		if ms := float64(n) * layerTime(m.Model, chain[i].Card); n > 0 && ms > maxMs {
			slowest, maxMs = i, ms
		}
	}
	return slowest
}
