package setup

// Keys lists the sections and keys that a file may have, for the test of the
// operators' page.
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
