// Package hist keeps the recent distribution of ratios of what was observed to
// what was predicted.
//
// It imports a histogram library only. Packages admit and retry of the routing
// logic keep one Ratios per class and kind of prediction.
package hist

import "github.com/HdrHistogram/hdrhistogram-go"

const (
	// unit is a ratio of 1 in the histogram.
	unit   = 100
	top    = 50 * unit
	digits = 2
	// samples is after how many a histogram starts anew; the one before it is
	// read until the new one has enough.
	samples = 512
	enough  = 32
)

// Ratios is the distribution of the last few hundred ratios, with a resolution
// of 0.01 and up to 50. The zero value is empty.
type Ratios struct {
	now, last *hdrhistogram.Histogram
}

// Add notes a ratio.
func (r *Ratios) Add(ratio float64) {
	if r.now == nil {
		r.now = hdrhistogram.New(1, top, digits)
	}
	if r.now.TotalCount() >= samples {
		r.now, r.last = hdrhistogram.New(1, top, digits), r.now
	}
	_ = r.now.RecordValue(min(max(1, int64(ratio*unit)), top))
}

// At is the ratio that percent of 100 do not exceed, or false while too few
// were seen to tell.
func (r *Ratios) At(percent float64) (float64, bool) {
	h := r.now
	if h == nil {
		return 0, false
	}
	if h.TotalCount() < enough && r.last != nil {
		h = r.last
	}
	if h.TotalCount() < enough {
		return 0, false
	}
	return float64(h.ValueAtQuantile(percent)) / unit, true
}
