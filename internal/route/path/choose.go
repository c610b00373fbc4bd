package path

import (
	"math"
	"time"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"

	"github.com/go-faster/errors"
)

// ErrFull means that no path has memory for the request now.
var ErrFull = errors.New("path: no engines with room")

// ErrSlow means that the first event would come after callers have left.
var ErrSlow = errors.New("path: engines are too busy")

// ErrNone means that no engines cover all layers.
var ErrNone = errors.New("path: layers without an engine")

const (
	// entry is the time in milliseconds that a first engine in another data
	// centre is taken to cost: the bytes of the answer are paid for.
	entry = 10.0
	// crossing weighs the time for which a request fills the pipe between data
	// centres, in which all others wait.
	crossing = 12.0
	// crowd is the time in milliseconds added for an engine whose memory is
	// promised to the last cell, so that load moves to slower free engines
	// before none is left to take over from one that dies.
	crowd = 1500.0
	// blur is the most by which costs are raised at random, hasteBlur the same
	// for answers that were broken off: all instances choose for these at the
	// same moment, when an engine has died.
	blur      = 0.5
	hasteBlur = 0.7
	// firstMost is the longest predicted time to the first event for which a
	// request is taken. Callers leave after two seconds without one, and then
	// the prompt was read in vain while it held up others; the prediction does
	// not see the passes that a prompt waits for.
	firstMost = 900 * time.Millisecond
	// haste weighs the time to the next event of an answer that was broken off
	// against the rest: when an engine dies its streams are read again all at
	// once, and what counts is that none waits long for it.
	haste = 6
)

// Ask is a question for a path over the layers [From, To).
type Ask struct {
	Need
	// Now is the time on the clock of Rest.
	Now      time.Duration
	From, To int
	// Avoid are engines not to be used.
	Avoid func(spec.UpstreamID) bool
	// Before and After are the data centres on both sides of the gap.
	Before, After spec.DataCentre
}

// Choose returns the cheapest path by predicted time over all layers.
func (t *Table) Choose(now time.Duration, n Need, avoid func(spec.UpstreamID) bool) (spec.Chain, error) {
	c, err := t.Find(Ask{Need: n, Now: now, To: t.Model.Layers, Avoid: avoid, Before: t.Centre, After: t.Centre})
	if err == nil && !n.Haste && t.First(c, n) > firstMost {
		return nil, ErrSlow
	}
	return c, err
}

// allows reports whether an engine may be on the path.
func (a *Ask) allows(e *engine) bool {
	held := e.up.Held.Layers
	if !e.usable(a.Now) || held.To() <= a.From || held.From() >= a.To {
		return false
	}
	return a.Avoid == nil || !a.Avoid(e.up.ID)
}

// step is the cheapest way found to the end of an engine's layers.
type step struct {
	engine *engine
	layers spec.Layers
	cost   float64
	before int
}

// ways are the steps of a search.
type ways struct {
	steps []step
	// ends are the cheapest steps to the end of each layer, one for each data centre:
	// any other costs as much more, whatever follows.
	ends [][]int
}

// add takes a step.
func (w *ways) add(a Ask, s step) {
	w.steps = append(w.steps, s)
	at, last := s.layers.To()-a.From, len(w.steps)-1
	for i, other := range w.ends[at] {
		if o := w.steps[other]; o.engine.up.Centre == s.engine.up.Centre {
			if s.cost < o.cost {
				w.ends[at][i] = last
			}
			return
		}
	}
	w.ends[at] = append(w.ends[at], last)
}

// Find returns the cheapest path for a question. Engines come in the order of
// their ends, so each way is complete before another one builds on it.
func (t *Table) Find(a Ask) (spec.Chain, error) {
	w := &ways{ends: make([][]int, a.To-a.From+1)}
	full := false
	best, bestCost := -1, math.Inf(1)
	for _, e := range t.engines {
		t.see(a.Now, e)
		if !a.allows(e) {
			continue
		}
		s, ok, tight := t.extend(a, w, e)
		full = full || tight
		if !ok {
			continue
		}
		w.add(a, s)
		if s.layers.To() == a.To {
			if cost := s.cost + t.after(a, e.up.Centre); cost < bestCost {
				best, bestCost = len(w.steps)-1, cost
			}
		}
	}
	if best < 0 {
		if full {
			return nil, ErrFull
		}
		return nil, ErrNone
	}
	return unwind(w.steps, best), nil
}

// extend finds the cheapest way to use e after one of the steps, or as the first
// engine. tight tells that e lacks the memory, or the way to it the room.
func (t *Table) extend(a Ask, w *ways, e *engine) (out step, ok, tight bool) {
	held := e.up.Held.Layers
	to := min(held.To(), a.To)
	cost := math.Inf(1)
	chance := (1 + t.spread(a.Haste)) * t.warmth(a.Now, e)
	// load is the cost of the layers after one, if e has the memory for them.
	load := func(from int) (c float64, fits bool) {
		c, fits = t.cost(a.Now, a.Need, e, to-from)
		tight = tight || !fits
		return c * chance, fits
	}
	consider := func(from int, c, base float64, before int) {
		tight = tight || math.IsInf(base, 1)
		if base+c < cost {
			cost = base + c
			out = step{engine: e, layers: spec.NewLayers(from, to), cost: cost, before: before}
			ok = true
		}
	}
	if held.From() <= a.From {
		if c, fits := load(a.From); fits {
			consider(a.From, c, t.before(a, e.up.Centre), -1)
		}
	}
	for at := max(held.From(), a.From+1); at < to; at++ {
		ends := w.ends[at-a.From]
		if len(ends) == 0 {
			continue
		}
		c, fits := load(at)
		if !fits {
			continue
		}
		for _, i := range ends {
			s := w.steps[i]
			consider(at, c, s.cost+t.hop(a, s.engine.up.Centre, e.up.Centre), i)
		}
	}
	return out, ok, tight
}

func unwind(steps []step, at int) spec.Chain {
	var back []spec.Stage
	for ; at >= 0; at = steps[at].before {
		back = append(back, spec.NewStage(steps[at].engine.up.ID, steps[at].layers))
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
		out = append(out, site.Hop{Address: e.up.Address, Layers: s.Layers()})
	}
	return out
}
