package domain

import (
	"time"
)

// load is the demand on an engine in layer-tokens per second. A request that
// runs n layers on the engine and takes the time t per token has the demand
// n/t.
type load struct {
	// local is the demand of the requests of this instance, which is known
	// exactly.
	local int64
	// remote is the demand that peers announced. It arrives with a short
	// delay.
	remote int64
	// unexplained is the smoothed difference between the reported and the
	// known demand. It covers the work of instances that have not announced
	// any and requests whose demand differs from the prediction.
	unexplained int64
	sampled     bool
	// localKVTokens is the maximum number of KV tokens that the requests of
	// this instance may take.
	localKVTokens int64
	// remoteRequests is the number of requests of other instances.
	remoteRequests int
}

const (
	minLayerTime = time.Microsecond
	// historyWeight is the weight of earlier reports when smoothing. A new
	// report has the weight 1 of historyWeight+1.
	historyWeight = 4
	// maxCorrectionPercent bounds, in percent, how far reports may lower the
	// known demand. Reports are samples at a single instant.
	maxCorrectionPercent = 40
)

// PositiveLayerTime returns the time of one token through one layer, which is
// never zero.
func (e *Engine) PositiveLayerTime() time.Duration { return max(minLayerTime, e.LayerTime) }

// Capacity returns how many layer-tokens per second the engine can run.
func (e *Engine) Capacity() int64 {
	return int64(max(1, e.Slots)) * int64(time.Second) / int64(e.PositiveLayerTime())
}

// Demand returns the estimated current demand on the engine in layer-tokens
// per second. It is the known demand of this instance and its peers plus the
// smoothed difference that the reports showed.
func (e *Engine) Demand() int64 {
	known := e.load.local + e.load.remote
	return known + max(e.load.unexplained, -known*maxCorrectionPercent/100)
}

// LocalDemand returns the part of Demand that is due to this instance's
// requests.
func (e *Engine) LocalDemand() int64 { return e.load.local }

// Utilization returns Demand divided by Capacity.
func (e *Engine) Utilization() float64 { return float64(e.Demand()) / float64(e.Capacity()) }

// updateUnexplained updates the unexplained demand from a new report.
func (e *Engine) updateUnexplained() {
	reported := int64(e.Active+e.Queued) * int64(time.Second) / int64(e.PositiveLayerTime())
	diff := reported - e.load.local - e.load.remote
	before := e.Demand()
	if !e.load.sampled {
		e.load.sampled = true
		e.load.unexplained = max(0, diff)
	} else {
		e.load.unexplained = (historyWeight*e.load.unexplained + diff) / (historyWeight + 1)
	}
	e.updateGroupDemand(before)
}

func (e *Engine) addLocalLoad(demand, kvTokens int64) {
	before := e.Demand()
	e.load.local += demand
	e.load.localKVTokens += kvTokens
	e.updateGroupDemand(before)
}

func (e *Engine) replacePeerLoad(now, old peerLoad) {
	before := e.Demand()
	e.load.remote += now.demand - old.demand
	e.load.remoteRequests += now.active - old.active
	e.updateGroupDemand(before)
}

// HasKVMemory reports whether the engine has memory for need more KV tokens.
// The memory that the requests of other instances take is estimated from the
// average of the local ones.
func (e *Engine) HasKVMemory(need int64) bool {
	if e.KVCapacity <= 0 {
		return true
	}
	perRequest := need
	if e.localRequests > 0 {
		perRequest = e.load.localKVTokens / int64(e.localRequests)
	}
	return e.load.localKVTokens+int64(e.load.remoteRequests)*perRequest+need <= int64(e.KVCapacity)
}

// updateGroupDemand adds the change of the engine's demand since before to
// the sums of its groups.
func (e *Engine) updateGroupDemand(before int64) {
	change := e.Demand() - before
	if change == 0 {
		return
	}
	for _, g := range e.groups {
		g.demand += change
	}
}
