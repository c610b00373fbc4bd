package mesh_test

import (
	"testing"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/mesh"
)

// Guards against sending the load of each instance to every other data centre in each
// round, and against telling it so rarely, or the retries with it, that others count on
// what has changed.
func TestLoadIsSentLessOftenToOtherCentres(t *testing.T) {
	const seconds, perSecond = 6, 5
	f := newFleet(10)
	f.engines = 100
	f.run(0, time.Second)
	loads, retries := map[bool]int{}, map[bool]int{}
	lastLoad, longest := map[[2]spec.InstanceID]time.Duration{}, time.Duration(0)
	f.dropMessage = func(from, to spec.InstanceID, m mesh.Message) bool {
		remote := centreOf(from) != centreOf(to)
		if len(m.Retries) > 0 {
			retries[remote]++
		}
		if m.Scope != mesh.ScopeSender {
			return false
		}
		loads[remote]++
		pair := [2]spec.InstanceID{from, to}
		if last, ok := lastLoad[pair]; ok {
			longest = max(longest, f.now-last)
		}
		lastLoad[pair] = f.now
		return false
	}
	f.run(time.Second, (1+seconds)*time.Second)
	const localPairs, remotePairs = 10, 80
	if got, want := loads[false], localPairs*seconds*perSecond; got < want {
		t.Errorf("got %d loads inside data centres, want %d", got, want)
	}
	if got, limit := loads[true], remotePairs*seconds*perSecond*2/5; got > limit {
		t.Errorf("got %d loads between data centres, want %d at most", got, limit)
	}
	if longest > 800*time.Millisecond {
		t.Errorf("got %s between two loads, want 800ms at most", longest)
	}
	if got, want := retries[true], remotePairs*seconds*perSecond; got < want {
		t.Errorf("got %d reports of retries between data centres, want %d", got, want)
	}
}
