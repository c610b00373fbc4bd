// Package mesh is the deterministic logic by which an instance exchanges state with the
// others: it sends them how much of the engines its requests use, which engines it
// found dead, and which changes it read from the store that they lack.
//
// In fleets of up to a few dozen instances, each exchanges messages with each. In
// larger fleets the instances of a data centre form cells. The heads of a cell sum up
// the load of its requests, exchange the sums with the heads of other cells, and send
// their members the load of the rest of the fleet. So what a member sends and receives
// does not grow with the fleet.
//
// It imports base/spec, fleet/node for the events and commands of the wire, fleet/rank,
// state/feed, and the packages of route whose state it exchanges. Package peer drives
// it by Tick; app/edge provides its state. It does no I/O.
package mesh

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/node"
	"fulmarwick/internal/state/feed"

	"github.com/fxamacker/cbor/v2"
)

const (
	// roundInterval is the interval between two messages to each instance. What others
	// sent to an engine is known before a tenth of its queue has turned over.
	roundInterval = 200 * time.Millisecond
	// peerTimeout is how long an instance may send no message before its load no longer
	// counts.
	peerTimeout = 1500 * time.Millisecond
	// countTimeout is how long an unresponsive instance still counts as a sharer of
	// fleet-wide limits: it may serve callers while its messages do not arrive.
	countTimeout = 15 * time.Second
	// maxUnknownPeers is how many other instances are assumed before any are known.
	maxUnknownPeers = 1000
	// lagCheckInterval is the minimum interval between two checks for missing changes.
	lagCheckInterval = 50 * time.Millisecond
)

// peer is another instance.
type peer struct {
	id       spec.InstanceID
	url      string
	lastSeen time.Duration
	alive    bool
	// isFormerVersion means that the peer runs the former version of the program, which
	// does not send digests of its tables.
	isFormerVersion bool
	// checkpoints is how much of each table the peer knows.
	checkpoints map[string]feed.Checkpoint
	// sentUpdates is the version of each table up to which this instance updated the
	// peer, and when. assignedVersions is the version up to which this instance has to
	// see that the peer is updated. behindSince is since when the peer lags behind.
	sentUpdates      map[string]sentUpdate
	assignedVersions map[string]uint64
	behindSince      map[string]time.Duration
	// lastSync is when the peer was last in sync with the store for all tables;
	// negative if never.
	lastSync time.Duration

	centre spec.DataCentre
	// version is the version of the peer's row in the roster. digest is the digest of
	// the instances that the peer knows. rosterSentAt is when the roster was last sent
	// to it.
	version      uint64
	digest       uint64
	rosterSentAt time.Duration
	// isHead means that the peer reports itself as a head of its cell.
	isHead bool
	// initiates means that the peer sends messages on its own, not only replies.
	initiates bool
	// probedSince is since when the peer has been probed without a message from it.
	probedSince time.Duration
	// load is the last reported load of the peer's own requests; nil if it does not
	// count.
	load *load
	// nextSumAt is the earliest time for the next sum to the peer.
	nextSumAt time.Duration
}

// Logic is the mesh logic of one instance. Set the exported fields before use.
type Logic struct {
	ID         spec.InstanceID
	DataCentre spec.DataCentre
	URL        string
	Local      LocalState
	Receiver   Receiver
	// Now is the clock for callers outside of the ticks, such as SkipsStoreReads.
	Now func() time.Time

	peers       map[spec.InstanceID]*peer
	sortedPeers []*peer
	nextRound   time.Duration
	lags        map[string]lag
	// relayPending means that updates have to be relayed before the next round.
	relayPending bool
	// lagCheckedAt is when this instance last checked for missing changes.
	lagCheckedAt time.Duration

	layout        layout
	cellsAssigned bool
	// rosterReceived means that the roster has been read.
	rosterReceived bool
	// version is the version of this instance's row in the roster. rosterDigest is the
	// digest of all known instances; zero if it has to be computed.
	version      uint64
	rosterDigest uint64
	// sums is the load of other cells or of all other instances. cellCounts is how many
	// instances these are. failuresToForward are failure reports that a head has to
	// pass on.
	sums              map[spec.InstanceID]loadSum
	cellCounts        map[string]instanceCount
	failuresToForward []failures

	mu        sync.Mutex
	peerCount int
	// maxPeers is the upper limit of the number of other instances.
	maxPeers int
	// isFollower means that this instance is no head and holds no duty.
	isFollower bool
	candidates []spec.InstanceID
	start      time.Time
	lastSync   time.Duration
	// isLagging means that other instances have known more for longer than lagTimeout.
	isLagging bool
}

// Count returns the number of instances, including this one.
func (l *Logic) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return 1 + l.peerCount
}

// BudgetShares returns how many instances may share a fleet-wide limit, including this
// one. After a start, known instances from which no message has come yet count as well.
// Before any are known, there may be many.
func (l *Logic) BudgetShares() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.start.IsZero() {
		return 1 + maxUnknownPeers
	}
	return 1 + max(l.peerCount, l.maxPeers)
}

// Tick processes events and returns the messages to send.
func (l *Logic) Tick(now time.Duration, events []node.Event) []node.Command {
	l.handleEvents(now, events)
	if l.lagCheckedAt == 0 || now-l.lagCheckedAt >= lagCheckInterval {
		l.lagCheckedAt = now
		l.checkLag(now)
	}
	changed := l.Local.TakeChangedVersions()
	if len(changed) > 0 {
		l.claimChanges(changed, l.Local.Checkpoints())
	}
	relay := l.relayPending
	l.relayPending = false
	switch {
	case now >= l.nextRound || len(changed) > 0 || len(l.failuresToForward) > 0 || l.Local.HasUrgent():
		l.nextRound = now + roundInterval
		l.dropUnresponsive(now)
		l.electHeads(now)
		l.expireSums(now)
		return l.sendRound(now)
	case relay:
		return l.sendRelayed(now)
	}
	return nil
}

// handleEvents processes the events since the last tick.
func (l *Logic) handleEvents(now time.Duration, events []node.Event) {
	if l.peers == nil {
		l.peers = map[spec.InstanceID]*peer{}
		l.lags = map[string]lag{}
		l.sums = map[spec.InstanceID]loadSum{}
		l.cellCounts = map[string]instanceCount{}
	}
	for _, ev := range events {
		switch ev := ev.(type) {
		case node.DiscoveryList:
			l.handleRoster(ev)
		case node.Received:
			l.handleMessage(now, ev)
		}
	}
}

func (l *Logic) ensurePeer(id spec.InstanceID) *peer {
	p := l.peers[id]
	if p == nil {
		p = &peer{id: id, sentUpdates: map[string]sentUpdate{}, assignedVersions: map[string]uint64{}, behindSince: map[string]time.Duration{}, lastSync: -1}
		l.peers[id] = p
		l.cellsAssigned, l.rosterDigest = false, 0
	}
	return p
}

func (l *Logic) handleMessage(now time.Duration, ev node.Received) {
	var m Message
	if err := cbor.Unmarshal(ev.Data, &m); err != nil {
		// A message of another version of the program is ignored; its sender counts as
		// unresponsive.
		return
	}
	p := l.ensurePeer(ev.From)
	p.url, p.lastSeen, p.lastSync, p.isFormerVersion = m.URL, now, -1, len(m.Digests) == 0
	if m.SyncAgeMs >= 0 && !p.isFormerVersion {
		p.lastSync = max(0, now-time.Duration(m.SyncAgeMs)*time.Millisecond)
	}
	if !p.alive {
		p.alive = true
		l.Receiver.PeerJoined(p.id)
	}
	p.isHead, p.initiates, p.digest = m.Head, !m.Reply, m.RosterDigest
	l.setDataCentre(p, m.DataCentre)
	for _, member := range m.Roster {
		l.updateMember(member, false)
	}
	l.handleLoad(now, p, m)
	if len(m.Dead) > 0 {
		l.Receiver.ReceiveDead(p.id, m.Dead)
	}
	if len(m.Crashes) > 0 {
		l.Receiver.ReceiveCrashes(p.id, m.Crashes)
	}
	l.queueFailures(p, m)
	l.handleTables(p, m.Tables)
	p.checkpoints = make(map[string]feed.Checkpoint, len(m.Versions))
	for name := range m.Versions {
		if checkpoint, ok := m.checkpoint(name); ok {
			p.checkpoints[name] = checkpoint
			l.Receiver.ReceiveCheckpoint(name, checkpoint)
		}
	}
}

// aheadVersion returns the highest version up to which another instance knows a table
// while its content differs from the local one; zero if there is none.
func (l *Logic) aheadVersion(table string, local feed.Checkpoint) uint64 {
	version := uint64(0)
	for _, p := range l.peersByID() {
		if remote, ok := p.checkpoints[table]; ok && remote.Digest != local.Digest && remote.Version > max(local.Version, version) {
			version = remote.Version
		}
	}
	return version
}

// dropUnresponsive drops the instances from which no more messages arrive.
func (l *Logic) dropUnresponsive(now time.Duration) {
	lastSync := time.Duration(-1)
	var alive []spec.InstanceID
	for _, p := range l.peersByID() {
		if p.alive && now-p.lastSeen >= peerTimeout {
			p.alive = false
			p.load = nil
			l.Receiver.PeerLost(p.id)
		}
		if !p.alive {
			continue
		}
		lastSync = max(lastSync, p.lastSync)
		if l.layout.isFlat() || p.isHead {
			alive = append(alive, p.id)
		}
	}
	count, expected := l.countInstances(now)-1, l.expectedPeers(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxPeers = expected
	l.peerCount, l.candidates, l.lastSync, l.isFollower = count, alive, lastSync, !l.isHead()
	l.start = l.Now().Add(-now)
}

// expectedPeers returns how many other instances there may be while this one is too
// young to have received a message from each.
func (l *Logic) expectedPeers(now time.Duration) int {
	switch {
	case now >= countTimeout:
		return 0
	case !l.rosterReceived:
		return maxUnknownPeers
	}
	return len(l.peers)
}

// peersByID returns all other instances, sorted by ID.
func (l *Logic) peersByID() []*peer {
	if len(l.sortedPeers) == len(l.peers) {
		return l.sortedPeers
	}
	l.sortedPeers = l.sortedPeers[:0]
	for _, p := range l.peers {
		l.sortedPeers = append(l.sortedPeers, p)
	}
	slices.SortFunc(l.sortedPeers, func(a, b *peer) int { return cmp.Compare(a.id, b.id) })
	return l.sortedPeers
}
