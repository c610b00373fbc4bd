package place

// rateBound is a rate that no placement can pass. At rate r a layer of model m is
// run demand*r times a second, by whoever holds it: a unit with room for n
// layers so runs at most n times the largest such number, never more than its
// link brings, and never more than its own speed. What all units run so must
// be what all layers need.
func (p *problem) rateBound() float64 {
	if p.cachedBound < 0 {
		p.cachedBound = p.computeRateBound()
	}
	return p.cachedBound
}

func (p *problem) computeRateBound() float64 {
	work := 0.0
	for _, m := range p.models {
		work += m.Demand * float64(m.Depth)
	}
	if work <= 0 {
		return 0
	}
	high := 0.0
	for _, u := range p.units {
		high += u.rate
	}
	high /= work
	low := 0.0
	for range 100 {
		mid := (low + high) / 2
		if p.maxWork(mid) >= mid*work {
			low = mid
		} else {
			high = mid
		}
	}
	return high
}

// maxWork is what all units can run at the rate.
func (p *problem) maxWork(rate float64) float64 {
	sum := 0.0
	for _, u := range p.units {
		sum += min(u.rate, p.unitMaxWork(u, rate))
	}
	return sum
}

// unitMaxWork is what the unit's memory lets it run: the layers with the most to do
// first.
func (p *problem) unitMaxWork(u unit, rate float64) float64 {
	left := u.memory
	sum := 0.0
	used := make([]bool, len(p.models))
	for left > 0 {
		best, top := -1, 0.0
		for m := range p.models {
			if d := min(rate*p.models[m].Demand, p.linkRate(u, m)); !used[m] && d > top {
				best, top = m, d
			}
		}
		if best < 0 {
			break
		}
		used[best] = true
		n := min(left, p.models[best].Depth)
		sum += float64(n) * top
		left -= n
	}
	return sum
}
