package ahead_test

import (
	"testing"
	"time"

	"fulmarwick/internal/route/ahead"
)

// Guards against an estimate that ignores the number of other instances, or that lasts although they
// have reported since.
func TestExpectedLoadFollowsOthersAndFadesWithReports(t *testing.T) {
	const interval = 400 * time.Millisecond
	var sent ahead.Sent
	sent.Add(0, interval, ahead.Load{Streams: 1, Cells: 100})
	if got := sent.ByOthers(0, interval, 35); got.Streams != 35 || got.Cells != 3500 {
		t.Errorf("got %+v of 35 others, want 35 streams and 3500 cells", got)
	}
	if got := sent.ByOthers(0, interval, 0); got != (ahead.Load{}) {
		t.Errorf("got %+v of no others, want nothing", got)
	}
	if got := sent.ByOthers(5*interval, interval, 35).Streams; got > 0.5 {
		t.Errorf("got %.2f streams after five intervals, want less than half a stream", got)
	}
}

// Guards against intervals that grow without bound as an instance is silent or lost.
func TestReportIntervalIsBounded(t *testing.T) {
	var r ahead.Reports
	now := time.Duration(0)
	for range 50 {
		r.Record(now, "a", false)
		now += time.Minute
	}
	if got := r.Interval(); got > 2*time.Second {
		t.Errorf("got an interval of %s, want 2s at most", got)
	}
	before := r.Interval()
	r.Record(now, "a", true)
	r.Record(now+time.Hour, "a", false)
	if got := r.Interval(); got != before {
		t.Errorf("got an interval of %s after an instance was lost, want %s as before", got, before)
	}
}
