package mesh_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/mesh"
	"fulmarwick/internal/fleet/node"
	"fulmarwick/internal/state/feed"

	"github.com/fxamacker/cbor/v2"
)

// Resources of the instances of a fleet in which most are small: share of a core that callers'
// requests leave, and bytes a second of the link.
const (
	smallShare, smallLink = 0.07, 14e6 / 8
	largeShare, largeLink = 0.7, 200e6 / 8
	// largePerCentre is how many instances of a data centre are not small.
	largePerCentre = 2
)

// Processor time of the work of an instance on a whole core.
const (
	messageCost = 60 * time.Microsecond
	byteCost    = 10 * time.Nanosecond
	// parseCost is the cost of a byte of a configuration that is put into force.
	parseCost = 40 * time.Nanosecond
)

// maxSlowPropagation is how long a configuration of 1,400 routes may take to be in force on all
// instances, half of what a deployment of small ones allows.
const maxSlowPropagation = 1500 * time.Millisecond

// largeConfig returns the value of a configuration row with random names.
func largeConfig(routes int, random *rand.Rand) string {
	var b []byte
	for range routes {
		b = fmt.Appendf(b, `{"name":"r%06d","host":"h%04d.example","path-prefix":"/p%06d/","kind":"streaming","timeout-ms":20000,"target-latency-ms":500,"target-gap-ms":250,"priority":%d,"service":"s%04d","max-attempts":2,"stream-resume":true},`,
			random.IntN(1e6), random.IntN(1e4), random.IntN(1e6), random.IntN(3), random.IntN(4))
	}
	return string(b)
}

// slowNetwork carries messages over the links of instances, one after another, and charges
// instances for the processor time of their work.
type slowNetwork struct {
	fleet      *fleet
	share      map[spec.InstanceID]float64
	linkRate   map[spec.InstanceID]float64
	sendFree   map[spec.InstanceID]time.Duration
	busyUntil  map[spec.InstanceID]time.Duration
	inTransit  []transit
	applied    map[spec.InstanceID]spec.Revision
	appliedAt  map[spec.InstanceID]time.Duration
	recvFreeAt map[spec.InstanceID]time.Duration
}

// transit is a message on its way.
type transit struct {
	at    time.Duration
	to    spec.InstanceID
	event node.Received
}

// newSlowFleet returns a fleet of three data centres in which all but a few instances are small.
func newSlowFleet(n int, prefix string) *fleet {
	f := newNamedFleet(n, prefix)
	net := &slowNetwork{
		fleet: f, share: map[spec.InstanceID]float64{}, linkRate: map[spec.InstanceID]float64{}, sendFree: map[spec.InstanceID]time.Duration{},
		busyUntil: map[spec.InstanceID]time.Duration{}, applied: map[spec.InstanceID]spec.Revision{}, appliedAt: map[spec.InstanceID]time.Duration{}, recvFreeAt: map[spec.InstanceID]time.Duration{},
	}
	f.network = net
	var peers []node.Peer
	for k := range n {
		id := spec.InstanceID(fmt.Sprintf("%s%d", prefix, k))
		m := f.members[id]
		m.logic.DataCentre = spec.DataCentre(fmt.Sprintf("dc%d", k%3))
		m.logic.Constrained = k/3 >= largePerCentre
		net.share[id], net.linkRate[id] = largeShare, largeLink
		if m.logic.Constrained {
			net.share[id], net.linkRate[id] = smallShare, smallLink
		}
		peers = append(peers, node.Peer{ID: id, DataCentre: m.logic.DataCentre, URL: "http://" + string(id), Constrained: m.logic.Constrained})
	}
	for id := range f.members {
		f.inbox[id] = []node.Event{node.DiscoveryList{Peers: peers}}
	}
	return f
}

// send puts a message on the link of its sender.
func (n *slowNetwork) send(now time.Duration, from spec.InstanceID, s node.Send) {
	sent := max(now, n.sendFree[from]) + transferTime(len(s.Data), n.linkRate[from])
	n.sendFree[from] = sent
	arrived := max(sent, n.recvFreeAt[s.To]) + transferTime(len(s.Data), n.linkRate[s.To])
	n.recvFreeAt[s.To] = arrived
	n.inTransit = append(n.inTransit, transit{at: arrived, to: s.To, event: node.Received{From: from, Data: s.Data}})
}

func transferTime(bytes int, rate float64) time.Duration {
	return time.Duration(float64(bytes) / rate * float64(time.Second))
}

// deliver moves the messages that have arrived to their receivers.
func (n *slowNetwork) deliver(now time.Duration) {
	kept := n.inTransit[:0]
	for _, m := range n.inTransit {
		if m.at > now {
			kept = append(kept, m)
			continue
		}
		n.fleet.inbox[m.to] = append(n.fleet.inbox[m.to], m.event)
	}
	n.inTransit = kept
}

// isBusy reports whether an instance has other work for the whole of a tick.
func (n *slowNetwork) isBusy(now time.Duration, id spec.InstanceID) bool {
	return now+tickInterval <= n.busyUntil[id]
}

// work charges an instance for a tick, and records when it put a change into force.
func (n *slowNetwork) work(now time.Duration, id spec.InstanceID, events []node.Event, commands []node.Command) {
	cost := time.Duration(0)
	for _, ev := range events {
		if r, ok := ev.(node.Received); ok {
			cost += messageCost + byteCost*time.Duration(len(r.Data))
		}
	}
	sent := map[*byte]bool{}
	for _, c := range commands {
		s, ok := c.(node.Send)
		if !ok || len(s.Data) == 0 {
			continue
		}
		cost += messageCost
		// Messages that share their encoding are encoded once.
		if !sent[&s.Data[0]] {
			sent[&s.Data[0]] = true
			cost += byteCost * time.Duration(len(s.Data))
		}
	}
	cost += n.apply(id)
	n.busyUntil[id] = max(now, n.busyUntil[id]) + time.Duration(float64(cost)/n.share[id])
	if n.appliedAt[id] == 0 {
		n.appliedAt[id] = n.busyUntil[id]
	}
}

// apply returns the cost of putting a changed configuration into force.
func (n *slowNetwork) apply(id spec.InstanceID) time.Duration {
	for _, row := range n.fleet.members[id].view.Rows() {
		if row.Key == changedKey && row.Version > n.applied[id] {
			n.applied[id], n.appliedAt[id] = row.Version, 0
			return parseCost * time.Duration(len(row.Value))
		}
	}
	return 0
}

// read charges a member for rows that it reads from the store.
func (n *slowNetwork) read(now time.Duration, id spec.InstanceID, p feed.Page) {
	bytes := 0
	for _, row := range p.Rows {
		bytes += len(row.Value) * 4 / 3
	}
	n.busyUntil[id] = max(now, n.busyUntil[id]) + transferTime(bytes, n.linkRate[id]) + time.Duration(float64(byteCost)*float64(bytes)/n.share[id])
}

// lastApplied returns when the last live instance put a version into force; false if one has not.
func (n *slowNetwork) lastApplied(version spec.Revision) (time.Duration, bool) {
	last := time.Duration(0)
	for id := range n.fleet.members {
		if n.fleet.frozen[id] {
			continue
		}
		if n.applied[id] < version || n.appliedAt[id] == 0 {
			return 0, false
		}
		last = max(last, n.appliedAt[id])
	}
	return last, true
}

// Guards against a large configuration that small instances put into force too late, because others
// of them have to send it to many over their links, or are taken for lost while they are late.
func TestLargeConfigReachesSmallInstancesInTime(t *testing.T) {
	for _, test := range []struct{ instances, frozen int }{{117, 0}, {117, 1}, {301, 0}, {301, 1}} {
		for seed := range seedsLarge {
			t.Run(fmt.Sprintf("%d instances, %d frozen, seed %d", test.instances, test.frozen, seed), func(t *testing.T) {
				t.Parallel()
				random := rand.New(rand.NewPCG(seed, uint64(test.instances)))
				f := newSlowFleet(test.instances, fmt.Sprintf("v%d-", seed))
				f.engines = 93
				store := &fakeStore{}
				store.put(changedKey, largeConfig(249, random))
				f.runWithStore(store, tickInterval, 4*time.Second, nil)
				if test.frozen > 0 {
					f.frozen[f.reader()] = true
				}
				at := 4*time.Second + time.Duration(random.IntN(20))*tickInterval
				f.runWithStore(store, 4*time.Second, at, nil)
				version := store.put(changedKey, largeConfig(1400, random))
				f.runWithStore(store, at, at+4*time.Second, func() bool { _, ok := f.network.lastApplied(version); return ok })
				last, ok := f.network.lastApplied(version)
				if !ok || last-at > maxSlowPropagation {
					t.Errorf("got the configuration in force everywhere after %s (%t), want at most %s", last-at, ok, maxSlowPropagation)
				}
				t.Logf("in force everywhere after %s, %d store calls", last-at, store.reads)
			})
		}
	}
}

// Guards against a small instance that takes others for lost after it was late itself, while their
// messages wait to be read. One that hears nothing for longer must still notice.
func TestOwnLatenessIsNotSilenceOfOthers(t *testing.T) {
	for _, constrained := range []bool{false, true} {
		f := newFleet(3)
		m := f.members["i0"]
		m.logic.Constrained = constrained
		f.run(0, time.Second)
		f.linkDown = func(_, to spec.InstanceID) bool { return to == "i0" }
		f.frozen["i0"] = true
		f.run(time.Second, 2600*time.Millisecond)
		f.frozen["i0"] = false
		f.run(2600*time.Millisecond, 2700*time.Millisecond)
		if got := len(m.joined) == 2; got != constrained {
			t.Errorf("constrained %t: got %d others joined after a pause of 1.6s, want all only if it is constrained", constrained, len(m.joined))
		}
		f.run(2700*time.Millisecond, 6*time.Second)
		if len(m.joined) != 0 {
			t.Errorf("constrained %t: got %d others joined after 3.4s without a message, want none", constrained, len(m.joined))
		}
	}
}

// Guards against packed rows that are applied in part or take the memory of an instance.
func TestBadPackedRowsAreIgnored(t *testing.T) {
	f := newFleet(2)
	f.run(0, time.Second)
	m := f.members["i0"]
	for name, packed := range map[string][]byte{"not compressed": []byte("rows"), "cut": {0x4b, 0x04}} {
		data, err := cbor.Marshal(mesh.Message{
			URL: "http://i1", Digests: map[string]uint64{table: 1}, Versions: map[string]spec.Revision{table: 9},
			Tables: []mesh.Table{{Name: table, Version: 9, Digest: 1, Packed: packed}},
		})
		if err != nil {
			t.Fatal(err)
		}
		m.logic.Tick(f.now, []node.Event{node.Received{From: "i1", Data: data}})
		if got := m.view.Version(); got != 0 || m.tablesReceived != 0 {
			t.Errorf("%s: got version %d and %d tables, want none", name, got, m.tablesReceived)
		}
	}
}
