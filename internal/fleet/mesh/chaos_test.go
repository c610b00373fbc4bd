package mesh_test

import (
	"fmt"
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

// step makes one thing go wrong, or right again.
func (tr *trouble) step(t *rapid.T, f *fleet) {
	id := rapid.SampledFrom(f.ids()).Draw(t, "instance")
	other := rapid.SampledFrom(f.ids()).Draw(t, "other")
	switch rapid.SampledFrom([]string{"silent", "refused", "cut one way", "restart"}).Draw(t, "trouble") {
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
		peers = append(peers, node.Peer{ID: other, URL: "http://" + string(other)})
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
		f := open(rapid.IntRange(2, 7).Draw(t, "instances"))
		tr := trouble{refused: map[spec.InstanceID]bool{}, cut: map[[2]spec.InstanceID]bool{}}
		f.refused = func(id spec.InstanceID) bool { return tr.refused[id] }
		f.drop = func(from, to spec.InstanceID, _ mesh.Message) bool { return tr.cut[[2]spec.InstanceID{from, to}] }
		r := &rows{}
		r.put(changed, "old")
		now := f.watch(r, tick, time.Second, nil)
		for n := range rapid.IntRange(1, 12).Draw(t, "steps") {
			tr.step(t, f)
			if rapid.Bool().Draw(t, "change") {
				r.put(changed, fmt.Sprint(n%2))
			}
			now = f.watch(r, now, now+time.Duration(rapid.IntRange(1, 40).Draw(t, "ticks"))*tick, nil)
		}
		clear(tr.refused)
		clear(tr.cut)
		clear(f.silent)
		now = f.watch(r, now, now+stable, nil)
		version := r.put(changed, "last")
		f.watch(r, now, now+inForce, func() bool { return len(f.without(version)) == 0 })
		if late := f.without(version); len(late) > 0 {
			t.Fatalf("got %v without the change after %s, want none", late, inForce)
		}
	})
}
