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

// stable is how long nothing goes wrong before an instance is bound to know
// changes in time.
const stable = 3 * time.Second

// trouble is what goes wrong in a fleet.
type trouble struct {
	// refused are turned away by the store, cut pairs do not hear each other.
	refused map[spec.InstanceID]bool
	cut     map[[2]spec.InstanceID]bool
}

// troubles are the kinds of trouble.
var troubles = []string{"silent", "refused", "cut one way", "restart"}

// step makes one thing go wrong, or right again. draw draws a number below another
// one for what it names.
func (tr *trouble) step(f *fleet, draw func(below int, what string) int) {
	ids := f.ids()
	id := ids[draw(len(ids), "instance")]
	other := ids[draw(len(ids), "other")]
	switch troubles[draw(len(troubles), "trouble")] {
	case "silent":
		f.silent[id] = !f.silent[id]
	case "refused":
		tr.refused[id] = !tr.refused[id]
	case "cut one way":
		tr.cut[[2]spec.InstanceID{id, other}] = !tr.cut[[2]spec.InstanceID{id, other}]
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
	f.inbox[id] = []node.Event{node.Listed{Peers: peers}}
}

// Instances freeze, start anew, are turned away by the store and lose each other
// one way or both, in any order and at once, while rows change. When all of it is
// over for three seconds, callers of no instance may be served by what was in
// force before: a change is known everywhere within two seconds, and so are all
// before it.
func TestFleetAgreesAfterAnyTrouble(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(below int, what string) int { return rapid.IntRange(0, below-1).Draw(t, what) }
		if late := chaos(2+draw(6, "instances"), 1+draw(12, "steps"), draw); len(late) > 0 {
			t.Fatalf("got %v without the change after %s, want none", late, inForce)
		}
	})
}

// Guards against instances of a large fleet that never hear of a change again after
// the heads of their cells, or all that know it, were out of reach.
func TestLargeFleetAgreesAfterAnyTrouble(t *testing.T) {
	for seed := range 2 * seedsLarge {
		random := rand.New(rand.NewPCG(seed, 3))
		draw := func(below int, _ string) int { return random.IntN(below) }
		if late := chaos(41+draw(30, ""), 10+draw(60, ""), draw); len(late) > 0 {
			t.Errorf("seed %d: got %v without the change after %s, want none", seed, late, inForce)
		}
	}
}

// chaos plays steps of trouble on a fleet, ends all of it, and returns the instances
// that do not know a change in time after that.
func chaos(instances, steps int, draw func(below int, what string) int) []spec.InstanceID {
	f := open(instances)
	tr := trouble{refused: map[spec.InstanceID]bool{}, cut: map[[2]spec.InstanceID]bool{}}
	f.refused = func(id spec.InstanceID) bool { return tr.refused[id] }
	f.drop = func(from, to spec.InstanceID, _ mesh.Message) bool { return tr.cut[[2]spec.InstanceID{from, to}] }
	r := &rows{}
	r.put(changed, "old")
	now := f.watch(r, tick, time.Second, nil)
	for n := range steps {
		tr.step(f, draw)
		if draw(2, "change") == 1 {
			r.put(changed, fmt.Sprint(n%2))
		}
		now = f.watch(r, now, now+time.Duration(1+draw(40, "ticks"))*tick, nil)
	}
	clear(tr.refused)
	clear(tr.cut)
	clear(f.silent)
	now = f.watch(r, now, now+stable, nil)
	version := r.put(changed, "last")
	f.watch(r, now, now+inForce, func() bool { return len(f.without(version)) == 0 })
	return f.without(version)
}
