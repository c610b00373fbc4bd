package place

// rateBound returns an upper bound on the rate of any placement. At rate r,
// each layer of model m runs demand*r times a second in total. A unit with
// memory for n layers therefore runs at most n times the largest such number,
// limited by its link and by its own speed. All units together must run what
// all layers need.
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

// maxWork returns how much work all units together can run at the rate.
func (p *problem) maxWork(rate float64) float64 {
	sum := 0.0
	for _, u := range p.units {
		sum += min(u.rate, p.unitMaxWork(u, rate))
	}
	return sum
}

// unitMaxWork returns how much work the memory and the link of a unit let it
// run at the rate. It fills the memory with the layers that have the most work.
func (p *problem) unitMaxWork(u unit, rate float64) float64 {
	free := u.memory
	sum := 0.0
	used := make([]bool, len(p.models))
	for free > 0 {
		best, topRate := -1, 0.0
		for m := range p.models {
			if d := min(rate*p.models[m].Demand, p.linkRate(u, m)); !used[m] && d > topRate {
				best, topRate = m, d
			}
		}
		if best < 0 {
			break
		}
		used[best] = true
		n := min(free, p.models[best].Depth)
		sum += float64(n) * topRate
		free -= n
	}
	return sum
}
