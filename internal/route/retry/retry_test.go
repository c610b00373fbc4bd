package retry_test

import (
	"testing"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
	"fulmarwick/internal/route/retry"
)

func newRequest(target spec.Target) *domain.Request {
	state := &domain.RoutingState{}
	state.Apply(domain.ConfigChanged{Version: 1, Classes: []spec.Class{spec.NewModelClass("c", "m", target)}})
	state.Apply(domain.RequestArrived{Request: "r", Class: "c"})
	return state.Requests().TakeDue()[0]
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
		{"fast engines get the minimum that outlasts a host stall", 0, fast, retry.Timeouts{Step: 500 * time.Millisecond, Prefill: time.Second}},
		{"slow engines get a multiple of the prediction", 0, slow, retry.Timeouts{Step: 800 * time.Millisecond, Prefill: 8 * time.Second}},
		{"a tight gap target lowers the minimum", 27 * time.Millisecond, fast, retry.Timeouts{Step: 250 * time.Millisecond, Prefill: time.Second}},
		{"the minimum is twice the gap target", 200 * time.Millisecond, fast, retry.Timeouts{Step: 400 * time.Millisecond, Prefill: time.Second}},
	}
	for _, test := range tests {
		estimator := &retry.TimeoutEstimator{}
		if got := estimator.Timeouts(newRequest(spec.NewTarget(0, test.gap, 0, 95)), test.plan); got != test.want {
			t.Errorf("%s: got %+v, want %+v", test.name, got, test.want)
		}
	}
}
