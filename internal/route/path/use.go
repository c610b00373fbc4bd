package path

import (
	"math"

	"fulmarwick/internal/base/spec"
)

// Usage is what requests take of an engine.
type Usage struct {
	// Streams is how many requests pass it.
	Streams int `cbor:"1,keyasint"`
	// Cells is the memory promised to them, in tokens times layers.
	Cells int `cbor:"2,keyasint"`
	// PendingPrefill is what is still to be read of their prompts, in tokens times
	// layers.
	PendingPrefill int `cbor:"3,keyasint"`
	// Variance is the variance of Cells.
	Variance float64 `cbor:"4,keyasint,omitempty"`
}

func (u *Usage) add(o Usage) {
	u.Streams += o.Streams
	u.Cells += o.Cells
	u.PendingPrefill += o.PendingPrefill
	u.Variance += o.Variance
}

// Plus is what both take together.
func (u Usage) Plus(o Usage) Usage {
	u.add(o)
	return u
}

// Minus is what is left of u without a part of it.
func (u Usage) Minus(o Usage) Usage { return u.Plus(o.scaled(-1)) }

// scaled is what n such requests take.
func (u Usage) scaled(n int) Usage {
	return Usage{Streams: n * u.Streams, Cells: n * u.Cells, PendingPrefill: n * u.PendingPrefill, Variance: float64(n) * u.Variance}
}

// peak is the memory in tokens times layers that the requests take at most but
// for one moment in a thousand.
func (u Usage) peak() float64 {
	return float64(u.Cells) + peakDeviations*math.Sqrt(max(0, u.Variance))
}

// peakDeviations is how many standard deviations above its mean a normal sum is
// once in a thousand moments.
const peakDeviations = 3.09

// Demand is what a request takes of each layer.
type Demand struct {
	// Prompt is the tokens to read, Answer those to write.
	Prompt int
	Answer int
	// MeanTokens is the tokens that the request holds at a moment of its run, Spread
	// their variance; zero stands for all tokens.
	MeanTokens    float64
	TokenVariance float64
	// Resumed is set for an answer that was broken off: its caller has begun to
	// read, and waits for the next event, not for the last one.
	Resumed bool
}

func (n Demand) usage(layers int, unread bool) Usage {
	u := Usage{Streams: 1, Cells: (n.Prompt + n.Answer) * layers}
	if n.MeanTokens > 0 {
		u.Cells = int(n.MeanTokens * float64(layers))
		u.Variance = n.TokenVariance * float64(layers) * float64(layers)
	}
	if unread {
		u.PendingPrefill = n.Prompt * layers
	}
	return u
}

// Begin counts a request in on a chain of which it still reads the prompt.
func (t *Table) Begin(c spec.Chain, n Demand) { t.adjustUsage(c, n, true, 1) }

// PrefillDone tells that the prompt of a request is read.
func (t *Table) PrefillDone(c spec.Chain, n Demand) {
	t.adjustUsage(c, n, true, -1)
	t.adjustUsage(c, n, false, 1)
	for _, s := range c {
		if e := t.byID[s.Engine()]; e != nil {
			e.refusalCooldown = 0
		}
	}
}

// AdjustRetryPrefill counts in, or out with a sign of -1, that engines read a prompt once
// more: what is behind a dead engine moves to a few others at the same moment.
func (t *Table) AdjustRetryPrefill(c spec.Chain, n Demand, sign int) {
	for _, s := range c {
		if e := t.byID[s.Engine()]; e != nil {
			cells := sign * n.Prompt * s.Layers().Len()
			e.local.PendingPrefill = max(0, e.local.PendingPrefill+cells)
			e.retryPrefill = max(0, e.retryPrefill+cells)
		}
	}
}

// End counts a request out; unread tells whether it still read its prompt.
func (t *Table) End(c spec.Chain, n Demand, unread bool) { t.adjustUsage(c, n, unread, -1) }

func (t *Table) adjustUsage(c spec.Chain, n Demand, unread bool, sign int) {
	for _, s := range c {
		e := t.byID[s.Engine()]
		if e == nil {
			continue
		}
		e.local.add(n.usage(s.Layers().Len(), unread).scaled(sign))
		// A request that began before its engine was born anew does not count.
		e.local.Streams = max(0, e.local.Streams)
		e.local.Cells = max(0, e.local.Cells)
		e.local.PendingPrefill = max(0, e.local.PendingPrefill)
		e.local.Variance = max(0, e.local.Variance)
		if e.local.Streams == 0 {
			// Sums of fractions leave a rest.
			e.local.Cells, e.local.Variance = 0, 0
		}
	}
}
