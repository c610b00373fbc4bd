package pick

import (
	"sort"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/world"
)

// step is the best way found to a layer boundary.
type step struct {
	ok    bool
	rank  time.Duration
	first time.Duration
	token time.Duration
	// long and longFirst are the longest step of one stage so far.
	long      time.Duration
	longFirst time.Duration
	prev      int
	offer     *offer
	full      bool
}

// search is a shortest path over the layer boundaries: an engine that holds
// [from, to) may run from any boundary within it to any later one, so
// overlaps are trimmed.
func (c *call) search(m *world.Model, offers []offer) (Choice, time.Duration, bool) {
	bounds := c.bounds(m, offers)
	best := make([]step, len(bounds))
	best[0].ok = bounds[0] == 0
	for i := range bounds {
		if !best[i].ok {
			continue
		}
		for k := range offers {
			c.extend(best, bounds, i, &offers[k])
		}
	}
	last := len(bounds) - 1
	if !best[last].ok || bounds[last] != m.Depth() {
		return Choice{}, 0, false
	}
	return c.trace(m, best, bounds), best[last].rank, true
}

// bounds are the boundaries of the model with those of kept stages, which may
// come from an earlier layout.
func (c *call) bounds(m *world.Model, offers []offer) []int {
	out := append([]int(nil), m.Bounds()...)
	for _, o := range offers {
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

func (c *call) extend(best []step, bounds []int, i int, o *offer) {
	at := bounds[i]
	if !o.layers.Has(at) || (o.kept && o.layers.From() != at) {
		return
	}
	for j := i + 1; j < len(bounds) && bounds[j] <= o.layers.To(); j++ {
		if o.kept && bounds[j] != o.layers.To() {
			continue
		}
		cost := c.price(o, bounds[j]-at)
		rank := best[i].rank + cost.rank
		if best[j].ok && best[j].rank <= rank {
			continue
		}
		best[j] = step{
			ok: true, rank: rank, prev: i, offer: o,
			first: best[i].first + cost.first, token: best[i].token + cost.token,
			long: max(best[i].long, cost.token), longFirst: max(best[i].longFirst, cost.first),
			full: best[i].full || cost.full,
		}
	}
}

func (c *call) trace(m *world.Model, best []step, bounds []int) Choice {
	var path []int
	for at := len(bounds) - 1; at > 0; at = best[at].prev {
		path = append(path, at)
	}
	end := best[len(bounds)-1]
	out := Choice{Fits: !end.full}
	plan := world.Plan{Depth: m.Depth(), Version: m.Version(), First: end.first, Token: end.token}
	plan.Step, plan.Prefill = end.long, end.longFirst
	plan.Whole = end.first + time.Duration(max(0, c.ask.Out-1))*end.token
	saved := 0
	for k := len(path) - 1; k >= 0; k-- {
		s := best[path[k]]
		layers := spec.NewLayers(bounds[s.prev], bounds[path[k]])
		plan.Chain = append(plan.Chain, spec.NewStage(s.offer.engine.ID, layers))
		plan.Draws = append(plan.Draws, int64(float64(layers.Len())/end.token.Seconds()))
		saved += s.offer.hit * layers.Len()
		if !s.offer.kept {
			plan.Fresh = append(plan.Fresh, s.offer.engine.ID)
		}
	}
	if c.positions > 0 {
		plan.Hit = float64(saved) / float64(c.positions*m.Depth())
	}
	out.Plan = plan
	return out
}
