package path

import "time"

// MaxUtilization returns the share of the KV memory that is promised behind the
// scarcest layer; 1 if a layer has no usable engine.
func (t *Table) MaxUtilization(now time.Duration) float64 {
	share, _, _ := t.ScarcestLayer(now)
	return share
}

// ScarcestLayer returns the share of the KV memory that is promised behind the layer
// with the highest share, that layer, and the tokens that are free there.
func (t *Table) ScarcestLayer(now time.Duration) (share float64, layer, free int) {
	used, limit := make([]float64, t.Model.Layers), make([]float64, t.Model.Layers)
	for _, e := range t.engines {
		n := e.upstream.Held.Layers.Len()
		if !t.usable(now, e) || n == 0 {
			continue
		}
		usage, capacity := e.usageAt(now).peak()/float64(n), float64(e.capacity)/float64(n)
		held := e.upstream.Held.Layers.Within(t.Model.Layers)
		for at := held.From(); at < held.To(); at++ {
			used[at] += usage
			limit[at] += capacity
		}
	}
	for at := range used {
		if limit[at] <= 0 {
			return 1, at, 0
		}
		if p := used[at] / limit[at]; p > share {
			share, layer, free = p, at, int(limit[at]-used[at])
		}
	}
	return share, layer, free
}
