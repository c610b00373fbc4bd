package path

import "time"

// MaxUtilization is the part of the memory that is promised behind the layers where it
// is scarcest; 1 where no engine can be used.
func (t *Table) MaxUtilization(now time.Duration) float64 {
	part, _, _ := t.ScarcestLayer(now)
	return part
}

// ScarcestLayer is the part of the memory that is promised behind the layer where it
// is scarcest, that layer, and the tokens that are free there.
func (t *Table) ScarcestLayer(now time.Duration) (part float64, layer, free int) {
	used, limit := make([]float64, t.Model.Layers), make([]float64, t.Model.Layers)
	for _, e := range t.engines {
		n := e.upstream.Held.Layers.Len()
		if !e.usable(now) || n == 0 {
			continue
		}
		u, l := e.usage().peak()/float64(n), float64(e.capacity)/float64(n)
		for at := e.upstream.Held.Layers.From(); at < e.upstream.Held.Layers.To(); at++ {
			used[at] += u
			limit[at] += l
		}
	}
	for at := range used {
		if limit[at] <= 0 {
			return 1, at, 0
		}
		if p := used[at] / limit[at]; p > part {
			part, layer, free = p, at, int(limit[at]-used[at])
		}
	}
	return part, layer, free
}
