package domain

import (
	"time"
)

// load is what draws on an engine, in layer-tokens a second: a request that
// runs n layers of it and takes t for a token draws n/t.
type load struct {
	// local and peers are known exactly and with a short delay.
	local  int64
	remote int64
	// unexplained is the smoothed difference between what reports show and what is
	// known: work of instances not heard of, and requests that draw more or
	// less than was predicted.
	unexplained int64
	sampled     bool
	// localKVTokens is the KV tokens that own requests may come to take, others how many
	// requests of other instances there are.
	localKVTokens  int64
	remoteRequests int
}

const (
	minLayerTime = time.Microsecond
	// historyWeight is the weight of the past against a new report, in parts of
	// smooth+1.
	historyWeight = 4
	// maxCorrectionPercent bounds how far reports may lower what is known, in percent: they
	// are samples at one instant.
	maxCorrectionPercent = 40
)

// PositiveLayerTime is the time of one token through one layer, never zero.
func (e *Engine) PositiveLayerTime() time.Duration { return max(minLayerTime, e.LayerTime) }

// Capacity is how many layer-tokens a second the engine can run.
func (e *Engine) Capacity() int64 {
	return int64(max(1, e.Slots)) * int64(time.Second) / int64(e.PositiveLayerTime())
}

// Demand is the predicted use of the engine now in layer-tokens a second: what
// its last reports showed, corrected by what was sent to it since.
func (e *Engine) Demand() int64 {
	known := e.load.local + e.load.remote
	return known + max(e.load.unexplained, -known*maxCorrectionPercent/100)
}

// LocalDemand is the part of Draw that this instance's requests take.
func (e *Engine) LocalDemand() int64 { return e.load.local }

// Utilization is Draw over Capacity.
func (e *Engine) Utilization() float64 { return float64(e.Demand()) / float64(e.Capacity()) }

// updateUnexplained compares a report with what is known.
func (e *Engine) updateUnexplained() {
	busy := int64(e.Active+e.Queued) * int64(time.Second) / int64(e.PositiveLayerTime())
	diff := busy - e.load.local - e.load.remote
	before := e.Demand()
	if !e.load.sampled {
		e.load.sampled = true
		e.load.unexplained = max(0, diff)
	} else {
		e.load.unexplained = (historyWeight*e.load.unexplained + diff) / (historyWeight + 1)
	}
	e.updateGroupDemand(before)
}

func (e *Engine) addLocalLoad(draw, kv int64) {
	before := e.Demand()
	e.load.local += draw
	e.load.localKVTokens += kv
	e.updateGroupDemand(before)
}

func (e *Engine) replacePeerLoad(now, old peerLoad) {
	before := e.Demand()
	e.load.remote += now.demand - old.demand
	e.load.remoteRequests += now.active - old.active
	e.updateGroupDemand(before)
}

// HasKVMemory reports whether the engine has memory for need KV tokens more. What the
// requests of other instances take is guessed from those of this one.
func (e *Engine) HasKVMemory(need int64) bool {
	if e.KVCapacity <= 0 {
		return true
	}
	each := need
	if e.localRequests > 0 {
		each = e.load.localKVTokens / int64(e.localRequests)
	}
	return e.load.localKVTokens+int64(e.load.remoteRequests)*each+need <= int64(e.KVCapacity)
}

// updateGroupDemand keeps the sums of the engine's groups in step with its draw.
func (e *Engine) updateGroupDemand(before int64) {
	d := e.Demand() - before
	if d == 0 {
		return
	}
	for _, g := range e.groups {
		g.demand += d
	}
}
