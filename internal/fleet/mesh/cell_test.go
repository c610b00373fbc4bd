package mesh_test

import (
	"fmt"
	"testing"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/node"
)

// large is the size of a large fleet, designFleet the size for which the mesh is
// designed.
const (
	large       = 118
	designFleet = 360
)

// remoteStreams returns how many streams of other instances a member knows of.
func (m *member) remoteStreams() int {
	n := 0
	for _, streams := range m.streams {
		n += streams
	}
	return n
}

// checkTotals checks that each of n live members counts all instances and knows the
// load of all others, each once.
func (f *fleet) checkTotals(t *testing.T, n int) {
	t.Helper()
	for _, id := range f.ids() {
		if f.frozen[id] {
			continue
		}
		m := f.members[id]
		requests := 0
		for _, sent := range m.requestsFrom {
			requests += sent
		}
		teams := 0
		for _, inFlight := range m.teamsFrom {
			teams += inFlight
		}
		if teams != n-1 {
			t.Errorf("%s: got %d requests of a team at other instances, want %d", id, teams, n-1)
		}
		if requests != 2*(n-1) {
			t.Errorf("%s: got %d requests of other instances, want %d", id, requests, 2*(n-1))
		}
		if m.remoteStreams() != n-1 || m.logic.Count() != n {
			t.Errorf("%s: got %d streams of other instances and %d instances, want %d and %d", id, m.remoteStreams(), m.logic.Count(), n-1, n)
		}
	}
}

// Guards against requests that count twice or not at all where their load is summed up
// on the way.
func TestLargeFleetCountsLoadOnce(t *testing.T) {
	for _, n := range append([]int{40, 41}, sizes...) {
		t.Run(fmt.Sprintf("%d instances", n), func(t *testing.T) {
			f := newFleet(n)
			f.run(0, 4*time.Second)
			f.checkTotals(t, n)
		})
	}
}

// Guards against a message rate per instance that grows with the size of the fleet.
func TestMessageRateIsBoundedInLargeFleets(t *testing.T) {
	const (
		// maxMemberRate is how many messages a second a plain member may send: two in
		// each round.
		maxMemberRate = 2 * 5
		// maxHeadRate is the limit for a head of a cell: one to each member and to each
		// other head in each round.
		maxHeadRate = (40 + 2*20) * 5
	)
	for _, n := range append([]int{33}, sizes...) {
		f := newFleet(n)
		f.run(0, 4*time.Second)
		clear(f.messagesSent)
		clear(f.bytesSent)
		f.run(4*time.Second, 9*time.Second)
		busy, highest, bytes := 0, 0, 0
		for id, sent := range f.messagesSent {
			highest, bytes = max(highest, sent/5), max(bytes, f.bytesSent[id]/5)
			if sent/5 > maxMemberRate {
				busy++
			}
		}
		t.Logf("%d instances: %d messages and %d bytes a second at most, %d of them send more than %d", n, highest, bytes, busy, maxMemberRate)
		if n > 40 && (highest > maxHeadRate || busy > n/4) {
			t.Errorf("%d instances: got %d messages a second at most and %d that send more than %d, want %d and a quarter", n, highest, busy, maxMemberRate, maxHeadRate)
		}
	}
}

// Guards against sums that saturate the links of their receivers, or the links between
// data centres, where there are many engines.
func TestLargeSumsAreSentLessOften(t *testing.T) {
	const (
		// maxLocalRate and maxRemoteRate are how many bytes a second an instance may receive from
		// another one, in the same data centre and from a different one.
		maxLocalRate, maxRemoteRate = 24 << 10, 12 << 10
		engines                     = 600
	)
	f := newFleet(large)
	f.engines = engines
	f.run(0, 5*time.Second)
	clear(f.bytesReceived)
	f.run(5*time.Second, 15*time.Second)
	f.checkTotals(t, large)
	for link, bytes := range f.bytesReceived {
		limit := maxRemoteRate
		if centreOf(link[0]) == centreOf(link[1]) {
			limit = maxLocalRate
		}
		if bytes/10 > limit {
			t.Fatalf("got %d bytes a second from %s to %s, want %d at most", bytes/10, link[1], link[0], limit)
		}
	}
}

// Guards against failure reports that arrive several times or not at all after their
// way through the heads: crashes of upstreams count against requests.
func TestDeadEngineIsReportedOnce(t *testing.T) {
	f := newFleet(large)
	f.run(0, 4*time.Second)
	for _, finder := range f.ids()[:12] {
		f.members[finder].unreportedSilent = []spec.UpstreamID{"e"}
		f.run(f.now+tickInterval, f.now+5*tickInterval)
		for id, m := range f.members {
			if got := len(m.silenceReportsFrom); id != finder && got != 1 {
				t.Errorf("found by %s: %s received the report %d times, want once", finder, id, got)
			}
			m.silenceReportsFrom = nil
		}
	}
}

// Guards against load that is dropped or counted twice, and duties without a holder,
// after heads of cells have died and come back.
func TestHeadsAreReplaced(t *testing.T) {
	f := newFleet(large)
	f.run(0, 4*time.Second)
	frozen := 0
	for _, id := range f.ids() {
		if f.members[id].logic.DutyRank("plan") < 3 || f.members[id].logic.DutyRank("read") < 3 {
			f.frozen[id] = true
			frozen++
		}
	}
	f.run(4*time.Second, 24*time.Second)
	f.checkTotals(t, large-frozen)
	first := 0
	for id, m := range f.members {
		if !f.frozen[id] && m.logic.DutyRank("plan") == 0 {
			first++
		}
	}
	if first != 1 {
		t.Errorf("got %d first ranks, want 1", first)
	}
	clear(f.frozen)
	f.run(24*time.Second, 30*time.Second)
	f.checkTotals(t, large)
}

// Guards against a fleet that stays split: instances that start together find in the
// roster only those that wrote their rows before them.
func TestPartialRostersAreMerged(t *testing.T) {
	f := newFleet(large)
	ids := f.ids()
	for k, id := range ids {
		var peers []node.Peer
		for _, other := range ids[:k+1] {
			peers = append(peers, node.Peer{ID: other, DataCentre: centreOf(other), URL: "http://" + string(other), Version: spec.Revision(len(other))})
		}
		f.inbox[id] = []node.Event{node.DiscoveryList{Peers: peers}}
	}
	f.run(0, 8*time.Second)
	f.checkTotals(t, large)
}

// Guards against a fleet that starts anew and in which each instance takes the whole
// retry budget for itself, since it has received no message from another one yet.
func TestStartingInstancesShareTheRetryBudget(t *testing.T) {
	f := newFleet(large)
	for _, id := range f.ids() {
		if got := f.members[id].logic.BudgetShares(); got < large {
			t.Errorf("%s: got the budget shared by %d before the start, want %d or more", id, got, large)
		}
	}
	f.linkDown = func(_, _ spec.InstanceID) bool { return true }
	f.run(0, time.Second)
	for _, id := range f.ids() {
		if got := f.members[id].logic.BudgetShares(); got < large {
			t.Errorf("%s: got the budget shared by %d before any message, want %d or more", id, got, large)
		}
	}
	f.linkDown = nil
	f.run(time.Second, 20*time.Second)
	f.checkTotals(t, large)
	for _, id := range f.ids() {
		if got := f.members[id].logic.BudgetShares(); got != large {
			t.Errorf("%s: got the budget shared by %d, want %d", id, got, large)
		}
	}
}

// Guards against load that is dropped until the next round, when an instance sends a
// change between two rounds.
func TestChangeBetweenRoundsKeepsLoad(t *testing.T) {
	for seed := range 6 {
		f := newNamedFleet(large, fmt.Sprintf("b%d-", seed))
		r := &fakeStore{}
		r.put(changedKey, "old")
		f.runWithStore(r, tickInterval, 5*time.Second, nil)
		for k := range 4 {
			r.put(changedKey, fmt.Sprint(k))
			for range 7 {
				f.runWithStore(r, f.now+tickInterval, f.now+2*tickInterval, nil)
				f.checkTotals(t, large)
			}
		}
	}
}

// Guards against instances of a large fleet that know none of another data centre to pass requests
// on to, or one that reaches no upstream itself.
func TestNeighborsSpanDataCentres(t *testing.T) {
	f := newFleet(large)
	ids := f.ids()
	for _, id := range ids {
		f.members[id].logic.TakesRequests = func() bool { return true }
	}
	f.members[ids[1]].logic.LinksLost = func() bool { return true }
	f.run(0, 4*time.Second)
	for _, id := range ids {
		logic, others := f.members[id].logic, 0
		for _, n := range logic.Neighbors() {
			if n.DataCentre != logic.DataCentre {
				others++
			}
			if n.URL == "" || n.ID == id {
				t.Errorf("%s: got the neighbor %+v, want another instance with a URL", id, n)
			}
		}
		if others == 0 {
			t.Errorf("%s: got no neighbor in another data centre, want some", id)
		}
	}
	if got := f.members[ids[1]].logic.UpstreamDutyRank("plan"); got != 3 {
		t.Errorf("got rank %d for an instance without links, want it no candidate", got)
	}
}
