package retry_test

import (
	"testing"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/retry"
	"fulmarwick/internal/route/world"
)

func request(target spec.Target) *world.Request {
	w := &world.World{}
	w.Apply(world.ConfigSet{Version: 1, Classes: []spec.Class{spec.NewModelClass("c", "m", target)}})
	w.Apply(world.Arrived{Request: "r", Class: "c"})
	return w.Requests().Due()[0]
}

func TestPatienceFollowsPredictionAndTarget(t *testing.T) {
	slow := world.Plan{Step: 100 * time.Millisecond, Prefill: time.Second}
	fast := world.Plan{Step: time.Millisecond, Prefill: 10 * time.Millisecond}
	tests := []struct {
		name string
		gap  time.Duration
		plan world.Plan
		want retry.Times
	}{
		{"fast engines wait for a stall of the host", 0, fast, retry.Times{Step: 500 * time.Millisecond, Prefill: time.Second}},
		{"slow engines are given their time", 0, slow, retry.Times{Step: 800 * time.Millisecond, Prefill: 8 * time.Second}},
		{"a tight gap waits less", 27 * time.Millisecond, fast, retry.Times{Step: 250 * time.Millisecond, Prefill: time.Second}},
		{"twice the gap", 200 * time.Millisecond, fast, retry.Times{Step: 400 * time.Millisecond, Prefill: time.Second}},
	}
	for _, test := range tests {
		p := &retry.Patience{}
		if got := p.Times(request(spec.NewTarget(0, test.gap, 0, 95)), test.plan); got != test.want {
			t.Errorf("%s: got %+v, want %+v", test.name, got, test.want)
		}
	}
}
