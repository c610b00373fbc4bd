// Package hist keeps the recent distribution of the ratios of observed to predicted
// values.
//
// It imports a histogram library only. Packages admit and retry of the routing logic
// keep one Ratios per class and kind of prediction.
package hist

import "github.com/HdrHistogram/hdrhistogram-go"

const (
	// valuesPerUnit is the histogram value of a ratio of 1.
	valuesPerUnit     = 100
	maxValue          = 50 * valuesPerUnit
	significantDigits = 2
	// maxSamples is the number of samples after which a new histogram is started; the
	// previous one is read until the new one has minSamples.
	maxSamples = 512
	minSamples = 32
)

// Ratios is the distribution of the last few hundred ratios, with a resolution of 0.01
// and up to 50. The zero value is empty.
type Ratios struct {
	current, previous *hdrhistogram.Histogram
}

// Add records a ratio.
func (r *Ratios) Add(ratio float64) {
	if r.current == nil {
		r.current = hdrhistogram.New(1, maxValue, significantDigits)
	}
	if r.current.TotalCount() >= maxSamples {
		r.current, r.previous = hdrhistogram.New(1, maxValue, significantDigits), r.current
	}
	_ = r.current.RecordValue(min(max(1, int64(ratio*valuesPerUnit)), maxValue))
}

// Percentile returns the ratio that is not exceeded by the given percentage of the
// samples. It returns false while there are too few samples.
func (r *Ratios) Percentile(percent float64) (float64, bool) {
	h := r.current
	if h == nil {
		return 0, false
	}
	if h.TotalCount() < minSamples && r.previous != nil {
		h = r.previous
	}
	if h.TotalCount() < minSamples {
		return 0, false
	}
	return float64(h.ValueAtQuantile(percent)) / valuesPerUnit, true
}
