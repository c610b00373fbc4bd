package stall_test

import (
	"slices"
	"testing"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/stall"
)

const ms = time.Millisecond

func chain(engines ...spec.UpstreamID) spec.Chain {
	var c spec.Chain
	for i, id := range engines {
		c = append(c, spec.NewStage(id, spec.NewLayers(i, i+1)))
	}
	return c
}

func stream(last time.Duration, engines ...spec.UpstreamID) stall.Stream {
	return stall.Stream{Chain: chain(engines...), LastEvent: last, Gap: 15 * ms, Started: true}
}

func TestCheck(t *testing.T) {
	reading := stall.Stream{Chain: chain("a", "b"), LastEvent: 800 * ms}
	tests := []struct {
		name    string
		streams []stall.Stream
		want    []spec.UpstreamID
	}{
		{"all produce events", []stall.Stream{stream(990*ms, "a", "b"), stream(995*ms, "a", "c")}, nil},
		{"two streams of one engine stalled, others pass the other engines", []stall.Stream{
			stream(900*ms, "a", "b"), stream(905*ms, "c", "b"), stream(998*ms, "a", "d"), stream(997*ms, "c", "d"),
		}, []spec.UpstreamID{"b"}},
		{"a whole chain stalled", []stall.Stream{stream(900*ms, "a", "b"), stream(901*ms, "a", "b")}, []spec.UpstreamID{"a", "b"}},
		{"a single stream isn't enough yet", []stall.Stream{stream(900*ms, "a", "b")}, nil},
		{"a single stream after twice the time", []stall.Stream{stream(850*ms, "a", "b")}, []spec.UpstreamID{"a", "b"}},
		{"many are enough earlier", []stall.Stream{
			stream(954*ms, "a", "b"), stream(953*ms, "a", "b"), stream(952*ms, "a", "b"), stream(951*ms, "a", "b"), stream(950*ms, "a", "b"),
		}, []spec.UpstreamID{"a", "b"}},
		{"prompts are still being read", []stall.Stream{reading, reading, reading}, nil},
	}
	for _, test := range tests {
		d := &stall.Detector{}
		var got []spec.UpstreamID
		for _, s := range d.Check(time.Second, test.streams) {
			got = append(got, s.Engine)
			if s.ManyStreams != (len(test.streams) >= 5) {
				t.Errorf("%s: got %+v, want ManyStreams only for five streams", test.name, s)
			}
		}
		if !slices.Equal(got, test.want) {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}

// Streams stay stalled behind engines that respond, because they are preempted. Their
// engines must be reported again only after a while.
func TestReportsAreSpaced(t *testing.T) {
	d := &stall.Detector{}
	stalled := []stall.Stream{stream(0, "a"), stream(0, "a")}
	reports := 0
	for now := 100 * ms; now < 1100*ms; now += 10 * ms {
		reports += len(d.Check(now, stalled))
	}
	if reports < 2 || reports > 4 {
		t.Errorf("got %d reports in a second, want 2 to 4", reports)
	}
}

// A few streams stall first, and the engine is probed; then many stall. The engine
// must be reported again, so that the probe needn't wait for its response any longer.
func TestSuspectIsReportedAgainWithManyStreams(t *testing.T) {
	d := &stall.Detector{}
	few := []stall.Stream{stream(900*ms, "a"), stream(901*ms, "a")}
	var all []stall.Stream
	for n := range 6 {
		all = append(all, stream(900*ms+time.Duration(n)*ms, "a"))
	}
	got := d.Check(975*ms, few)
	got = append(got, d.Check(985*ms, all)...)
	got = append(got, d.Check(995*ms, all)...)
	if want := []stall.Suspect{{Engine: "a"}, {Engine: "a", ManyStreams: true}}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
