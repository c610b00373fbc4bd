package place

import "slices"

// matchUnits gives the parts of a layout to those units of the same make that hold
// most of them already, so that a fresh layout costs few loads.
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
		var same []int
		for k := i; k < len(p.units); k++ {
			if !done[k] && interchangeable(p.units[i], p.units[k]) {
				same = append(same, k)
				done[k] = true
			}
		}
		assignParts(now, fresh, out, same)
	}
	return out
}

// interchangeable units can take each other's place.
func interchangeable(a, b unit) bool {
	return !a.fixed && !b.fixed && a.rate == b.rate && a.linkBandwidth == b.linkBandwidth && a.memory == b.memory
}

// pair is a unit and a part of the fresh layout with the layers it has of it.
type pair struct {
	unit, part int
	keptLayers int
}

func assignParts(now, fresh, out layout, same []int) {
	var pairs []pair
	for _, u := range same {
		for _, part := range same {
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
