package mesh_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/mesh"
	"fulmarwick/internal/fleet/node"

	"pgregory.net/rapid"
)

// settleTime is how long there are no faults before an instance has to learn of changes
// in time.
const settleTime = 3 * time.Second

// faults are the active faults of a fleet.
type faults struct {
	// refusedByStore are members that the store rejects. cutLinks are links that lose
	// all messages.
	refusedByStore map[spec.InstanceID]bool
	cutLinks       map[[2]spec.InstanceID]bool
}

// faultKinds are the kinds of faults.
var faultKinds = []string{"silent", "refused", "cut one way", "restart"}

// toggle starts or ends one fault. draw returns a number below a limit for a named
// choice.
func (fs *faults) toggle(f *fleet, draw func(below int, what string) int) {
	ids := f.ids()
	id := ids[draw(len(ids), "instance")]
	other := ids[draw(len(ids), "other")]
	switch faultKinds[draw(len(faultKinds), "trouble")] {
	case "silent":
		f.frozen[id] = !f.frozen[id]
	case "refused":
		fs.refusedByStore[id] = !fs.refusedByStore[id]
	case "cut one way":
		fs.cutLinks[[2]spec.InstanceID{id, other}] = !fs.cutLinks[[2]spec.InstanceID{id, other}]
	case "restart":
		f.restart(id)
	}
}

// restart replaces an instance with a new process that knows nothing.
func (f *fleet) restart(id spec.InstanceID) {
	var peers []node.Peer
	for _, other := range f.ids() {
		peers = append(peers, node.Peer{ID: other, DataCentre: centreOf(other), URL: "http://" + string(other)})
	}
	f.members[id] = f.newMember(id)
	f.inbox[id] = []node.Event{node.DiscoveryList{Peers: peers}}
}

// Instances freeze, restart, are rejected by the store and lose each other's messages
// one way or both, in any order and at once, while rows change. Three seconds after the
// last fault, no instance may serve callers by an old state: a change, and all changes
// before it, must be known everywhere within two seconds.
func TestFleetConvergesAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(below int, what string) int { return rapid.IntRange(0, below-1).Draw(t, what) }
		if behind := convergeAfterFaults(2+draw(6, "instances"), 1+draw(12, "steps"), draw); len(behind) > 0 {
			t.Fatalf("got %v without the change after %s, want none", behind, maxPropagation)
		}
	})
}

// Guards against instances of a large fleet that never learn of a change after the
// heads of their cells, or all instances that know it, were out of reach.
func TestLargeFleetConvergesAfterFaults(t *testing.T) {
	for seed := range 2 * seedsLarge {
		random := rand.New(rand.NewPCG(seed, 3))
		draw := func(below int, _ string) int { return random.IntN(below) }
		if behind := convergeAfterFaults(41+draw(30, ""), 10+draw(60, ""), draw); len(behind) > 0 {
			t.Errorf("seed %d: got %v without the change after %s, want none", seed, behind, maxPropagation)
		}
	}
}

// convergeAfterFaults toggles faults in a fleet for some steps, ends all of them, and
// returns the instances that do not know a change in time after that.
func convergeAfterFaults(instances, steps int, draw func(below int, what string) int) []spec.InstanceID {
	f := newFleet(instances)
	fs := faults{refusedByStore: map[spec.InstanceID]bool{}, cutLinks: map[[2]spec.InstanceID]bool{}}
	f.storeRefuses = func(id spec.InstanceID) bool { return fs.refusedByStore[id] }
	f.dropMessage = func(from, to spec.InstanceID, _ mesh.Message) bool { return fs.cutLinks[[2]spec.InstanceID{from, to}] }
	store := &fakeStore{}
	store.put(changedKey, "old")
	now := f.runWithStore(store, tickInterval, time.Second, nil)
	for n := range steps {
		fs.toggle(f, draw)
		if draw(2, "change") == 1 {
			store.put(changedKey, fmt.Sprint(n%2))
		}
		now = f.runWithStore(store, now, now+time.Duration(1+draw(40, "ticks"))*tickInterval, nil)
	}
	clear(fs.refusedByStore)
	clear(fs.cutLinks)
	clear(f.frozen)
	now = f.runWithStore(store, now, now+settleTime, nil)
	version := store.put(changedKey, "last")
	f.runWithStore(store, now, now+maxPropagation, func() bool { return len(f.membersBehind(version)) == 0 })
	return f.membersBehind(version)
}
