package place

import "slices"

// match gives the parts of a layout to those units of the same make that hold
// most of them already, so that a fresh layout costs few loads.
func (p *problem) match(now, fresh layout) layout {
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
			if !done[k] && alike(p.units[i], p.units[k]) {
				same = append(same, k)
				done[k] = true
			}
		}
		assign(now, fresh, out, same)
	}
	return out
}

// alike units can take each other's place.
func alike(a, b unit) bool {
	return !a.fixed && !b.fixed && a.rate == b.rate && a.link == b.link && a.memory == b.memory
}

// pair is a unit and a part of the fresh layout with the layers it has of it.
type pair struct {
	unit, part int
	kept       int
}

func assign(now, fresh, out layout, same []int) {
	var pairs []pair
	for _, u := range same {
		for _, part := range same {
			kept := 0
			for _, s := range fresh[part] {
				kept += common(now[u], s)
			}
			pairs = append(pairs, pair{unit: u, part: part, kept: kept})
		}
	}
	slices.SortStableFunc(pairs, func(a, b pair) int { return b.kept - a.kept })
	units, parts := map[int]bool{}, map[int]bool{}
	for _, pr := range pairs {
		if !units[pr.unit] && !parts[pr.part] {
			units[pr.unit], parts[pr.part] = true, true
			out[pr.unit] = fresh[pr.part]
		}
	}
}
