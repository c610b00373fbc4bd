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
	// waitFull is the wait over the work at full use, waitOver how much it
	// grows with use above that.
	waitFull = 0.25
	waitOver = 0.6
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
	out.full = !o.kept && (use > c.ask.Limit || !e.Room(int64(c.r.KV())))
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
// alone. Up to full it grows with the chance that all slots are taken at once,
// which is less the more slots there are; above, requests share what there is.
// The factors fit the closed set of requests that admission lets in; an open
// queue's formula has no end at full use.
func stretch(use float64, slots int) float64 {
	if use <= 0 {
		return 1
	}
	power := math.Sqrt(2 * float64(max(1, slots)+1))
	return 1 + waitFull*math.Pow(min(use, 1), power) + waitOver*max(0, use-1)
}
