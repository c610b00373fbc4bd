package path

import (
	"time"

	"fulmarwick/internal/base/spec"
)

// First is the predicted time to the first event of a request over a chain:
// its prompt is read after those that are unread, and goes through all passes.
func (t *Table) First(c spec.Chain, n Need) time.Duration {
	var ms float64
	for _, s := range c {
		if e := t.byID[s.Engine()]; e != nil {
			ms += t.read(e, float64(n.Prompt*s.Layers().Len()+e.use().Unread))
		}
	}
	return time.Duration(ms*float64(time.Millisecond)) + t.Step(c)*time.Duration(t.Model.Stride)
}

// read is the time in milliseconds in which e reads tokens times layers.
func (t *Table) read(e *engine, cells float64) float64 {
	return e.card.Read * e.pace * 1000 / t.Model.ReadRate / float64(t.Model.Layers) * cells
}

// spread is the part by which an engine's cost is raised at random. Instances
// that know of each other's choices only after a while would else all choose
// the same engines at once.
func (t *Table) spread(haste bool) float64 {
	switch {
	case t.Random == nil:
		return 0
	case haste:
		return hasteBlur * t.Random()
	}
	return blur * t.Random()
}

const (
	// slowStart is how long an engine that takes requests anew is preferred less than
	// its load says, in a fleet whose instances hear of each other's choices only after
	// a while: all see it empty.
	slowStart = 2 * time.Second
	// slowStartFrom is how many other instances hear of each other soon enough; each
	// slowStartEach more raise the cost of such an engine at first by the whole of it.
	slowStartFrom = 40
	slowStartEach = 26.0
)

// warmth is the factor on the cost of an engine that takes requests anew.
func (t *Table) warmth(now time.Duration, e *engine) float64 {
	age := now - e.since
	if age >= slowStart {
		return 1
	}
	raise := float64(max(0, t.instances()-slowStartFrom)) / slowStartEach * (1 - float64(age)/float64(slowStart))
	if e.since == t.since && t.Random != nil {
		// This instance is as new as the engine seems, and so are others perhaps:
		// by chance each prefers other engines.
		raise *= t.Random()
	}
	return 1 + raise
}

// unheard is what an engine probably has to read for other instances that started
// with this one and are not heard yet: each chose as this one did.
func (t *Table) unheard(now time.Duration, e *engine) int {
	age := now - t.since
	if age >= slowStart || e.others.Streams > 0 {
		return 0
	}
	near := float64(t.instances()) / float64(max(1, t.centres))
	return int(float64(e.mine.Unread) * near * (1 - float64(age)/float64(slowStart)))
}

// before is the cost of the way to the first engine of a path or of its part.
func (t *Table) before(a Ask, to spec.DataCentre) float64 {
	if a.From > 0 {
		return t.hop(a, a.Before, to)
	}
	if a.Before != to {
		return entry
	}
	return 0
}

// after is the cost of the way from the last engine of a part to the next.
func (t *Table) after(a Ask, from spec.DataCentre) float64 {
	if a.To == t.Model.Layers {
		return 0
	}
	return t.hop(a, from, a.After)
}

// cost is the time in milliseconds that e is predicted to add to a request for
// so many layers.
func (t *Table) cost(now time.Duration, n Need, e *engine, layers int) (ms float64, fits bool) {
	u := e.use()
	limit := float64(e.cells)
	with := u
	with.add(n.use(layers, false))
	after := with.peak()
	if after > limit {
		return 0, false
	}
	share := float64(layers) / float64(t.Model.Layers)
	write := float64(n.Answer) * t.pass(e, u, 1)
	unread := u.Unread + t.unheard(now, e)
	if n.Haste {
		// The other instances move their streams in the same moment, and what
		// they chose is known only after it.
		unread += e.again * t.instances()
	}
	read := t.read(e, float64(n.Prompt*layers+unread))
	fill := after / limit
	if n.Haste {
		read *= haste
	}
	return write + read + crowd*share*fill*fill, true
}

// pass is the time in milliseconds of a step of e with so many more requests
// than use it. A pass runs all that wait, so a request that needs a few of an
// engine's layers takes as long as those that need them all.
func (t *Table) pass(e *engine, u Use, more int) float64 {
	held := float64(e.up.Held.Layers.Len())
	context := float64(u.Cells) / max(1, held) / 1000
	work := millis(t.Model.Step) + millis(t.Model.Writer)*float64(u.Streams+more) + millis(t.Model.Context)*context
	return held / float64(t.Model.Layers) * e.card.Pace * e.pace * work
}

// Step is the predicted time of one token over a chain.
func (t *Table) Step(c spec.Chain) time.Duration {
	var ms float64
	for i, s := range c {
		e := t.byID[s.Engine()]
		if e == nil {
			continue
		}
		ms += t.pass(e, e.use(), 0)
		if i > 0 {
			if before := t.byID[c[i-1].Engine()]; before != nil {
				ms += millis(t.Model.Delay(before.up.Centre, e.up.Centre))
			}
		}
	}
	return time.Duration(ms * float64(time.Millisecond))
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
