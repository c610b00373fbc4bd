package retry_test

import (
	"testing"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
	"fulmarwick/internal/route/retry"
)

func newRequest(target spec.Target) *domain.Request {
	w := &domain.RoutingState{}
	w.Apply(domain.ConfigChanged{Version: 1, Classes: []spec.Class{spec.NewModelClass("c", "m", target)}})
	w.Apply(domain.RequestArrived{Request: "r", Class: "c"})
	return w.Requests().TakeDue()[0]
}

func TestTimeoutsFollowPredictionAndTarget(t *testing.T) {
	slow := domain.Plan{MaxStepTime: 100 * time.Millisecond, MaxPrefillTime: time.Second}
	fast := domain.Plan{MaxStepTime: time.Millisecond, MaxPrefillTime: 10 * time.Millisecond}
	tests := []struct {
		name string
		gap  time.Duration
		plan domain.Plan
		want retry.Timeouts
	}{
		{"fast engines wait for a stall of the host", 0, fast, retry.Timeouts{Step: 500 * time.Millisecond, Prefill: time.Second}},
		{"slow engines are given their time", 0, slow, retry.Timeouts{Step: 800 * time.Millisecond, Prefill: 8 * time.Second}},
		{"a tight gap waits less", 27 * time.Millisecond, fast, retry.Timeouts{Step: 250 * time.Millisecond, Prefill: time.Second}},
		{"twice the gap", 200 * time.Millisecond, fast, retry.Timeouts{Step: 400 * time.Millisecond, Prefill: time.Second}},
	}
	for _, test := range tests {
		p := &retry.TimeoutEstimator{}
		if got := p.Timeouts(newRequest(spec.NewTarget(0, test.gap, 0, 95)), test.plan); got != test.want {
			t.Errorf("%s: got %+v, want %+v", test.name, got, test.want)
		}
	}
}
