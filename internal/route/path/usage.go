package path

import (
	"math"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/ahead"
)

// Usage is what requests occupy on an engine.
type Usage struct {
	// Streams is the number of requests that run on the engine.
	Streams int `cbor:"1,keyasint"`
	// Cells is the KV memory promised to them, in token-layers.
	Cells int `cbor:"2,keyasint"`
	// PendingPrefill is the part of their prompts that is still to be read, in
	// token-layers.
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

// Plus returns the sum of both usages.
func (u Usage) Plus(o Usage) Usage {
	u.add(o)
	return u
}

// Minus returns the usage without o.
func (u Usage) Minus(o Usage) Usage { return u.Plus(o.scaled(-1)) }

// scaled returns the usage of n such requests.
func (u Usage) scaled(n int) Usage {
	return Usage{Streams: n * u.Streams, Cells: n * u.Cells, PendingPrefill: n * u.PendingPrefill, Variance: float64(n) * u.Variance}
}

// peak returns the KV memory in token-layers that the requests exceed only once in a
// thousand moments.
func (u Usage) peak() float64 {
	return float64(u.Cells) + peakDeviations*math.Sqrt(max(0, u.Variance))
}

// peakDeviations is the number of standard deviations by which a normally distributed
// sum exceeds its mean once in a thousand moments.
const peakDeviations = 3.09

// Demand is what a request needs of each layer.
type Demand struct {
	// Prompt is the number of tokens to read, Answer the number of tokens to write.
	Prompt int
	Answer int
	// MeanTokens is the mean number of tokens that the request holds at a moment of
	// its run, TokenVariance their variance. If MeanTokens is zero, all tokens count.
	MeanTokens    float64
	TokenVariance float64
	// Resumed is set for a resumed stream. Its caller has begun to read and waits for
	// the next event, not for the last one.
	Resumed bool
}

func (d Demand) usage(layers int, prefilling bool) Usage {
	u := Usage{Streams: 1, Cells: (d.Prompt + d.Answer) * layers}
	if d.MeanTokens > 0 {
		u.Cells = int(d.MeanTokens * float64(layers))
		u.Variance = d.TokenVariance * float64(layers) * float64(layers)
	}
	if prefilling {
		u.PendingPrefill = d.Prompt * layers
	}
	return u
}

// Begin adds the usage of a request that still reads its prompt on a chain.
func (t *Table) Begin(c spec.Chain, d Demand) { t.adjustUsage(c, d, true, 1) }

// RecordSent records that this instance sends a request over a chain, so that it expects others to do
// the same.
func (t *Table) RecordSent(now time.Duration, c spec.Chain, d Demand) {
	if !t.ExpectLoad {
		return
	}
	for _, s := range c {
		if e := t.byID[s.Engine()]; e != nil {
			u := d.usage(s.Layers().Len(), true)
			e.sent.Add(now, t.reports.Interval(), ahead.Load{Streams: float64(u.Streams), Cells: float64(u.Cells), Prefill: float64(u.PendingPrefill)})
		}
	}
}

// expected returns the usage of an engine that other instances have not reported yet.
func (t *Table) expected(now time.Duration, e *engine) Usage {
	if !t.ExpectLoad {
		return Usage{}
	}
	l := e.sent.ByOthers(now, t.reports.Interval(), t.peerCount())
	return Usage{Streams: int(l.Streams), Cells: int(l.Cells), PendingPrefill: int(l.Prefill)}
}

// PrefillDone records that the prompt of a request has been read.
func (t *Table) PrefillDone(c spec.Chain, d Demand) {
	t.adjustUsage(c, d, true, -1)
	t.adjustUsage(c, d, false, 1)
	for _, s := range c {
		if e := t.byID[s.Engine()]; e != nil {
			e.refusalCooldown = 0
		}
	}
}

// AdjustRetryPrefill adds, or with a sign of -1 removes, a prompt that engines read
// again. The streams of a dead engine move to a few other engines at the same moment.
func (t *Table) AdjustRetryPrefill(c spec.Chain, d Demand, sign int) {
	for _, s := range c {
		if e := t.byID[s.Engine()]; e != nil {
			cells := sign * d.Prompt * s.Layers().Len()
			e.local.PendingPrefill = max(0, e.local.PendingPrefill+cells)
			e.retryPrefill = max(0, e.retryPrefill+cells)
		}
	}
}

// End removes the usage of a request. prefilling is set if its prompt was still
// being read.
func (t *Table) End(c spec.Chain, d Demand, prefilling bool) { t.adjustUsage(c, d, prefilling, -1) }

func (t *Table) adjustUsage(c spec.Chain, d Demand, prefilling bool, sign int) {
	for _, s := range c {
		e := t.byID[s.Engine()]
		if e == nil {
			continue
		}
		e.local.add(d.usage(s.Layers().Len(), prefilling).scaled(sign))
		// The request may have begun before the engine restarted, and then wasn't
		// counted.
		e.local.Streams = max(0, e.local.Streams)
		e.local.Cells = max(0, e.local.Cells)
		e.local.PendingPrefill = max(0, e.local.PendingPrefill)
		e.local.Variance = max(0, e.local.Variance)
		if e.local.Streams == 0 {
			// Floating-point sums leave a remainder.
			e.local.Cells, e.local.Variance = 0, 0
		}
	}
}
