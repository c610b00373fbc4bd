package pick

import (
	"math"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/world"
)

const (
	// Penalties put a chain that breaks a wish behind all that do not, and
	// still let it be found if there is no other.
	fullPenalty = time.Hour
	slowPenalty = 10 * time.Second
	// busiest is the use above which the queueing formula gives way to a line.
	busiest = 0.97
)

// offer is an engine that may run layers within a range.
type offer struct {
	engine *world.Engine
	layers spec.Layers
	width  int
	// hit is how many prompt positions the engine has cached.
	hit int
	// kept is set for a stage that the request has already: it runs just
	// these layers and needs no rebuild.
	kept bool
}

// cost is the predicted time of one stage.
type cost struct {
	first time.Duration
	token time.Duration
	rank  time.Duration
	full  bool
}

// price predicts what n layers on the offer cost the request.
func (c *call) price(o *offer, n int) cost {
	e := o.engine
	draw := int64(float64(n) / c.typical.Seconds())
	if o.kept {
		draw = 0
	}
	use := float64(e.Draw()+draw) / float64(e.Capacity())
	work := time.Duration(float64(time.Duration(n)*e.Pace()) * stretch(use, e.Slots))
	hop := e.HopTime()
	out := cost{token: work + hop + wire(o, 1)}
	out.first = out.token
	if !o.kept {
		run := max(1, c.positions-o.hit)
		out.first = work*chunks(run) + hop + wire(o, run)
	}
	out.rank = out.first + time.Duration(c.ask.Out)*out.token
	out.full = !o.kept && use > c.ask.Limit
	if out.full {
		out.rank += fullPenalty
	}
	if e.Slow() && !o.kept {
		out.rank += slowPenalty
	}
	return out
}

// wire is the time that the hidden values of positions take on the link.
func wire(o *offer, positions int) time.Duration {
	if o.engine.Bandwidth <= 0 || o.layers.From() == 0 {
		return 0
	}
	bytes := float64(positions) * float64(o.width)
	return time.Duration(bytes / float64(o.engine.Bandwidth) * float64(time.Second))
}

// stretch is how much longer a step takes on an engine with this use than
// alone. Below saturation it is Sakasegawa's approximation of the wait before
// slots servers; above, requests share what there is.
func stretch(use float64, slots int) float64 {
	s := float64(max(1, slots))
	if use <= 0 {
		return 1
	}
	calm := min(use, busiest)
	wait := math.Pow(calm, math.Sqrt(2*(s+1))-1) / (s * (1 - calm))
	// Within a batch a request waits for itself never, so a closed set of
	// requests waits less than the open formula says near saturation.
	wait = min(wait, 0.5)
	return 1 + wait + max(0, use-busiest)
}
