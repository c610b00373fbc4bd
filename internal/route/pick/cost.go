package pick

import (
	"math"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
)

const (
	// Penalties put a chain that breaks a wish behind all that do not, and
	// still let it be found if there is no other.
	noCapacityPenalty = time.Hour
	slowPenalty       = 10 * time.Second
	// fullLoadWaitFactor is the wait over the work at full use, waitOver how much it
	// grows with use above that.
	fullLoadWaitFactor = 0.25
	overloadWaitFactor = 0.6
)

// candidate is an engine that may run layers within a range.
type candidate struct {
	engine *domain.Engine
	layers spec.Layers
	width  int
	// cachedPositions is how many prompt positions the engine has cached.
	cachedPositions int
	// kept is set for a stage that the request has already: it runs just
	// these layers and needs no rebuild.
	kept bool
}

// cost is the predicted time of one stage.
type cost struct {
	firstTokenTime time.Duration
	tokenTime      time.Duration
	rank           time.Duration
	lacksCapacity  bool
}

// predictCost predicts what n layers on the offer cost the request.
func (c *selection) predictCost(o *candidate, n int) cost {
	e := o.engine
	draw := int64(float64(n) / c.typicalTokenTime.Seconds())
	if o.kept {
		draw = 0
	}
	use := float64(e.Demand()+draw) / float64(e.Capacity())
	work := time.Duration(float64(time.Duration(n)*e.PositiveLayerTime()) * loadSlowdown(use, e.Slots))
	hop := e.HopTime()
	out := cost{tokenTime: work + hop + transferTime(o, 1)}
	out.firstTokenTime = out.tokenTime
	if !o.kept {
		run := max(1, c.positions-o.cachedPositions)
		out.firstTokenTime = work*chunkCount(run) + hop + transferTime(o, run)
	}
	out.rank = out.firstTokenTime + time.Duration(c.query.RemainingTokens)*out.tokenTime
	out.lacksCapacity = !o.kept && (use > c.query.MaxUtilization || !e.HasKVMemory(int64(c.r.MaxKVTokens())))
	if out.lacksCapacity {
		out.rank += noCapacityPenalty
	}
	if e.HasSlowLink() && !o.kept {
		out.rank += slowPenalty
	}
	return out
}

// transferTime is the time that the hidden values of positions take on the link.
func transferTime(o *candidate, positions int) time.Duration {
	if o.engine.Bandwidth <= 0 || o.layers.From() == 0 {
		return 0
	}
	bytes := float64(positions) * float64(o.width)
	return time.Duration(bytes / float64(o.engine.Bandwidth) * float64(time.Second))
}

// loadSlowdown is how much longer a step takes on an engine with this use than
// alone. Up to full it grows with the chance that all slots are taken at once,
// which is less the more slots there are; above, requests share what there is.
// The factors fit the closed set of requests that admission lets in; an open
// queue's formula has no end at full use.
func loadSlowdown(use float64, slots int) float64 {
	if use <= 0 {
		return 1
	}
	power := math.Sqrt(2 * float64(max(1, slots)+1))
	return 1 + fullLoadWaitFactor*math.Pow(min(use, 1), power) + overloadWaitFactor*max(0, use-1)
}
