package mesh_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/mesh"
	"fulmarwick/internal/fleet/node"
	"fulmarwick/internal/route/crash"
	"fulmarwick/internal/route/limit"
	"fulmarwick/internal/route/path"
	"fulmarwick/internal/route/resend"
	"fulmarwick/internal/route/share"
	"fulmarwick/internal/state/feed"

	"github.com/fxamacker/cbor/v2"
)

// member is one instance and the state that its logic reads and writes.
type member struct {
	logic            *mesh.Logic
	view             feed.View
	unreportedSilent []spec.UpstreamID
	limits           limit.Limiter

	used map[spec.InstanceID]int
	// streams is the number of streams in the last reported loads, by their source.
	streams map[spec.InstanceID]int
	// requestsFrom is how many first attempts the sources reported.
	requestsFrom map[spec.InstanceID]int
	// teamsFrom is how many requests of a team they reported.
	teamsFrom      map[spec.InstanceID]int
	joined         map[spec.InstanceID]bool
	tablesReceived int
	// known is what the member tells to those that join. crashesReceived counts what it is told.
	known              []crash.Event
	crashesReceived    int
	silenceReportsFrom []spec.InstanceID

	// changedVersions are the table versions that the store changed. lastPoll is the
	// time of the last read. lastSync is the time of the last sync that is reported to
	// others; zero for none.
	changedVersions    map[string]spec.Revision
	lastPoll, lastSync time.Duration
	fleet              *fleet
}

const table = "t"

// tickInterval is the interval between two ticks of the logic.
const tickInterval = 50 * time.Millisecond

func (m *member) HasUrgent() bool { return len(m.unreportedSilent) > 0 }
func (m *member) TakeChangedVersions() map[string]spec.Revision {
	changed := m.changedVersions
	m.changedVersions = nil
	return changed
}

func (m *member) Usage() map[string]map[spec.UpstreamID]path.Usage {
	engines := map[spec.UpstreamID]path.Usage{"e": {Streams: 1}}
	for k := range m.fleet.engines {
		// Each uses some engines, all together use all.
		if at := (k + len(m.logic.ID)*7 + int(m.logic.ID[len(m.logic.ID)-1])) % 20; at == 0 {
			engines[spec.UpstreamID(fmt.Sprintf("i-%010d", k))] = path.Usage{Streams: 1 + k%5, Cells: 1000 * k, PendingPrefill: 500 * k, Variance: float64(k) / 3}
		}
	}
	return map[string]map[spec.UpstreamID]path.Usage{"s": engines}
}

func (m *member) Checkpoints() map[string]feed.Checkpoint {
	return map[string]feed.Checkpoint{table: m.view.Checkpoint()}
}

func (m *member) RateLimits() map[spec.UpstreamID]limit.Statement {
	return m.limits.Statements(time.Unix(0, 0).Add(m.fleet.now))
}

func (m *member) ReceiveRateLimits(limits map[spec.UpstreamID]limit.Statement) {
	for id, s := range limits {
		m.limits.Record(time.Unix(0, 0).Add(m.fleet.now), id, s)
	}
}
func (m *member) Slowdowns() map[spec.UpstreamID]float64 { return nil }
func (m *member) SyncAge() time.Duration {
	if m.lastSync == 0 {
		return -1
	}
	return m.fleet.now - m.lastSync
}

func (m *member) ChangesSince(_ string, v spec.Revision) (since spec.Revision, p feed.Page) {
	return m.view.ChangesSince(v)
}

func (m *member) TakeFailures() ([]spec.UpstreamID, []crash.Event) {
	dead := m.unreportedSilent
	m.unreportedSilent = nil
	return dead, nil
}

func (m *member) Known() []crash.Event { return m.known }

func (m *member) ReceiveUsage(from spec.InstanceID, usage map[string]map[spec.UpstreamID]path.Usage) {
	m.used[from]++
	m.streams[from] = usage["s"]["e"].Streams
}

func (m *member) Retries() map[string]resend.Usage {
	return map[string]resend.Usage{"s": {Instances: 1, Requests: 2}}
}

func (m *member) ReceiveRetries(from spec.InstanceID, retries map[string]resend.Usage) {
	m.requestsFrom[from] = retries["s"].Requests
}

func (m *member) Teams() map[string]share.Usage {
	return map[string]share.Usage{"s": {InFlight: map[string]int{"t": 1}, Unserved: map[int]int{0: 1}}}
}

func (m *member) ReceiveTeams(from spec.InstanceID, teams map[string]share.Usage) {
	m.teamsFrom[from] = teams["s"].InFlight["t"]
}
func (m *member) ReceiveSlowdowns(spec.InstanceID, map[spec.UpstreamID]float64) {}
func (m *member) ReceiveRows(_ string, since spec.Revision, rows []feed.Row, checkpoint feed.Checkpoint, _ spec.InstanceID) {
	m.tablesReceived++
	m.view.ApplyPeerChanges(since, rows, checkpoint)
}

func (m *member) ReceiveCheckpoint(_ string, c feed.Checkpoint)  { m.view.ConfirmVersion(c) }
func (m *member) ReceiveDigests(map[string]uint64)               {}
func (m *member) ReportLag(string, spec.Revision, spec.Revision) {}
func (m *member) ReceiveSilent(from spec.InstanceID, _ []spec.UpstreamID) {
	m.silenceReportsFrom = append(m.silenceReportsFrom, from)
}

func (m *member) ReceiveCrashes(_ spec.InstanceID, crashes []crash.Event) {
	m.crashesReceived += len(crashes)
}
func (m *member) PeerJoined(id spec.InstanceID) { m.joined[id] = true }
func (m *member) PeerLost(id spec.InstanceID) {
	delete(m.joined, id)
	delete(m.streams, id)
	delete(m.requestsFrom, id)
	delete(m.teamsFrom, id)
}

// fleet is a set of instances that tick together. linkDown and dropMessage lose
// messages. Frozen members do nothing.
type fleet struct {
	members     map[spec.InstanceID]*member
	inbox       map[spec.InstanceID][]node.Event
	linkDown    func(from, to spec.InstanceID) bool
	dropMessage func(from, to spec.InstanceID, m mesh.Message) bool
	frozen      map[spec.InstanceID]bool
	// onlyReader is the only member that the store answers; empty for all. storeRefuses
	// reports whether the store rejects a member.
	onlyReader   spec.InstanceID
	storeRefuses func(spec.InstanceID) bool
	now          time.Duration
	sent         int
	// messagesSent and bytesSent are how many messages and bytes each member sent.
	messagesSent, bytesSent map[spec.InstanceID]int
	// bytesReceived is how many bytes each member received from each other one.
	bytesReceived map[[2]spec.InstanceID]int
	// engines is how many engines the members use together, besides the one that all
	// use.
	engines int
	// network carries messages with a delay; nil delivers them before the next tick.
	network *slowNetwork
}

func newFleet(n int) *fleet { return newNamedFleet(n, "i") }

// newNamedFleet returns a fleet of n members whose names begin with a prefix.
func newNamedFleet(n int, prefix string) *fleet {
	f := &fleet{bytesReceived: map[[2]spec.InstanceID]int{}, members: map[spec.InstanceID]*member{}, inbox: map[spec.InstanceID][]node.Event{}, frozen: map[spec.InstanceID]bool{}, messagesSent: map[spec.InstanceID]int{}, bytesSent: map[spec.InstanceID]int{}}
	var peers []node.Peer
	for k := range n {
		id := spec.InstanceID(fmt.Sprintf("%s%d", prefix, k))
		f.members[id] = f.newMember(id)
		peers = append(peers, node.Peer{ID: id, DataCentre: f.members[id].logic.DataCentre, URL: "http://" + string(id)})
	}
	for id := range f.members {
		f.inbox[id] = []node.Event{node.DiscoveryList{Peers: peers}}
	}
	return f
}

// centreCount is in how many data centres the members of a fleet are.
const centreCount = 5

// centreOf returns the data centre of a member, by the last digit of its name.
func centreOf(id spec.InstanceID) spec.DataCentre {
	n := int(id[len(id)-1]-'0') % centreCount
	return spec.DataCentre(fmt.Sprintf("dc%d", n))
}

// newMember returns an instance that has just started.
func (f *fleet) newMember(id spec.InstanceID) *member {
	m := &member{used: map[spec.InstanceID]int{}, streams: map[spec.InstanceID]int{}, requestsFrom: map[spec.InstanceID]int{}, teamsFrom: map[spec.InstanceID]int{}, joined: map[spec.InstanceID]bool{}, fleet: f}
	clock := func() time.Time { return time.Unix(0, 0).Add(f.now) }
	m.logic = &mesh.Logic{ID: id, DataCentre: centreOf(id), URL: "http://" + string(id), Local: m, Receiver: m, Now: clock}
	return m
}

// ids returns the names of all members, sorted.
func (f *fleet) ids() []spec.InstanceID { return slices.Sorted(maps.Keys(f.members)) }

// run ticks all members from one time until another.
func (f *fleet) run(from, to time.Duration) {
	for now := from; now < to; now += tickInterval {
		f.now = now
		f.tickAll(now)
	}
}

// tickAll ticks all members once. Their messages arrive before the next tick of the
// receiver, in this step or the next one.
func (f *fleet) tickAll(now time.Duration) {
	if f.network != nil {
		f.network.deliver(now)
	}
	for _, id := range f.ids() {
		m := f.members[id]
		if f.frozen[id] || f.network != nil && f.network.isBusy(now, id) {
			continue
		}
		events := f.inbox[id]
		f.inbox[id] = nil
		commands := m.logic.Tick(now, events)
		if f.network != nil {
			f.network.work(now, id, events, commands)
		}
		for _, c := range commands {
			s, ok := c.(node.Send)
			if !ok || f.linkDown != nil && f.linkDown(id, s.To) || f.members[s.To] == nil || f.isDropped(id, s) {
				continue
			}
			f.sent++
			f.messagesSent[id]++
			f.bytesSent[id] += len(s.Data)
			f.bytesReceived[[2]spec.InstanceID{s.To, id}] += len(s.Data)
			if f.network != nil {
				f.network.send(now, id, s)
				continue
			}
			f.inbox[s.To] = append(f.inbox[s.To], node.Received{From: id, Data: s.Data})
		}
	}
}

func (f *fleet) isDropped(from spec.InstanceID, s node.Send) bool {
	if f.dropMessage == nil {
		return false
	}
	var m mesh.Message
	if err := cbor.Unmarshal(s.Data, &m); err != nil {
		panic(err)
	}
	return f.dropMessage(from, s.To, m)
}

// One instance lacks a change that the others read. It must receive the change within a
// round, once from each updater, and every instance must count all others.
func TestChangeIsSentToPeers(t *testing.T) {
	f := newFleet(5)
	f.run(0, time.Second)
	for id, m := range f.members {
		if got := m.logic.Count(); got != 5 || len(m.joined) != 4 {
			t.Errorf("%s: got %d counted and %d joined, want 5 and 4", id, got, len(m.joined))
		}
	}
	page := feed.Page{Rows: []feed.Row{{Key: "k", Version: 7, Value: []byte("v")}}, Version: 7}
	for id, m := range f.members {
		if id != "i3" {
			m.view.ApplyChanges(0, page)
		}
	}
	f.run(time.Second, 2*time.Second)
	m := f.members["i3"]
	if m.view.Version() != 7 || m.tablesReceived == 0 || m.tablesReceived > 2 {
		t.Errorf("got version %d received %d times, want 7 received once or twice", m.view.Version(), m.tablesReceived)
	}
}

// An engine is found dead between two rounds: it must be reported to the others at the
// next tick.
func TestDeadEngineIsReportedAtNextTick(t *testing.T) {
	f := newFleet(2)
	f.run(0, time.Second)
	f.members["i0"].unreportedSilent = []spec.UpstreamID{"e"}
	f.run(time.Second, 1100*time.Millisecond)
	if got := f.members["i1"].silenceReportsFrom; len(got) != 1 {
		t.Errorf("got reports from %v, want one report of the dead engine within 100ms", got)
	}
}

// An instance becomes unresponsive. Its load stops counting after 1.5 s, but it counts
// as a sharer of fleet-wide limits until it surely serves no callers.
func TestUnresponsiveInstanceIsLost(t *testing.T) {
	f := newFleet(3)
	f.run(0, time.Second)
	f.linkDown = func(from, to spec.InstanceID) bool { return from == "i2" || to == "i2" }
	f.run(time.Second, 4*time.Second)
	m := f.members["i0"]
	if m.joined["i2"] || m.logic.Count() != 3 {
		t.Errorf("got joined %v and %d counted after 3s, want lost and 3", m.joined["i2"], m.logic.Count())
	}
	f.run(4*time.Second, 20*time.Second)
	if got := m.logic.Count(); got != 2 {
		t.Errorf("got %d counted after 19s, want 2", got)
	}
}

// Each duty has one first instance, on which all instances that receive each other's
// messages agree.
func TestDutyHasOneFirstInstance(t *testing.T) {
	f := newFleet(7)
	f.run(0, time.Second)
	for _, duty := range []string{"read", "plan", "x"} {
		first := 0
		for _, m := range f.members {
			if m.logic.DutyRank(duty) == 0 {
				first++
			}
		}
		if first != 1 {
			t.Errorf("%s: got %d first ranks, want 1", duty, first)
		}
	}
}

// An instance restarts within a second while the store is down. It knows nothing, and
// the others have sent everything to its former process. They must send it again soon,
// as they do if the message was lost.
func TestRestartedInstanceIsUpdated(t *testing.T) {
	for name, lost := range map[string]bool{"restarted": false, "message lost": true} {
		f := newFleet(3)
		page := feed.Page{Rows: []feed.Row{{Key: "k", Version: 7, Value: []byte("v")}}, Version: 7}
		f.members["i0"].view.ApplyChanges(0, page)
		f.members["i1"].view.ApplyChanges(0, page)
		if lost {
			f.run(0, 100*time.Millisecond)
			f.linkDown = func(_, to spec.InstanceID) bool { return to == "i2" }
			f.run(100*time.Millisecond, 600*time.Millisecond)
			f.linkDown = nil
		} else {
			f.run(0, time.Second)
			f.members["i2"].view = feed.View{}
		}
		f.run(time.Second, 3*time.Second)
		if got := f.members["i2"].view.Version(); got != 7 {
			t.Errorf("%s: got version %d, want 7", name, got)
		}
	}
}
