package path

import (
	"time"

	"fulmarwick/internal/base/spec"
)

// PredictFirstEvent returns the predicted time to the first event of a request over a
// chain. Its prompt is read after the pending ones and then goes through all passes.
func (t *Table) PredictFirstEvent(c spec.Chain, d Demand) time.Duration {
	var ms float64
	for _, s := range c {
		if e := t.byID[s.Engine()]; e != nil {
			ms += t.prefillTime(e, float64(d.Prompt*s.Layers().Len()+e.usage().PendingPrefill))
		}
	}
	return time.Duration(ms*float64(time.Millisecond)) + t.PredictStep(c)*time.Duration(t.Model.StepsPerPass)
}

// prefillTime returns the time in milliseconds in which e reads tokens, given in
// token-layers.
func (t *Table) prefillTime(e *engine, tokenLayers float64) float64 {
	return e.card.PrefillFactor * e.slowdown * 1000 / t.Model.PrefillRate / float64(t.Model.Layers) * tokenLayers
}

// jitter returns the fraction by which an engine's cost is raised at random. Instances
// learn of each other's choices with a delay. Without jitter all of them would choose
// the same engines at once.
func (t *Table) jitter(resumed bool) float64 {
	switch {
	case t.Random == nil:
		return 0
	case resumed:
		return resumedCostJitter * t.Random()
	}
	return costJitter * t.Random()
}

const (
	// slowStartDuration is how long the cost of a newly usable engine is raised above
	// what its load says. In a large fleet, instances learn of each other's choices
	// with a delay, so all see the engine empty.
	slowStartDuration = 2 * time.Second
	// slowStartMinPeers is the number of other instances up to which choices become
	// known early enough.
	slowStartMinPeers = 40
	// slowStartPeersPerUnit is how many peers beyond slowStartMinPeers raise the cost
	// of a newly usable engine at first by its whole amount.
	slowStartPeersPerUnit = 26.0
)

// slowStartFactor returns the factor on the cost of a newly usable engine.
func (t *Table) slowStartFactor(now time.Duration, e *engine) float64 {
	age := now - e.usableSince
	if age >= slowStartDuration {
		return 1
	}
	raise := float64(max(0, t.peerCount()-slowStartMinPeers)) / slowStartPeersPerUnit * (1 - float64(age)/float64(slowStartDuration))
	if e.usableSince == t.firstUsableAt && t.Random != nil {
		// This instance started when it first saw the engine, and other instances may
		// have started with it. A random part makes each prefer other engines.
		raise *= t.Random()
	}
	return 1 + raise
}

// unreportedPrefill estimates what an engine has to read for other instances that
// started together with this one and have reported nothing yet. Each is assumed to
// have chosen as this one did.
func (t *Table) unreportedPrefill(now time.Duration, e *engine) int {
	age := now - t.firstUsableAt
	if age >= slowStartDuration || e.remote.Streams > 0 {
		return 0
	}
	peersPerCentre := float64(t.peerCount()) / float64(max(1, t.centreCount))
	return int(float64(e.local.PendingPrefill) * peersPerCentre * (1 - float64(age)/float64(slowStartDuration)))
}

// entryCost returns the cost of reaching the first engine of a path or of a part of
// it.
func (t *Table) entryCost(q Query, to spec.DataCentre) float64 {
	if q.From > 0 {
		return t.hopCost(q, q.CentreBefore, to)
	}
	if q.CentreBefore != to {
		return remoteEntryMs
	}
	return 0
}

// exitCost returns the cost of reaching the stage after the last engine of a part.
func (t *Table) exitCost(q Query, from spec.DataCentre) float64 {
	if q.To == t.Model.Layers {
		return 0
	}
	return t.hopCost(q, from, q.CentreAfter)
}

// engineCost returns the time in milliseconds that e is predicted to add to a request
// for the given number of layers, and whether its KV memory suffices.
func (t *Table) engineCost(now time.Duration, d Demand, e *engine, layers int) (ms float64, fits bool) {
	current := e.usageAt(now)
	limit := float64(e.capacity)
	total := current
	total.add(d.usage(layers, false))
	peak := total.peak()
	if peak > limit {
		return 0, false
	}
	// Whether a request fits is decided by what is known. What is expected only makes other engines
	// preferable.
	current.add(t.expected(now, e))
	share := float64(layers) / float64(t.Model.Layers)
	generate := float64(d.Answer) * t.passTime(e, current, 1)
	pendingPrefill := current.PendingPrefill + t.unreportedPrefill(now, e)
	if d.Resumed {
		// The other instances move their streams at the same moment, and their choices
		// become known only afterwards.
		pendingPrefill += e.retryPrefill * t.peerCount()
	}
	prefill := t.prefillTime(e, float64(d.Prompt*layers+pendingPrefill))
	utilization := peak / limit
	if d.Resumed {
		prefill *= resumedWeight
	}
	return generate + prefill + occupancyPenaltyMs*share*utilization*utilization, true
}

// passTime returns the time in milliseconds of a step of e with additional requests on
// top of its usage. A pass runs all waiting requests, so a request that needs only a
// few of the engine's layers takes as long as one that needs all of them.
func (t *Table) passTime(e *engine, u Usage, additional int) float64 {
	held := float64(e.upstream.Held.Layers.Len())
	context := float64(u.Cells) / max(1, held) / 1000
	work := millis(t.Model.StepTime) + millis(t.Model.TimePerSequence)*float64(u.Streams+additional) + millis(t.Model.TimePer1kTokens)*context
	return held / float64(t.Model.Layers) * e.card.StepFactor * e.slowdown * work
}

// PredictStep returns the predicted time of one token over a chain.
func (t *Table) PredictStep(c spec.Chain) time.Duration {
	var ms float64
	for i, s := range c {
		e := t.byID[s.Engine()]
		if e == nil {
			continue
		}
		ms += t.passTime(e, e.usage(), 0)
		if i > 0 {
			if previous := t.byID[c[i-1].Engine()]; previous != nil {
				ms += millis(t.Model.Delay(previous.upstream.Centre, e.upstream.Centre))
			}
		}
	}
	return time.Duration(ms * float64(time.Millisecond))
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
