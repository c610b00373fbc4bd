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
		{"all make events", []stall.Stream{stream(990*ms, "a", "b"), stream(995*ms, "a", "c")}, nil},
		{"two behind one engine fell silent, others pass the rest", []stall.Stream{
			stream(900*ms, "a", "b"), stream(905*ms, "c", "b"), stream(998*ms, "a", "d"), stream(997*ms, "c", "d"),
		}, []spec.UpstreamID{"b"}},
		{"a whole chain fell silent", []stall.Stream{stream(900*ms, "a", "b"), stream(901*ms, "a", "b")}, []spec.UpstreamID{"a", "b"}},
		{"one alone is not enough yet", []stall.Stream{stream(900*ms, "a", "b")}, nil},
		{"one alone after twice the time", []stall.Stream{stream(850*ms, "a", "b")}, []spec.UpstreamID{"a", "b"}},
		{"many are enough sooner", []stall.Stream{
			stream(954*ms, "a", "b"), stream(953*ms, "a", "b"), stream(952*ms, "a", "b"), stream(951*ms, "a", "b"), stream(950*ms, "a", "b"),
		}, []spec.UpstreamID{"a", "b"}},
		{"prompts take their time", []stall.Stream{reading, reading, reading}, nil},
	}
	for _, test := range tests {
		w := &stall.Detector{}
		var got []spec.UpstreamID
		for _, d := range w.Check(time.Second, test.streams) {
			got = append(got, d.Engine)
			if d.ManyStreams != (len(test.streams) >= 5) {
				t.Errorf("%s: got %+v, want many only for five streams", test.name, d)
			}
		}
		if !slices.Equal(got, test.want) {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}

// Streams stay silent behind engines that answer: they are preempted. Their
// engines are asked again only after a while.
func TestReportsAreSpaced(t *testing.T) {
	w := &stall.Detector{}
	silent := []stall.Stream{stream(0, "a"), stream(0, "a")}
	asked := 0
	for now := 100 * ms; now < 1100*ms; now += 10 * ms {
		asked += len(w.Check(now, silent))
	}
	if asked < 2 || asked > 4 {
		t.Errorf("got %d questions in a second, want 2 to 4", asked)
	}
}

// A few streams fall silent first, and the engine is asked; then many are. It
// is named again, so that the answer need not be waited for any longer.
func TestSuspectIsReportedAgainWithManyStreams(t *testing.T) {
	w := &stall.Detector{}
	few := []stall.Stream{stream(900*ms, "a"), stream(901*ms, "a")}
	var all []stall.Stream
	for n := range 6 {
		all = append(all, stream(900*ms+time.Duration(n)*ms, "a"))
	}
	got := w.Check(975*ms, few)
	got = append(got, w.Check(985*ms, all)...)
	got = append(got, w.Check(995*ms, all)...)
	if want := []stall.Suspect{{Engine: "a"}, {Engine: "a", ManyStreams: true}}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
