package layout

import "github.com/cespare/xxhash/v2"

// maxPartEngines is how many engines are planned together at most: the time of a plan
// grows with the fourth power of their number.
const maxPartEngines = 48

// splitParts divides the engines of an area into parts that hold the model each, by a
// digest of their IDs: an engine stays in its part whichever others come and go.
func splitParts(m model, area []Engine) [][]Engine {
	out := [][]Engine{area}
	for n := 2; len(area) > maxPartEngines*n/2; n *= 2 {
		parts := make([][]Engine, n)
		for _, e := range area {
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
