package path

import (
	"math"
	"slices"
	"time"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/ahead"

	"github.com/go-faster/errors"
)

// ErrNoMemory means that no path has enough free KV memory for the request at present.
var ErrNoMemory = errors.New("path: no engines with enough free KV memory")

// ErrOverloaded means that the predicted first event would come after callers have
// given up.
var ErrOverloaded = errors.New("path: engines are overloaded")

// ErrNoPath means that no usable engines cover all layers.
var ErrNoPath = errors.New("path: no engines cover all layers")

// ErrUnreached is an ErrNoPath: engines cover all layers, but this instance does not reach all of
// them.
var ErrUnreached = errors.Wrap(ErrNoPath, "path: engines out of reach")

const (
	// remoteEntryMs is the cost in milliseconds of a first engine in another data
	// centre. The traffic of the answer between data centres is charged for.
	remoteEntryMs = 10.0
	// transferWeight is the weight of the time for which a request occupies the link
	// between data centres. All other transfers wait during that time.
	transferWeight = 12.0
	// occupancyPenaltyMs is the cost in milliseconds added for an engine whose KV
	// memory is promised completely. It moves load to slower free engines before none
	// is left to take over from an engine that dies.
	occupancyPenaltyMs = 1500.0
	// costJitter is the largest random increase of a cost, as a fraction.
	costJitter = 0.5
	// resumedCostJitter is costJitter for resumed streams. It is larger because all
	// instances choose paths for these at the same moment, when an engine has died.
	resumedCostJitter = 0.7
	// maxFirstEventLatency is the longest predicted time to the first event for which
	// a request is accepted. Callers give up after two seconds without an event. The
	// prompt has then been read for nothing and has delayed others. The prediction doesn't
	// include the passes that a prompt waits for.
	maxFirstEventLatency = 900 * time.Millisecond
	// resumedWeight is the weight of the time to the next event of a resumed stream
	// against the other costs. When an engine dies, the prompts of all its streams are
	// read again at once, and none of them should wait long.
	resumedWeight = 6
)

// ErrRateLimited means that the rate limits of engines leave no room for the request, and
// that it has a path otherwise.
var ErrRateLimited = errors.New("path: rate limits of engines leave no room")

// Query asks for a path over the layers [From, To).
type Query struct {
	Demand
	// Now is the present time on the clock that cooldowns use.
	Now      time.Duration
	From, To int
	// Avoid reports whether an engine must not be used. It may be nil.
	Avoid func(spec.UpstreamID) bool
	// CentreBefore and CentreAfter are the data centres before and after the layers.
	CentreBefore, CentreAfter spec.DataCentre
	// ignoreLimits means that the rate limits of engines do not matter.
	ignoreLimits bool
}

// Choose returns the path over all layers with the lowest predicted cost.
func (t *Table) Choose(now time.Duration, d Demand, avoid func(spec.UpstreamID) bool) (spec.Chain, error) {
	q := Query{Demand: d, Now: now, To: t.Model.Layers, Avoid: avoid, CentreBefore: t.Centre, CentreAfter: t.Centre}
	c, err := t.findAmongSome(q)
	if err != nil {
		c, err = t.Find(q)
	}
	if err == nil && !d.Resumed && t.PredictFirstEvent(c, d) > maxFirstEventLatency {
		return nil, ErrOverloaded
	}
	return c, err
}

// errAllNeeded means that a path is to be searched among all engines.
var errAllNeeded = errors.New("path: all engines are needed")

// findAmongSome searches a path without some engines left out at random, so that instances with the same
// reports choose differently. A stream that continues is not limited in its choice.
func (t *Table) findAmongSome(q Query) (spec.Chain, error) {
	if !t.ExpectLoad || q.Resumed || t.Random == nil {
		return nil, errAllNeeded
	}
	left := map[spec.UpstreamID]bool{}
	for _, e := range t.engines {
		if t.Random() < ahead.LeaveOutShare {
			left[e.upstream.ID] = true
		}
	}
	avoid := q.Avoid
	q.Avoid = func(id spec.UpstreamID) bool { return left[id] || avoid != nil && avoid(id) }
	c, err := t.Find(q)
	if err == nil && t.PredictFirstEvent(c, q.Demand) > maxFirstEventLatency {
		return nil, errAllNeeded
	}
	return c, err
}

// allows reports whether an engine may be part of the path of a query.
func (t *Table) allows(q *Query, e *engine) bool {
	held := e.upstream.Held.Layers
	if !t.usable(q.Now, e) || held.To() <= q.From || held.From() >= q.To {
		return false
	}
	return (q.Avoid == nil || !q.Avoid(e.upstream.ID)) && !t.isLimited(q, e)
}

// isLimited reports whether the rate limit of an engine keeps it off the path of a query.
func (t *Table) isLimited(q *Query, e *engine) bool {
	return t.IsLimited != nil && !q.ignoreLimits && t.IsLimited(e.upstream.ID)
}

// step is an engine appended to the cheapest path found to the start of its layers.
// cost is the cost of that path including the engine; prev is the index of the step
// before, or -1.
type step struct {
	engine *engine
	layers spec.Layers
	cost   float64
	prev   int
}

// search is the state of a path search.
type search struct {
	steps []step
	// cheapest lists, for each layer, the cheapest steps that end there, one for each
	// data centre. A step in the same data centre that costs more stays more
	// expensive by the same amount, whatever follows.
	cheapest [][]int
}

// add appends a step and updates the cheapest steps at its end.
func (s *search) add(q Query, next step) {
	s.steps = append(s.steps, next)
	at, last := next.layers.To()-q.From, len(s.steps)-1
	for i, other := range s.cheapest[at] {
		if o := s.steps[other]; o.engine.upstream.Centre == next.engine.upstream.Centre {
			if next.cost < o.cost {
				s.cheapest[at][i] = last
			}
			return
		}
	}
	s.cheapest[at] = append(s.cheapest[at], last)
}

// Find returns the cheapest path for a query. Engines are sorted by the end of their
// layers, so all steps to a layer are known before another step starts there.
func (t *Table) Find(q Query) (spec.Chain, error) {
	state := &search{cheapest: make([][]int, q.To-q.From+1)}
	anyLacksMemory := false
	bestEnd, bestCost := -1, math.Inf(1)
	for _, e := range t.engines {
		t.updateUsableSince(q.Now, e)
		if !t.allows(&q, e) {
			continue
		}
		s, ok, lacksMemory := t.extendPath(q, state, e)
		anyLacksMemory = anyLacksMemory || lacksMemory
		if !ok {
			continue
		}
		state.add(q, s)
		if s.layers.To() == q.To {
			if cost := s.cost + t.exitCost(q, e.upstream.Centre); cost < bestCost {
				bestEnd, bestCost = len(state.steps)-1, cost
			}
		}
	}
	if bestEnd < 0 {
		return nil, t.noPathError(q, anyLacksMemory)
	}
	return buildChain(state.steps, bestEnd), nil
}

// noPathError returns why a query has no path.
func (t *Table) noPathError(q Query, lacksMemory bool) error {
	if t.IsLimited != nil && !q.ignoreLimits && slices.ContainsFunc(t.engines, func(e *engine) bool { return t.usable(q.Now, e) && t.isLimited(&q, e) }) {
		q.ignoreLimits = true
		if _, err := t.Find(q); err == nil {
			return ErrRateLimited
		}
	}
	switch {
	case lacksMemory:
		return ErrNoMemory
	case t.isCoveredOutOfReach(q):
		return ErrUnreached
	}
	return ErrNoPath
}

// isCoveredOutOfReach reports whether the engines cover all layers of a query if those count that
// this instance does not reach: they do not answer it, or a connection failed.
func (t *Table) isCoveredOutOfReach(q Query) bool {
	covered := make([]bool, q.To-q.From)
	for _, e := range t.engines {
		isSuspect := e.refusalCooldown == 0 && q.Now < e.cooldownUntil
		if e.upstream.State != site.StateReady || e.health == HealthUp && !isSuspect && !t.usable(q.Now, e) {
			continue
		}
		held := e.upstream.Held.Layers
		for at := max(held.From(), q.From); at < min(held.To(), q.To); at++ {
			covered[at-q.From] = true
		}
	}
	return !slices.Contains(covered, false)
}

// extendPath finds the cheapest way to append e to one of the steps, or to use it as
// the first engine. lacksMemory is set if e has too little free KV memory, or if the
// link to it is too busy.
func (t *Table) extendPath(q Query, state *search, e *engine) (out step, ok, lacksMemory bool) {
	held := e.upstream.Held.Layers
	to := min(held.To(), q.To)
	cost := math.Inf(1)
	factor := (1 + t.jitter(q.Resumed)) * t.slowStartFactor(q.Now, e)
	// layersCost is the cost of the layers [from, to) on e, and whether e has the KV
	// memory for them.
	layersCost := func(from int) (c float64, fits bool) {
		c, fits = t.engineCost(q.Now, q.Demand, e, to-from)
		lacksMemory = lacksMemory || !fits
		return c * factor, fits
	}
	consider := func(from int, c, base float64, before int) {
		lacksMemory = lacksMemory || math.IsInf(base, 1)
		if base+c < cost {
			cost = base + c
			out = step{engine: e, layers: spec.NewLayers(from, to), cost: cost, prev: before}
			ok = true
		}
	}
	if held.From() <= q.From {
		if c, fits := layersCost(q.From); fits {
			consider(q.From, c, t.entryCost(q, e.upstream.Centre), -1)
		}
	}
	for at := max(held.From(), q.From+1); at < to; at++ {
		ends := state.cheapest[at-q.From]
		if len(ends) == 0 {
			continue
		}
		c, fits := layersCost(at)
		if !fits {
			continue
		}
		for _, i := range ends {
			s := state.steps[i]
			consider(at, c, s.cost+t.hopCost(q, s.engine.upstream.Centre, e.upstream.Centre), i)
		}
	}
	return out, ok, lacksMemory
}

func buildChain(steps []step, at int) spec.Chain {
	var reversed []spec.Stage
	for ; at >= 0; at = steps[at].prev {
		reversed = append(reversed, spec.NewStage(steps[at].engine.upstream.ID, steps[at].layers))
	}
	chain := make(spec.Chain, 0, len(reversed))
	for i := len(reversed) - 1; i >= 0; i-- {
		chain = append(chain, reversed[i])
	}
	return chain
}

// Hops converts a chain to the form that is sent to engines. It returns nil if an
// engine is no longer listed.
func (t *Table) Hops(c spec.Chain) []site.Hop {
	out := make([]site.Hop, 0, len(c))
	for _, s := range c {
		e := t.byID[s.Engine()]
		if e == nil {
			return nil
		}
		out = append(out, site.Hop{Address: e.upstream.Address, Layers: s.Layers()})
	}
	return out
}
