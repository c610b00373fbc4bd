package pick

import (
	"sort"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
)

// step is the best path found to a layer boundary.
type step struct {
	reachable      bool
	rank           time.Duration
	firstTokenTime time.Duration
	tokenTime      time.Duration
	// maxStepTime is the longest token time of one stage so far.
	maxStepTime time.Duration
	// maxPrefillTime is the longest first-token time of one stage so far.
	maxPrefillTime time.Duration
	prev           int
	candidate      *candidate
	lacksCapacity  bool
}

// search finds a shortest path over the layer boundaries. An engine that holds
// [from, to) may run from any boundary within the range to any later one, so
// overlapping ranges are trimmed.
func (c *selection) search(m *domain.Model, candidates []candidate) (Choice, time.Duration, bool) {
	bounds := c.boundaries(m, candidates)
	best := make([]step, len(bounds))
	best[0].reachable = bounds[0] == 0
	for i := range bounds {
		if !best[i].reachable {
			continue
		}
		for k := range candidates {
			c.extend(best, bounds, i, &candidates[k])
		}
	}
	last := len(bounds) - 1
	if !best[last].reachable || bounds[last] != m.Depth() {
		return Choice{}, 0, false
	}
	return c.buildChoice(m, best, bounds), best[last].rank, true
}

// boundaries returns the layer boundaries of the model together with those of
// kept stages, which may come from an earlier layout.
func (c *selection) boundaries(m *domain.Model, candidates []candidate) []int {
	out := append([]int(nil), m.Bounds()...)
	for _, o := range candidates {
		if !o.kept {
			break
		}
		out = append(out, o.layers.From(), o.layers.To())
	}
	sort.Ints(out)
	uniq := out[:0]
	for i, b := range out {
		if i == 0 || b != out[i-1] {
			uniq = append(uniq, b)
		}
	}
	if len(uniq) == 0 {
		return []int{0}
	}
	return uniq
}

func (c *selection) extend(best []step, bounds []int, i int, cand *candidate) {
	from := bounds[i]
	if !cand.layers.Has(from) || (cand.kept && cand.layers.From() != from) {
		return
	}
	for j := i + 1; j < len(bounds) && bounds[j] <= cand.layers.To(); j++ {
		if cand.kept && bounds[j] != cand.layers.To() {
			continue
		}
		cost := c.predictCost(cand, bounds[j]-from)
		rank := best[i].rank + cost.rank
		if best[j].reachable && best[j].rank <= rank {
			continue
		}
		best[j] = step{
			reachable: true, rank: rank, prev: i, candidate: cand,
			firstTokenTime: best[i].firstTokenTime + cost.firstTokenTime, tokenTime: best[i].tokenTime + cost.tokenTime,
			maxStepTime: max(best[i].maxStepTime, cost.tokenTime), maxPrefillTime: max(best[i].maxPrefillTime, cost.firstTokenTime),
			lacksCapacity: best[i].lacksCapacity || cost.lacksCapacity,
		}
	}
}

func (c *selection) buildChoice(m *domain.Model, best []step, bounds []int) Choice {
	var path []int
	for at := len(bounds) - 1; at > 0; at = best[at].prev {
		path = append(path, at)
	}
	end := best[len(bounds)-1]
	out := Choice{Fits: !end.lacksCapacity}
	plan := domain.Plan{Depth: m.Depth(), Version: m.Version(), FirstTokenTime: end.firstTokenTime, TokenTime: end.tokenTime}
	plan.MaxStepTime, plan.MaxPrefillTime = end.maxStepTime, end.maxPrefillTime
	plan.TotalTime = end.firstTokenTime + time.Duration(max(0, c.query.RemainingTokens-1))*end.tokenTime
	saved := 0
	for k := len(path) - 1; k >= 0; k-- {
		s := best[path[k]]
		layers := spec.NewLayers(bounds[s.prev], bounds[path[k]])
		plan.Chain = append(plan.Chain, spec.NewStage(s.candidate.engine.ID, layers))
		plan.StageDemands = append(plan.StageDemands, int64(float64(layers.Len())/end.tokenTime.Seconds()))
		saved += s.candidate.cachedPositions * layers.Len()
		if !s.candidate.kept {
			plan.NewEngines = append(plan.NewEngines, s.candidate.engine.ID)
		}
	}
	if c.positions > 0 {
		plan.CacheHitShare = float64(saved) / float64(c.positions*m.Depth())
	}
	out.Plan = plan
	return out
}
