package place

import "slices"

// matchUnits permutes a new layout among interchangeable units. Each unit gets
// the part of which it holds the most layers already, so that the new layout
// needs few loads.
func (p *problem) matchUnits(now, fresh layout) layout {
	out := make(layout, len(fresh))
	done := make([]bool, len(fresh))
	for i := range p.units {
		if done[i] {
			continue
		}
		if p.units[i].fixed {
			out[i] = now[i]
			continue
		}
		var group []int
		for k := i; k < len(p.units); k++ {
			if !done[k] && interchangeable(p.units[i], p.units[k]) {
				group = append(group, k)
				done[k] = true
			}
		}
		assignParts(now, fresh, out, group)
	}
	return out
}

// interchangeable reports whether two units have equal resources, so that
// either can take the spans of the other.
func interchangeable(a, b unit) bool {
	return !a.fixed && !b.fixed && a.rate == b.rate && a.linkBandwidth == b.linkBandwidth && a.memory == b.memory
}

// pair is a unit with a part of the new layout and the number of layers of that
// part that the unit already holds.
type pair struct {
	unit, part int
	keptLayers int
}

func assignParts(now, fresh, out layout, group []int) {
	var pairs []pair
	for _, u := range group {
		for _, part := range group {
			kept := 0
			for _, s := range fresh[part] {
				kept += overlapLen(now[u], s)
			}
			pairs = append(pairs, pair{unit: u, part: part, keptLayers: kept})
		}
	}
	slices.SortStableFunc(pairs, func(a, b pair) int { return b.keptLayers - a.keptLayers })
	units, parts := map[int]bool{}, map[int]bool{}
	for _, pr := range pairs {
		if !units[pr.unit] && !parts[pr.part] {
			units[pr.unit], parts[pr.part] = true, true
			out[pr.unit] = fresh[pr.part]
		}
	}
}
