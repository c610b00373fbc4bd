package meters_test

import (
	"testing"
	"testing/synctest"
	"time"

	"fulmarwick/internal/app/meters"
	"fulmarwick/internal/base/spec"
)

func class(percent float64) spec.Class {
	return spec.NewModelClass("answer", "m", spec.NewTarget(time.Second, 50*time.Millisecond, 0, percent))
}

func TestAttainedAgainstTarget(t *testing.T) {
	tests := []struct {
		name       string
		first, gap time.Duration
		ok         bool
		met        int64
	}{
		{"within", time.Second, 50 * time.Millisecond, true, 1},
		{"first late", time.Second + 1, 0, true, 0},
		{"gap late", 0, 51 * time.Millisecond, true, 0},
		{"failed", 0, 0, false, 0},
	}
	for _, tt := range tests {
		b := &meters.Recorder{}
		b.Served(class(95), tt.first, tt.gap, time.Hour, tt.ok)
		got := b.All()
		if len(got) != 1 || got[0].Seen != 1 || got[0].Met != tt.met || got[0].MeetsTarget() != (tt.met == 1) {
			t.Errorf("%s: got %+v, want %d met", tt.name, got, tt.met)
		}
		if answered := got[0].Reliability() == 100; answered != tt.ok {
			t.Errorf("%s: got %v%% answered, want all: %v", tt.name, got[0].Reliability(), tt.ok)
		}
	}
}

func TestPercentiles(t *testing.T) {
	b := &meters.Recorder{}
	for i := 1; i <= 100; i++ {
		b.Served(class(95), time.Duration(i)*10*time.Millisecond, 0, 2*time.Hour, true)
	}
	got := b.All()[0]
	for _, p := range []struct{ got, want time.Duration }{{got.First.P50, 500 * time.Millisecond}, {got.First.P95, 950 * time.Millisecond}, {got.First.P99, 990 * time.Millisecond}, {got.Whole.P50, time.Hour}} {
		if off := p.got - p.want; off < -p.want/100 || off > p.want/100 {
			t.Errorf("got %s, want %s within 1%%", p.got, p.want)
		}
	}
	if got.Percent() != 100 || !got.MeetsTarget() {
		t.Errorf("got %v%%, want 100", got.Percent())
	}
}

// Requests older than the windows no longer count, even if the class has had no
// requests for much longer than that.
func TestOldWindowsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &meters.Recorder{}
		b.Served(class(95), 2*time.Second, 0, 0, true)
		time.Sleep(3 * time.Minute)
		b.Served(class(95), time.Second, 0, 0, true)
		if got := b.All()[0]; got.Seen != 2 || got.Met != 1 || got.MeetsTarget() {
			t.Errorf("got %d met of %d, want 1 of 2", got.Met, got.Seen)
		}
		time.Sleep(2 * time.Minute)
		if got := b.All()[0]; got.Seen != 1 || got.Met != 1 || !got.MeetsTarget() {
			t.Errorf("got %d met of %d, want 1 of 1", got.Met, got.Seen)
		}
		time.Sleep(1000 * time.Hour)
		if got := b.All()[0]; got.Seen != 0 || got.First.P99 != 0 {
			t.Errorf("got %d seen and p99 %s, want none", got.Seen, got.First.P99)
		}
		b.Retain(nil)
		if got := b.All(); len(got) != 0 {
			t.Errorf("got %d classes, want none", len(got))
		}
	})
}

func BenchmarkServed(b *testing.B) {
	board := &meters.Recorder{}
	c := class(95)
	b.ReportAllocs()
	for b.Loop() {
		board.Served(c, 300*time.Millisecond, 20*time.Millisecond, time.Second, true)
	}
}
