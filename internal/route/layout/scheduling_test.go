package layout_test

import (
	"runtime"
	"testing"
	"time"

	"fulmarwick/internal/route/layout"
)

// BenchmarkSchedulingDelayDuringPlan measures how long another goroutine waits at most
// for the only processor while 90 engines are planned.
func BenchmarkSchedulingDelayDuringPlan(b *testing.B) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	m := unlikeCardsModel()
	engines := newFleetFor(m, [][]int{{4, 9, 16}, {3, 13, 14}, {2, 18, 10}})
	longest := time.Duration(0)
	for b.Loop() {
		done := make(chan struct{})
		go func() {
			defer close(done)
			layout.Plan(m, engines)
		}()
		for running := true; running; {
			start := time.Now()
			runtime.Gosched()
			longest = max(longest, time.Since(start))
			select {
			case <-done:
				running = false
			default:
			}
		}
	}
	b.ReportMetric(float64(longest.Microseconds())/1000, "longest-wait-ms")
}
