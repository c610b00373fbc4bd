package mesh_test

import (
	"fmt"
	"testing"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/crash"
)

// knownEvents is how many events each member of a fleet knows.
const knownEvents = 512

// Guards against all instances being told again what all know whenever one joins, which takes the
// processors of a large fleet while it is restarted one by one.
func TestOnlyJoiningInstancesAreToldWhatOthersKnow(t *testing.T) {
	for _, n := range append([]int{4, 33}, sizes...) {
		t.Run(fmt.Sprintf("%d instances", n), func(t *testing.T) {
			f := newFleet(n)
			f.run(0, 6*time.Second)
			for _, m := range f.members {
				m.known, m.crashesReceived = make([]crash.Event, knownEvents), 0
			}
			joiner := f.ids()[n/2]
			f.frozen[joiner] = true
			f.run(6*time.Second, 9*time.Second)
			f.frozen[joiner] = false
			f.restart(joiner)
			f.members[joiner].known = nil
			f.run(9*time.Second, 12*time.Second)
			for id, m := range f.members {
				least, most := 0, 0
				if id == joiner {
					// A head tells its members, and one that joins as a head is told by others too.
					least, most = knownEvents, 4*knownEvents
				}
				if m.crashesReceived < least || m.crashesReceived > most {
					t.Errorf("%s: got %d events, want %d to %d", id, m.crashesReceived, least, most)
				}
			}
		})
	}
}

// Guards against what an instance found out while it was cut off staying unknown to the others.
func TestInstanceThatWasCutOffTellsWhatItKnows(t *testing.T) {
	for _, n := range []int{2, 4, 33} {
		f := newFleet(n)
		f.run(0, 6*time.Second)
		away := spec.InstanceID("i1")
		f.linkDown = func(from, to spec.InstanceID) bool { return from == away || to == away }
		f.run(6*time.Second, 9*time.Second)
		f.members[away].known = make([]crash.Event, 1)
		f.linkDown = nil
		f.run(9*time.Second, 12*time.Second)
		for id, m := range f.members {
			if id != away && m.crashesReceived == 0 {
				t.Errorf("%d instances: %s was told nothing, want what %s found out", n, id, away)
			}
		}
	}
}
