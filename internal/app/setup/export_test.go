package setup

// Keys returns all sections and their keys, for the test of the documentation
// for operators.
func Keys() map[string][]string {
	out := map[string][]string{}
	for _, s := range sections {
		out[s.name] = nil
		for _, k := range s.keys {
			out[s.name] = append(out[s.name], k.name)
		}
	}
	return out
}
