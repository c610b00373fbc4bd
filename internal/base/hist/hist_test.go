package hist_test

import (
	"math"
	"testing"

	"fulmarwick/internal/base/hist"
)

func TestRatios(t *testing.T) {
	r := &hist.Ratios{}
	if _, ok := r.Percentile(95); ok {
		t.Error("empty: got a ratio, want none")
	}
	for i := range 100 {
		r.Add(float64(i+1) / 100)
	}
	if got, ok := r.Percentile(95); !ok || math.Abs(got-0.95) > 0.02 {
		t.Errorf("of 100: got %v %v, want 0.95", got, ok)
	}
	for range 1100 {
		r.Add(3)
	}
	if got, _ := r.Percentile(5); math.Abs(got-3) > 0.05 {
		t.Errorf("old ratios: got %v, want them dropped and 3", got)
	}
}
