package retry

import (
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/world"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	stepLeast    = 250 * time.Millisecond
	stepMost     = 10 * time.Second
	prefillLeast = time.Second
	prefillMost  = 60 * time.Second
	// stepTimes is the patience over the 99th percentile of the longest gap,
	// planTimes over the predicted time.
	stepTimes = 2
	planTimes = 6
	quantile  = 99
	// samples is after how many answers a histogram starts anew; the one
	// before it is read meanwhile.
	samples = 512
	// enough answers make the observed distribution count.
	enough  = 32
	ticks   = 100 * time.Microsecond
	digits  = 2
	topTick = int64(120 * time.Second / ticks)
)

// Patience learns per class how long steps take.
type Patience struct {
	classes map[spec.ClassName]*gaps
}

type gaps struct {
	now, last *hdrhistogram.Histogram
}

// Saw notes an answer that ran on one chain to its end.
func (p *Patience) Saw(class spec.ClassName, longest time.Duration) {
	if longest <= 0 {
		return
	}
	if p.classes == nil {
		p.classes = map[spec.ClassName]*gaps{}
	}
	g := p.classes[class]
	if g == nil {
		g = &gaps{now: hdrhistogram.New(1, topTick, digits)}
		p.classes[class] = g
	}
	if g.now.TotalCount() >= samples {
		g.now, g.last = hdrhistogram.New(1, topTick, digits), g.now
	}
	_ = g.now.RecordValue(min(max(1, int64(longest/ticks)), topTick))
}

// Keep drops what was learnt for classes that are no longer in force.
func (p *Patience) Keep(classes []spec.Class) {
	kept := map[spec.ClassName]*gaps{}
	for _, c := range classes {
		if g := p.classes[c.Name()]; g != nil {
			kept[c.Name()] = g
		}
	}
	p.classes = kept
}

// Times is how long to wait for the steps of a request that starts by plan.
// Each timeout that the request met doubles it: where a step is slow and not
// lost, trying again just as soon would only repeat the work.
func (p *Patience) Times(r *world.Request, plan world.Plan) Times {
	step := max(stepLeast, planTimes*plan.Token)
	if seen := p.longest(r.Arrived().Class); seen > 0 {
		step = max(step, stepTimes*seen)
	}
	prefill := max(prefillLeast, planTimes*plan.First)
	if r.Cause() == world.CauseTimeout && r.Attempt() > 0 {
		shift := min(len(r.Lost()), 5)
		step <<= shift
		prefill <<= shift
	}
	return Times{Step: min(step, stepMost), Prefill: min(prefill, prefillMost)}
}

func (p *Patience) longest(class spec.ClassName) time.Duration {
	g := p.classes[class]
	if g == nil {
		return 0
	}
	h := g.now
	if h.TotalCount() < enough && g.last != nil {
		h = g.last
	}
	if h.TotalCount() < enough {
		return 0
	}
	return time.Duration(h.ValueAtQuantile(quantile)) * ticks
}
