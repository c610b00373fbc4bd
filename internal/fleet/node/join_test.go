package node_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"fulmarwick/internal/base/news"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/node"
)

func fleetDuty(i int) node.DutySpec {
	return node.DutySpec{Name: fmt.Sprintf("d%02d", i), Scope: news.ScopeFleet}
}

// dutyHolders lists "duty instance" for every duty held by an instance that ok
// accepts.
func (f *fleet) dutyHolders(ok func(*instance) bool) []string {
	var out []string
	for _, x := range f.instances {
		for name, assigned := range x.duty {
			if assigned && x.up && ok(x) {
				out = append(out, name+" "+string(x.self.ID))
			}
		}
	}
	slices.Sort(out)
	return out
}

// countWatchers counts the watchers of each engine, and how many of them are
// primary.
func (f *fleet) countWatchers() (all, primary map[spec.UpstreamID]int) {
	all, primary = map[spec.UpstreamID]int{}, map[spec.UpstreamID]int{}
	for _, x := range f.instances {
		for _, e := range x.watch.Engines {
			all[e]++
		}
		for _, e := range x.watch.Primary {
			primary[e]++
		}
	}
	return all, primary
}

func (f *fleet) checkWatchers(engines int) {
	f.t.Helper()
	all, primary := f.countWatchers()
	if len(all) != engines || len(primary) != engines {
		f.t.Errorf("got %d engines watched and %d with a primary, want %d", len(all), len(primary), engines)
	}
	for e, n := range all {
		if n != 2 || primary[e] != 1 {
			f.t.Errorf("got %d watchers and %d primaries of %s, want 2 and 1", n, primary[e], e)
		}
	}
}

func TestEnginesHaveTwoWatchers(t *testing.T) {
	f := newFleet(t, 6, 1, 30)
	f.settle()
	f.checkWatchers(30)
	f.kill(f.instances[0])
	f.run(10 * time.Second)
	f.checkWatchers(30)
}

// A new instance joins a fleet at work. It must not report Ready before it has
// the items of its peers, and must take over about one in n of the duties.
func TestJoinCatchesUpBeforeReady(t *testing.T) {
	f := newFleet(t, 8, 1, 0)
	for i := range 200 {
		f.duties = append(f.duties, fleetDuty(i))
	}
	late := f.instances[7]
	for _, x := range f.instances {
		f.start(x)
	}
	f.kill(late)
	f.settle()
	var items []string
	for i := range 300 {
		items = append(items, f.publish(f.instances[i%7], news.KindPrint, fmt.Sprintf("p%d", i), news.ScopeFleet, news.Fingerprint{Fingerprint: uint64(i), Crashes: 1}))
	}
	f.run(5 * time.Second)
	before := f.dutyHolders(anyInstance)
	f.start(late)
	f.runUntil(20*time.Second, "ready joiner", func() bool { return late.readyAt != 0 })
	for _, i := range items {
		if late.receivedAt[i] == 0 {
			t.Fatalf("got no %s before Ready, want all items", i)
		}
	}
	f.run(5 * time.Second)
	after := f.dutyHolders(anyInstance)
	moved := 0
	for _, h := range before {
		if !slices.Contains(after, h) {
			moved++
		}
	}
	if len(after) != 200 || moved > 50 {
		t.Errorf("got %d duties held and %d moved, want 200 and about 25", len(after), moved)
	}
}

// All four instances are restarted one after another. Every duty and engine
// must stay held, except for the moments between a hand-over and the next
// holder. No peer may take the planned stop for a death before the instance
// announced that it leaves.
func TestRollingRestartKeepsDuties(t *testing.T) {
	f := newFleet(t, 4, 2, 10)
	for i := range 20 {
		f.duties = append(f.duties, fleetDuty(i))
	}
	for _, x := range f.instances {
		f.start(x)
	}
	f.settle()
	for _, x := range f.instances {
		x.events = append(x.events, node.Stop{})
		f.runUntil(6*time.Second, "hand-over", func() bool { return x.handedOver })
		if got := f.dutyHolders(anyInstance); len(got) != 20 {
			t.Errorf("got %d duties held after a hand-over, want 20", len(got))
		}
		if got := len(x.watch.Engines); got != 0 {
			t.Errorf("got %d watches after the hand-over, want 0", got)
		}
		for _, p := range f.instances {
			if p.expiredAt[x.self.ID] != 0 {
				t.Errorf("got an expiry of %s at %s before it left, want none", x.self.ID, p.self.ID)
			}
		}
		x.events = append(x.events, node.Leave{})
		f.runUntil(3*time.Second, "acknowledged leave", func() bool { return x.left })
		for _, p := range f.instances {
			if p != x && p.self.DataCentre == x.self.DataCentre && p.expiredAt[x.self.ID] == 0 {
				t.Errorf("got no expiry of %s at %s after it left, want one", x.self.ID, p.self.ID)
			}
		}
		f.kill(x)
		f.run(2 * time.Second)
		f.start(x)
		f.runUntil(20*time.Second, "ready again", func() bool { return x.readyAt != 0 })
		f.run(3 * time.Second)
	}
	if got := f.dutyHolders(anyInstance); len(got) != 20 {
		t.Errorf("got %d duties held at the end, want 20", len(got))
	}
}

func TestFirstInstanceBecomesReadyAlone(t *testing.T) {
	f := newFleet(t, 4, 1, 2)
	for _, x := range f.instances[1:] {
		f.kill(x)
	}
	took := f.runUntil(20*time.Second, "ready", func() bool { return f.instances[0].readyAt != 0 })
	if got, want := took, node.DefaultAloneTimeout; got < want {
		t.Errorf("got ready after %v, want at least %v to look for peers", got, want)
	}
	if got := len(f.instances[0].watch.Engines); got != 2 {
		t.Errorf("got %d engines watched, want 2", got)
	}
}

// The first instance of a data centre starts while other data centres already
// serve. It must be ready as soon as it has the fleet-scoped items. Nothing
// makes it contact a second peer, so waiting for one would delay it further.
func TestFirstInstanceOfDataCentreIsReadySoon(t *testing.T) {
	f := newFleet(t, 3, 2, 0)
	late := f.instances[1]
	f.kill(late)
	f.settle()
	f.run(30 * time.Second)
	late.readyAt = 0
	f.start(late)
	f.runUntil(6*time.Second, "ready first instance", func() bool { return late.readyAt != 0 })
}

// Instances are replaced by others with new names for days. Names that left
// the list must no longer be called. Listed names must still be called,
// although the list was empty in between.
func TestReplacedInstancesAreNoLongerCalled(t *testing.T) {
	peers := func(from, to int) node.DiscoveryList {
		var ev node.DiscoveryList
		for i := from; i < to; i++ {
			ev.Peers = append(ev.Peers, node.Peer{ID: spec.InstanceID(fmt.Sprint("i", i)), DataCentre: "dc", URL: "http://10.0.0.1"})
		}
		return ev
	}
	l := &node.Logic{Local: node.Peer{ID: "self", DataCentre: "dc"}, StartTime: 1, Rand: rand.New(rand.NewPCG(1, 2))}
	l.Tick(0, []node.Event{peers(0, 50)})
	l.Tick(time.Hour, []node.Event{node.DiscoveryList{}})
	l.Tick(3*time.Hour, []node.Event{peers(45, 60)})
	called := map[spec.InstanceID]bool{}
	for now := 3 * time.Hour; now < 4*time.Hour; now += 50 * time.Millisecond {
		for _, c := range l.Tick(now, nil) {
			if s, ok := c.(node.Send); ok {
				called[s.To] = true
			}
		}
	}
	if len(called) != 15 || called["i10"] || !called["i47"] || !called["i59"] {
		t.Errorf("got %d instances called, want the 15 listed", len(called))
	}
}
