package layout

import "github.com/cespare/xxhash/v2"

// maxPartEngines is the highest number of engines that are planned together. The time
// of a plan grows with the fourth power of their number.
const maxPartEngines = 48

// splitParts divides engines into parts that can each hold the model, by a digest of
// their IDs. An engine stays in its part when others come and go.
func splitParts(m model, engines []Engine) [][]Engine {
	out := [][]Engine{engines}
	for n := 2; len(engines) > maxPartEngines*n/2; n *= 2 {
		parts := make([][]Engine, n)
		for _, e := range engines {
			at := xxhash.Sum64String(string(e.ID)) % uint64(n)
			parts[at] = append(parts[at], e)
		}
		for _, part := range parts {
			if !fitsModel(m, part, m.minTokens) {
				return out
			}
		}
		out = parts
	}
	return out
}
