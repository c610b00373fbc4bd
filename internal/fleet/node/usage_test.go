package node_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"fulmarwick/internal/base/news"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/node"

	"pgregory.net/rapid"
)

// The logic must be deterministic: a logic that ran in a fleet under message
// loss and restarts is run again from its recorded events and must return the
// same commands.
func TestSameEventsSameCommands(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		f := newFleet(t, rapid.IntRange(2, 6).Draw(r, "instances"), rapid.IntRange(1, 3).Draw(r, "centres"), 5)
		f.duties = []node.DutySpec{fleetDuty(1), fleetDuty(2), fleetDuty(3)}
		f.loss = rapid.Float64Range(0, 0.3).Draw(r, "loss")
		x := f.instances[0]
		f.start(x)
		x.recording = &recording{}
		for range rapid.IntRange(2, 4).Draw(r, "turns") {
			other := f.instances[rapid.IntRange(1, len(f.instances)-1).Draw(r, "other")]
			switch rapid.IntRange(0, 3).Draw(r, "turn") {
			case 0:
				f.kill(other)
			case 1:
				f.start(other)
			case 2:
				f.publish(other, news.KindPrint, "p", news.ScopeFleet, news.Fingerprint{Fingerprint: uint64(f.now)})
			case 3:
				x.events = append(x.events, node.TokensUsed{Team: "t", Tokens: 50}, node.ConnectionLost{Peer: other.self.ID})
			}
			f.runWork(time.Second, 5)
		}
		replayed := &node.Logic{Local: x.self, StartTime: x.startTime, Rand: rand.New(rand.NewPCG(0, uint64(x.starts)))}
		for i, tick := range x.recording.ticks {
			if got := replayed.Tick(tick.now, tick.events); !reflect.DeepEqual(got, tick.commands) {
				r.Fatalf("got %v at tick %d, want %v", got, i, tick.commands)
			}
		}
	})
}

// A heavy team uses all instances. Each instance must know the usage of the
// team over the fleet, so that the limit of the team applies once and not once
// per instance. The figure must follow when an instance joins or dies.
func TestTeamUsageIsKnownFleetWide(t *testing.T) {
	f := newFleet(t, 4, 2, 2)
	f.settle()
	measureUsage := func() float64 {
		for range 10 {
			for _, x := range f.instances {
				if x.up {
					f.publishFor(x, news.KindRate, "t", news.ScopeFleet, 5, news.Rate{Team: "big", Rate: 250})
				}
			}
			f.run(time.Second)
		}
		return f.instances[0].teamRates["big"]
	}
	if got := measureUsage(); got != 1000 {
		t.Errorf("got a usage of %v, want 1000", got)
	}
	f.kill(f.instances[1])
	f.run(10 * time.Second)
	if got := measureUsage(); got != 750 {
		t.Errorf("got a usage of %v after a death, want 750", got)
	}
	f.start(f.instances[1])
	f.run(10 * time.Second)
	if got := measureUsage(); got != 1000 {
		t.Errorf("got a usage of %v after a join, want 1000", got)
	}
}

// The sketch must find a heavy team from single token counts, without a
// published rate.
func TestHeavyTeamIsFoundFromTokenCounts(t *testing.T) {
	f := newFleet(t, 4, 1, 0)
	f.settle()
	for range 400 {
		for i, x := range f.instances {
			x.events = append(x.events, node.TokensUsed{Team: "big", Tokens: 10}, node.TokensUsed{Team: spec.TeamID(fmt.Sprint("s", i, f.now)), Tokens: 1})
		}
		f.run(100 * time.Millisecond)
	}
	if got := f.instances[0].teamRates["big"]; got < 300 || got > 450 {
		t.Errorf("got a usage of %v, want about 400 tokens a second", got)
	}
}

// Four instances each have work in flight on an engine. Each must get the sum
// of the other three, to correct the late report of the engine, and the work
// of a dead instance must be dropped.
func TestPeerLoadIsReportedAndExpires(t *testing.T) {
	f := newFleet(t, 4, 1, 1)
	f.settle()
	e := f.engines[centreName(0)][0]
	for _, x := range f.instances {
		f.publishFor(x, news.KindLoad, string(e), news.ScopeCentre, 5, news.Load{Engine: string(e), Active: 3, Tokens: 100})
	}
	f.run(5 * time.Second)
	for _, x := range f.instances {
		if got := x.loads[e]; got.Active != 9 || got.Tokens != 300 {
			t.Errorf("got %+v at %s, want 9 requests and 300 tokens", got, x.self.ID)
		}
	}
	f.kill(f.instances[2])
	f.run(10 * time.Second)
	if got := f.instances[0].loads[e]; got.Active != 6 {
		t.Errorf("got %+v after a death, want 6 requests", got)
	}
}

// BenchmarkShare measures the error of the fleet-wide usage of a heavy team,
// as each instance knows it, while rates change and instances join and die.
func BenchmarkShare(b *testing.B) {
	for _, s := range []fleetSize{{4, 3, 2, 1}, {360, 10, 2, 1}} {
		for _, churn := range []bool{false, true} {
			b.Run(fmt.Sprintf("%v/churn=%v", s, churn), func(b *testing.B) {
				for b.Loop() {
					measureShareError(b, s, churn)
				}
			})
		}
	}
}

func measureShareError(b *testing.B, s fleetSize, churn bool) {
	f := newFleet(b, s.instances, s.centres, s.engines)
	f.settle()
	rates := make([]float64, s.instances)
	var errorPercents []float64
	for second := range 60 {
		if churn && second%10 == 5 {
			f.kill(f.instances[second%s.instances])
			f.start(f.instances[second%s.instances])
		}
		total := 0.0
		for i, x := range f.instances {
			// A random walk of a tenth per second, like bursts of
			// a large team.
			rates[i] = max(10, min(200, rates[i]*(0.9+0.2*f.rand.Float64())+f.rand.Float64()))
			total += rates[i]
			f.publishFor(x, news.KindRate, "t", news.ScopeFleet, 5, news.Rate{Team: "big", Rate: rates[i]})
		}
		f.run(time.Second)
		for _, x := range f.instances {
			if second >= 20 && x.readyAt != 0 {
				errorPercents = append(errorPercents, max(x.teamRates["big"]-total, total-x.teamRates["big"])/total*100)
			}
		}
	}
	slices.Sort(errorPercents)
	b.ReportMetric(errorPercents[len(errorPercents)/2], "%error-p50")
	b.ReportMetric(errorPercents[len(errorPercents)*99/100], "%error-p99")
	b.ReportMetric(0, "ns/op")
}
