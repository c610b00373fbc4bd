package pick

import (
	"math"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
)

const (
	// The penalties rank chains that violate a constraint after all others, but
	// such a chain is still found if there is no other.
	//
	// noCapacityPenalty applies to engines without capacity for the request.
	noCapacityPenalty = time.Hour
	// slowPenalty applies to engines behind a slow link.
	slowPenalty = 10 * time.Second
	// fullLoadWaitFactor is the ratio of waiting time to work at full
	// utilization.
	fullLoadWaitFactor = 0.25
	// overloadWaitFactor is how much that ratio grows with utilization above
	// full.
	overloadWaitFactor = 0.6
)

// candidate is an engine that may run layers within a range.
type candidate struct {
	engine *domain.Engine
	layers spec.Layers
	width  int
	// cachedPositions is how many prompt positions the engine has in its KV
	// cache.
	cachedPositions int
	// kept marks a stage that the request has already. The engine runs exactly
	// these layers, and its KV state needs no rebuild.
	kept bool
}

// cost is the predicted cost of one stage.
type cost struct {
	firstTokenTime time.Duration
	tokenTime      time.Duration
	rank           time.Duration
	lacksCapacity  bool
}

// predictCost predicts the cost for the request of running n layers on the
// candidate.
func (c *selection) predictCost(o *candidate, n int) cost {
	e := o.engine
	demand := int64(float64(n) / c.typicalTokenTime.Seconds())
	if o.kept {
		demand = 0
	}
	utilization := float64(e.Demand()+demand) / float64(e.Capacity())
	work := time.Duration(float64(time.Duration(n)*e.PositiveLayerTime()) * loadSlowdown(utilization, e.Slots))
	hop := e.HopTime()
	out := cost{tokenTime: work + hop + transferTime(o, 1)}
	out.firstTokenTime = out.tokenTime
	if !o.kept {
		positions := max(1, c.positions-o.cachedPositions)
		out.firstTokenTime = work*chunkCount(positions) + hop + transferTime(o, positions)
	}
	out.rank = out.firstTokenTime + time.Duration(c.query.RemainingTokens)*out.tokenTime
	out.lacksCapacity = !o.kept && (utilization > c.query.MaxUtilization || !e.HasKVMemory(int64(c.r.MaxKVTokens())))
	if out.lacksCapacity {
		out.rank += noCapacityPenalty
	}
	if e.HasSlowLink() && !o.kept {
		out.rank += slowPenalty
	}
	return out
}

// transferTime returns how long the link takes to transfer the hidden states of
// the positions.
func transferTime(o *candidate, positions int) time.Duration {
	if o.engine.Bandwidth <= 0 || o.layers.From() == 0 {
		return 0
	}
	bytes := float64(positions) * float64(o.width)
	return time.Duration(bytes / float64(o.engine.Bandwidth) * float64(time.Second))
}

// loadSlowdown returns by what factor a step takes longer on an engine with
// this utilization than on an idle one. Up to full utilization, it grows with
// the probability that all slots are taken at once, which is lower the more
// slots there are. Beyond that, requests share the capacity.
//
// The factors fit a closed system, since admission limits the number of
// requests. The formula for an open queue diverges at full utilization.
func loadSlowdown(utilization float64, slots int) float64 {
	if utilization <= 0 {
		return 1
	}
	power := math.Sqrt(2 * float64(max(1, slots)+1))
	return 1 + fullLoadWaitFactor*math.Pow(min(utilization, 1), power) + overloadWaitFactor*max(0, utilization-1)
}
