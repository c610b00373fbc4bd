package path

import (
	"time"

	"fulmarwick/internal/base/spec"
)

// PredictFirstEvent is the predicted time to the first event of a request over a chain:
// its prompt is read after those that are unread, and goes through all passes.
func (t *Table) PredictFirstEvent(c spec.Chain, n Demand) time.Duration {
	var ms float64
	for _, s := range c {
		if e := t.byID[s.Engine()]; e != nil {
			ms += t.prefillTime(e, float64(n.Prompt*s.Layers().Len()+e.usage().PendingPrefill))
		}
	}
	return time.Duration(ms*float64(time.Millisecond)) + t.PredictStep(c)*time.Duration(t.Model.StepsPerPass)
}

// prefillTime is the time in milliseconds in which e reads tokens times layers.
func (t *Table) prefillTime(e *engine, cells float64) float64 {
	return e.card.PrefillFactor * e.slowdown * 1000 / t.Model.PrefillRate / float64(t.Model.Layers) * cells
}

// jitter is the part by which an engine's cost is raised at random. Instances
// that know of each other's choices only after a while would else all choose
// the same engines at once.
func (t *Table) jitter(haste bool) float64 {
	switch {
	case t.Random == nil:
		return 0
	case haste:
		return resumedCostJitter * t.Random()
	}
	return costJitter * t.Random()
}

const (
	// slowStartDuration is how long an engine that takes requests anew is preferred less than
	// its load says, in a fleet whose instances hear of each other's choices only after
	// a while: all see it empty.
	slowStartDuration = 2 * time.Second
	// slowStartMinPeers is how many other instances hear of each other soon enough; each
	// slowStartEach more raise the cost of such an engine at first by the whole of it.
	slowStartMinPeers     = 40
	slowStartPeersPerUnit = 26.0
)

// slowStartFactor is the factor on the cost of an engine that takes requests anew.
func (t *Table) slowStartFactor(now time.Duration, e *engine) float64 {
	age := now - e.usableSince
	if age >= slowStartDuration {
		return 1
	}
	raise := float64(max(0, t.peerCount()-slowStartMinPeers)) / slowStartPeersPerUnit * (1 - float64(age)/float64(slowStartDuration))
	if e.usableSince == t.firstUsableAt && t.Random != nil {
		// This instance is as new as the engine seems, and so are others perhaps:
		// by chance each prefers other engines.
		raise *= t.Random()
	}
	return 1 + raise
}

// unreportedPrefill is what an engine probably has to read for other instances that started
// with this one and are not heard yet: each chose as this one did.
func (t *Table) unreportedPrefill(now time.Duration, e *engine) int {
	age := now - t.firstUsableAt
	if age >= slowStartDuration || e.remote.Streams > 0 {
		return 0
	}
	near := float64(t.peerCount()) / float64(max(1, t.centreCount))
	return int(float64(e.local.PendingPrefill) * near * (1 - float64(age)/float64(slowStartDuration)))
}

// entryCost is the cost of the way to the first engine of a path or of its part.
func (t *Table) entryCost(a Query, to spec.DataCentre) float64 {
	if a.From > 0 {
		return t.hopCost(a, a.CentreBefore, to)
	}
	if a.CentreBefore != to {
		return remoteEntryMs
	}
	return 0
}

// exitCost is the cost of the way from the last engine of a part to the next.
func (t *Table) exitCost(a Query, from spec.DataCentre) float64 {
	if a.To == t.Model.Layers {
		return 0
	}
	return t.hopCost(a, from, a.CentreAfter)
}

// engineCost is the time in milliseconds that e is predicted to add to a request for
// so many layers.
func (t *Table) engineCost(now time.Duration, n Demand, e *engine, layers int) (ms float64, fits bool) {
	u := e.usage()
	limit := float64(e.capacity)
	with := u
	with.add(n.usage(layers, false))
	after := with.peak()
	if after > limit {
		return 0, false
	}
	share := float64(layers) / float64(t.Model.Layers)
	write := float64(n.Answer) * t.passTime(e, u, 1)
	unread := u.PendingPrefill + t.unreportedPrefill(now, e)
	if n.Resumed {
		// The other instances move their streams in the same moment, and what
		// they chose is known only after it.
		unread += e.retryPrefill * t.peerCount()
	}
	read := t.prefillTime(e, float64(n.Prompt*layers+unread))
	fill := after / limit
	if n.Resumed {
		read *= resumedWeight
	}
	return write + read + occupancyPenaltyMs*share*fill*fill, true
}

// passTime is the time in milliseconds of a step of e with so many more requests
// than use it. A pass runs all that wait, so a request that needs a few of an
// engine's layers takes as long as those that need them all.
func (t *Table) passTime(e *engine, u Usage, more int) float64 {
	held := float64(e.upstream.Held.Layers.Len())
	context := float64(u.Cells) / max(1, held) / 1000
	work := millis(t.Model.StepTime) + millis(t.Model.TimePerSequence)*float64(u.Streams+more) + millis(t.Model.TimePer1kTokens)*context
	return held / float64(t.Model.Layers) * e.card.StepFactor * e.slowdown * work
}

// PredictStep is the predicted time of one token over a chain.
func (t *Table) PredictStep(c spec.Chain) time.Duration {
	var ms float64
	for i, s := range c {
		e := t.byID[s.Engine()]
		if e == nil {
			continue
		}
		ms += t.passTime(e, e.usage(), 0)
		if i > 0 {
			if before := t.byID[c[i-1].Engine()]; before != nil {
				ms += millis(t.Model.Delay(before.upstream.Centre, e.upstream.Centre))
			}
		}
	}
	return time.Duration(ms * float64(time.Millisecond))
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
