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

// settleTime is how long nothing goes wrong before an instance is bound to know
// changes in time.
const settleTime = 3 * time.Second

// faults is what goes wrong in a fleet.
type faults struct {
	// refusedByStore are turned away by the store, cut pairs do not hear each other.
	refusedByStore map[spec.InstanceID]bool
	cutLinks       map[[2]spec.InstanceID]bool
}

// faultKinds are the kinds of trouble.
var faultKinds = []string{"silent", "refused", "cut one way", "restart"}

// toggle makes one thing go wrong, or right again. draw draws a number below another
// one for what it names.
func (tr *faults) toggle(f *fleet, draw func(below int, what string) int) {
	ids := f.ids()
	id := ids[draw(len(ids), "instance")]
	other := ids[draw(len(ids), "other")]
	switch faultKinds[draw(len(faultKinds), "trouble")] {
	case "silent":
		f.frozen[id] = !f.frozen[id]
	case "refused":
		tr.refusedByStore[id] = !tr.refusedByStore[id]
	case "cut one way":
		tr.cutLinks[[2]spec.InstanceID{id, other}] = !tr.cutLinks[[2]spec.InstanceID{id, other}]
	case "restart":
		f.restart(id)
	}
}

// restart ends an instance and starts it anew: it knows nothing.
func (f *fleet) restart(id spec.InstanceID) {
	var peers []node.Peer
	for _, other := range f.ids() {
		peers = append(peers, node.Peer{ID: other, DataCentre: centreOf(other), URL: "http://" + string(other)})
	}
	f.members[id] = f.newMember(id)
	f.inbox[id] = []node.Event{node.DiscoveryList{Peers: peers}}
}

// Instances freeze, start anew, are turned away by the store and lose each other
// one way or both, in any order and at once, while rows change. When all of it is
// over for three seconds, callers of no instance may be served by what was in
// force before: a change is known everywhere within two seconds, and so are all
// before it.
func TestFleetConvergesAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(below int, what string) int { return rapid.IntRange(0, below-1).Draw(t, what) }
		if late := convergeAfterFaults(2+draw(6, "instances"), 1+draw(12, "steps"), draw); len(late) > 0 {
			t.Fatalf("got %v without the change after %s, want none", late, maxPropagation)
		}
	})
}

// Guards against instances of a large fleet that never hear of a change again after
// the heads of their cells, or all that know it, were out of reach.
func TestLargeFleetConvergesAfterFaults(t *testing.T) {
	for seed := range 2 * seedsLarge {
		random := rand.New(rand.NewPCG(seed, 3))
		draw := func(below int, _ string) int { return random.IntN(below) }
		if late := convergeAfterFaults(41+draw(30, ""), 10+draw(60, ""), draw); len(late) > 0 {
			t.Errorf("seed %d: got %v without the change after %s, want none", seed, late, maxPropagation)
		}
	}
}

// convergeAfterFaults plays steps of trouble on a fleet, ends all of it, and returns the instances
// that do not know a change in time after that.
func convergeAfterFaults(instances, steps int, draw func(below int, what string) int) []spec.InstanceID {
	f := newFleet(instances)
	tr := faults{refusedByStore: map[spec.InstanceID]bool{}, cutLinks: map[[2]spec.InstanceID]bool{}}
	f.storeRefuses = func(id spec.InstanceID) bool { return tr.refusedByStore[id] }
	f.dropMessage = func(from, to spec.InstanceID, _ mesh.Message) bool { return tr.cutLinks[[2]spec.InstanceID{from, to}] }
	r := &fakeStore{}
	r.put(changedKey, "old")
	now := f.runWithStore(r, tickInterval, time.Second, nil)
	for n := range steps {
		tr.toggle(f, draw)
		if draw(2, "change") == 1 {
			r.put(changedKey, fmt.Sprint(n%2))
		}
		now = f.runWithStore(r, now, now+time.Duration(1+draw(40, "ticks"))*tickInterval, nil)
	}
	clear(tr.refusedByStore)
	clear(tr.cutLinks)
	clear(f.frozen)
	now = f.runWithStore(r, now, now+settleTime, nil)
	version := r.put(changedKey, "last")
	f.runWithStore(r, now, now+maxPropagation, func() bool { return len(f.membersBehind(version)) == 0 })
	return f.membersBehind(version)
}
