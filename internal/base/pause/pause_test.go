package pause_test

import (
	"fmt"
	"testing"
	"time"

	"fulmarwick/internal/base/pause"
)

func at(ms int) time.Time { return time.UnixMilli(int64(ms)) }

// A process ticks every 10 ms and is paused twice. Time in a pause must count as
// paused, also if only a part of the pause is asked for, and also in a pause that no
// tick has ended yet.
func TestPausedBetween(t *testing.T) {
	c := &pause.Detector{TickInterval: 10 * time.Millisecond, MinPause: 5 * time.Millisecond}
	for _, ms := range []int{0, 10, 21, 30, 140, 150, 160, 300} {
		c.Tick(at(ms))
	}
	tests := []struct {
		name       string
		since, now int
		want       time.Duration
	}{
		{"no pause", 0, 30, 0},
		{"a slightly late tick", 10, 30, 0},
		{"one pause", 30, 150, 110 * time.Millisecond},
		{"both", 0, 300, 250 * time.Millisecond},
		{"from the middle of the first", 90, 300, 190 * time.Millisecond},
		{"from the middle of the second", 250, 300, 50 * time.Millisecond},
		{"after both", 300, 308, 0},
		{"a pause that has not ended", 300, 400, 100 * time.Millisecond},
		{"from the middle of a pause that has not ended", 350, 400, 50 * time.Millisecond},
	}
	for _, test := range tests {
		if got := c.PausedBetween(at(test.since), at(test.now)); got != test.want {
			t.Errorf("%s: got %s, want %s", test.name, got, test.want)
		}
	}
}

func ExampleDetector() {
	c := &pause.Detector{TickInterval: 10 * time.Millisecond, MinPause: 5 * time.Millisecond}
	c.Tick(at(0))
	fmt.Println(c.Tick(at(10)), c.Tick(at(610)), c.PausedBetween(at(0), at(610)))
	// Output: 0s 590ms 600ms
}
