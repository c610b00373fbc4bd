package mesh_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/mesh"
)

const (
	// maxLargePropagation is how long a change may take to be in force on all instances of a
	// deployment of more than a hundred.
	maxLargePropagation = 4 * time.Second
	// maxRelayLosses is how many relays of a change freeze as it reaches them.
	maxRelayLosses = 4
)

// largeOutage is what fails in a large fleet at the moment of a change.
type largeOutage struct {
	random *rand.Rand
	fleet  *fleet
	// heads are the instances that last said that they are heads, by cell.
	heads map[string]map[spec.InstanceID]bool
	// relayLosses is how many more relays of the change freeze as they receive it.
	relayLosses int
	cut         map[[2]spec.InstanceID]bool
	refused     map[spec.InstanceID]bool
}

func newLargeOutage(f *fleet, random *rand.Rand) *largeOutage {
	o := &largeOutage{random: random, fleet: f, heads: map[string]map[spec.InstanceID]bool{}, cut: map[[2]spec.InstanceID]bool{}, refused: map[spec.InstanceID]bool{}}
	f.dropMessage = o.drops
	f.storeRefuses = func(id spec.InstanceID) bool { return o.refused[id] }
	return o
}

// drops reports whether a message is lost. It notes who is a head, and freezes relays.
func (o *largeOutage) drops(from, to spec.InstanceID, m mesh.Message) bool {
	if o.heads[m.Cell] == nil {
		o.heads[m.Cell] = map[spec.InstanceID]bool{}
	}
	o.heads[m.Cell][from] = m.Head
	isRelay := slices.ContainsFunc(m.Tables, func(t mesh.Table) bool { return len(t.RelayTo) > 0 })
	if isRelay && o.relayLosses > 0 && o.random.IntN(3) == 0 {
		o.relayLosses--
		o.fleet.frozen[to] = true
		return true
	}
	return o.cut[[2]spec.InstanceID{from, to}]
}

// strike makes instances fail: the one that reads the store, both heads of a cell, relays, links
// between instances and to the store. Some instances start anew.
func (o *largeOutage) strike() {
	ids := o.fleet.ids()
	if o.random.IntN(2) == 0 {
		o.fleet.frozen[o.fleet.reader()] = true
	}
	if o.random.IntN(2) == 0 {
		cells := make([]string, 0, len(o.heads))
		for cell := range o.heads {
			cells = append(cells, cell)
		}
		slices.Sort(cells)
		for id, isHead := range o.heads[cells[o.random.IntN(len(cells))]] {
			if isHead {
				o.fleet.frozen[id] = true
			}
		}
	}
	o.relayLosses = o.random.IntN(1 + maxRelayLosses)
	for range o.random.IntN(len(ids)) {
		o.cut[[2]spec.InstanceID{ids[o.random.IntN(len(ids))], ids[o.random.IntN(len(ids))]}] = true
	}
	for range o.random.IntN(1 + len(ids)/10) {
		o.fleet.restart(ids[o.random.IntN(len(ids))])
	}
	for range o.random.IntN(1 + len(ids)/3) {
		o.refused[ids[o.random.IntN(len(ids))]] = true
	}
}

// Guards against instances of a fleet with cells that learn of a change too late while the reader,
// both heads of a cell or relays freeze, links are cut and instances start.
func TestChangeReachesLargeFleetInTimeDuringOutage(t *testing.T) {
	for _, n := range append([]int{301}, sizes...) {
		for seed := range 4 * seedsLarge {
			t.Run(fmt.Sprintf("%d instances, seed %d", n, seed), func(t *testing.T) {
				t.Parallel()
				random := rand.New(rand.NewPCG(seed, uint64(n)))
				f := newNamedFleet(n, fmt.Sprintf("l%d-", seed))
				o := newLargeOutage(f, random)
				store := &fakeStore{}
				store.put(changedKey, "old")
				f.runWithStore(store, tickInterval, 3*time.Second, nil)
				at := 3*time.Second + time.Duration(random.IntN(20))*tickInterval
				f.runWithStore(store, 3*time.Second, at, nil)
				version := store.put(changedKey, "new")
				f.runWithStore(store, at, at+time.Duration(random.IntN(4))*tickInterval, nil)
				o.strike()
				end := f.runWithStore(store, f.now+tickInterval, at+maxLargePropagation, func() bool { return len(f.membersBehind(version)) == 0 })
				if behind := f.membersBehind(version); len(behind) > 0 {
					t.Errorf("got %d of %d without the change after %s, want none: %v", len(behind), n-len(f.frozen), maxLargePropagation, behind)
				}
				t.Logf("%d frozen, known to all others after %s", len(f.frozen), end-at)
			})
		}
	}
}
