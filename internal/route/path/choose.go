package path

import (
	"math"
	"time"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"

	"github.com/go-faster/errors"
)

// ErrNoMemory means that no path has memory for the request now.
var ErrNoMemory = errors.New("path: no engines with room")

// ErrOverloaded means that the first event would come after callers have left.
var ErrOverloaded = errors.New("path: engines are too busy")

// ErrNoPath means that no engines cover all layers.
var ErrNoPath = errors.New("path: layers without an engine")

const (
	// remoteEntryMs is the time in milliseconds that a first engine in another data
	// centre is taken to cost: the bytes of the answer are paid for.
	remoteEntryMs = 10.0
	// transferWeight weighs the time for which a request fills the pipe between data
	// centres, in which all others wait.
	transferWeight = 12.0
	// occupancyPenaltyMs is the time in milliseconds added for an engine whose memory is
	// promised to the last cell, so that load moves to slower free engines
	// before none is left to take over from one that dies.
	occupancyPenaltyMs = 1500.0
	// costJitter is the most by which costs are raised at random, hasteBlur the same
	// for answers that were broken off: all instances choose for these at the
	// same moment, when an engine has died.
	costJitter        = 0.5
	resumedCostJitter = 0.7
	// maxFirstEventLatency is the longest predicted time to the first event for which a
	// request is taken. Callers leave after two seconds without one, and then
	// the prompt was read in vain while it held up others; the prediction does
	// not see the passes that a prompt waits for.
	maxFirstEventLatency = 900 * time.Millisecond
	// resumedWeight weighs the time to the next event of an answer that was broken off
	// against the rest: when an engine dies its streams are read again all at
	// once, and what counts is that none waits long for it.
	resumedWeight = 6
)

// Query is a question for a path over the layers [From, To).
type Query struct {
	Demand
	// Now is the time on the clock of Rest.
	Now      time.Duration
	From, To int
	// Avoid are engines not to be used.
	Avoid func(spec.UpstreamID) bool
	// CentreBefore and After are the data centres on both sides of the gap.
	CentreBefore, CentreAfter spec.DataCentre
}

// Choose returns the cheapest path by predicted time over all layers.
func (t *Table) Choose(now time.Duration, n Demand, avoid func(spec.UpstreamID) bool) (spec.Chain, error) {
	c, err := t.Find(Query{Demand: n, Now: now, To: t.Model.Layers, Avoid: avoid, CentreBefore: t.Centre, CentreAfter: t.Centre})
	if err == nil && !n.Resumed && t.PredictFirstEvent(c, n) > maxFirstEventLatency {
		return nil, ErrOverloaded
	}
	return c, err
}

// allows reports whether an engine may be on the path.
func (a *Query) allows(e *engine) bool {
	held := e.upstream.Held.Layers
	if !e.usable(a.Now) || held.To() <= a.From || held.From() >= a.To {
		return false
	}
	return a.Avoid == nil || !a.Avoid(e.upstream.ID)
}

// step is the cheapest way found to the end of an engine's layers.
type step struct {
	engine *engine
	layers spec.Layers
	cost   float64
	prev   int
}

// search are the steps of a search.
type search struct {
	steps []step
	// cheapest are the cheapest steps to the end of each layer, one for each data centre:
	// any other costs as much more, whatever follows.
	cheapest [][]int
}

// add takes a step.
func (w *search) add(a Query, s step) {
	w.steps = append(w.steps, s)
	at, last := s.layers.To()-a.From, len(w.steps)-1
	for i, other := range w.cheapest[at] {
		if o := w.steps[other]; o.engine.upstream.Centre == s.engine.upstream.Centre {
			if s.cost < o.cost {
				w.cheapest[at][i] = last
			}
			return
		}
	}
	w.cheapest[at] = append(w.cheapest[at], last)
}

// Find returns the cheapest path for a question. Engines come in the order of
// their ends, so each way is complete before another one builds on it.
func (t *Table) Find(a Query) (spec.Chain, error) {
	w := &search{cheapest: make([][]int, a.To-a.From+1)}
	full := false
	best, bestCost := -1, math.Inf(1)
	for _, e := range t.engines {
		t.updateUsableSince(a.Now, e)
		if !a.allows(e) {
			continue
		}
		s, ok, tight := t.extendPath(a, w, e)
		full = full || tight
		if !ok {
			continue
		}
		w.add(a, s)
		if s.layers.To() == a.To {
			if cost := s.cost + t.exitCost(a, e.upstream.Centre); cost < bestCost {
				best, bestCost = len(w.steps)-1, cost
			}
		}
	}
	if best < 0 {
		if full {
			return nil, ErrNoMemory
		}
		return nil, ErrNoPath
	}
	return buildChain(w.steps, best), nil
}

// extendPath finds the cheapest way to use e after one of the steps, or as the first
// engine. tight tells that e lacks the memory, or the way to it the room.
func (t *Table) extendPath(a Query, w *search, e *engine) (out step, ok, tight bool) {
	held := e.upstream.Held.Layers
	to := min(held.To(), a.To)
	cost := math.Inf(1)
	chance := (1 + t.jitter(a.Resumed)) * t.slowStartFactor(a.Now, e)
	// load is the cost of the layers after one, if e has the memory for them.
	load := func(from int) (c float64, fits bool) {
		c, fits = t.engineCost(a.Now, a.Demand, e, to-from)
		tight = tight || !fits
		return c * chance, fits
	}
	consider := func(from int, c, base float64, before int) {
		tight = tight || math.IsInf(base, 1)
		if base+c < cost {
			cost = base + c
			out = step{engine: e, layers: spec.NewLayers(from, to), cost: cost, prev: before}
			ok = true
		}
	}
	if held.From() <= a.From {
		if c, fits := load(a.From); fits {
			consider(a.From, c, t.entryCost(a, e.upstream.Centre), -1)
		}
	}
	for at := max(held.From(), a.From+1); at < to; at++ {
		ends := w.cheapest[at-a.From]
		if len(ends) == 0 {
			continue
		}
		c, fits := load(at)
		if !fits {
			continue
		}
		for _, i := range ends {
			s := w.steps[i]
			consider(at, c, s.cost+t.hopCost(a, s.engine.upstream.Centre, e.upstream.Centre), i)
		}
	}
	return out, ok, tight
}

func buildChain(steps []step, at int) spec.Chain {
	var back []spec.Stage
	for ; at >= 0; at = steps[at].prev {
		back = append(back, spec.NewStage(steps[at].engine.upstream.ID, steps[at].layers))
	}
	chain := make(spec.Chain, 0, len(back))
	for i := len(back) - 1; i >= 0; i-- {
		chain = append(chain, back[i])
	}
	return chain
}

// Hops are a chain in the form that engines take.
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
