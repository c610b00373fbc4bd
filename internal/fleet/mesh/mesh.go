// Package mesh is the deterministic logic of an instance among others: it tells
// them what its requests take of the engines, which engines it found dead, and what
// it learned from the store that they lack.
//
// A few dozen instances all tell each other. In larger fleets those of a data centre
// form cells, whose heads sum up what the requests of their cells take, exchange the
// sums with the heads of other cells, and tell their members the rest: what a member
// sends and hears does not grow with the fleet.
//
// It imports base/spec, fleet/node for the events and commands of the wire, and
// fleet/rank. Package peer drives it by Tick; app/edge fills it. It does no I/O.
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
	// roundInterval is the pause between two messages to each instance: what others
	// sent to an engine is known before a tenth of its queue has turned over.
	roundInterval = 200 * time.Millisecond
	// peerTimeout is after how long without a message an instance counts no more.
	peerTimeout = 1500 * time.Millisecond
	// countTimeout is how long an instance that fell silent still counts for what
	// all share: it may serve callers while it cannot be heard.
	countTimeout = 15 * time.Second
	// maxUnknownPeers is how many other instances there may be before any are known.
	maxUnknownPeers = 1000
	// lagCheckInterval is the least pause between two looks for what this instance lacks.
	lagCheckInterval = 50 * time.Millisecond
)

// peer is another instance.
type peer struct {
	id       spec.InstanceID
	url      string
	lastSeen time.Duration
	alive    bool
	// isFormerVersion tells that it is of the former version of the program, which does not
	// show what it holds.
	isFormerVersion bool
	// marks is how much it knows of each table.
	marks map[string]feed.Checkpoint
	// sentUpdates is up to where it was told of each table, and when. charge is up to
	// where this instance has to see to that; lacks is since when it knows less.
	sentUpdates      map[string]sentUpdate
	assignedVersions map[string]uint64
	behindSince      map[string]time.Duration
	// lastSync is when the store last told it of all tables; negative if never.
	lastSync time.Duration

	centre spec.DataCentre
	// version is that of its row in the roster, digest that of the instances that it
	// knows; rosterAt is when it was last told them.
	version      uint64
	digest       uint64
	rosterSentAt time.Duration
	// isHead tells that it is one of the heads of its cell by its own word.
	isHead bool
	// initiates tells that it exchanges messages with this instance of its own accord.
	initiates bool
	// probedSince is since when it is asked without having been heard.
	probedSince time.Duration
	// load is what it last told of its own requests; nil if that does not count.
	load *load
	// nextSumAt is from when on it is told the next sum.
	nextSumAt time.Duration
}

// Logic is one instance's part. Set the exported fields before use.
type Logic struct {
	ID         spec.InstanceID
	DataCentre spec.DataCentre
	URL        string
	Local      LocalState
	Receiver   Receiver
	// Now is the clock that Passive reads, for callers outside of the ticks.
	Now func() time.Time

	peers       map[spec.InstanceID]*peer
	sortedPeers []*peer
	nextRound   time.Duration
	lags        map[string]lag
	// relayPending tells that others are to be told before the next beat.
	relayPending bool
	// lagCheckedAt is when it was last looked for what this instance lacks.
	lagCheckedAt time.Duration

	layout        layout
	cellsAssigned bool
	// rosterReceived tells that the roster was read.
	rosterReceived bool
	// version is that of the own row in the roster, rosterDigest that of all known.
	version      uint64
	rosterDigest uint64
	// sums is what requests of cells and of all others take, counts how many
	// instances those are, and passing the events to be passed on.
	sums              map[spec.InstanceID]loadSum
	cellCounts        map[string]instanceCount
	failuresToForward []failures

	mu        sync.Mutex
	peerCount int
	// maxPeers is how many others there may be.
	maxPeers int
	// isFollower tells that this instance is no head and holds no duty.
	isFollower bool
	candidates []spec.InstanceID
	start      time.Time
	lastSync   time.Duration
	// isLagging tells that others know more for longer than patience.
	isLagging bool
}

// Count is how many instances there are, this one among them.
func (l *Logic) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return 1 + l.peerCount
}

// BudgetShares is how many instances may share what is bounded for all, this one among
// them: after a start those that are known and not heard yet count as well, and before
// any are known there may be many.
func (l *Logic) BudgetShares() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.start.IsZero() {
		return 1 + maxUnknownPeers
	}
	return 1 + max(l.peerCount, l.maxPeers)
}

// Tick takes events and returns what is to be sent.
func (l *Logic) Tick(now time.Duration, events []node.Event) []node.Command {
	l.handleEvents(now, events)
	if l.lagCheckedAt == 0 || now-l.lagCheckedAt >= lagCheckInterval {
		l.lagCheckedAt = now
		l.checkLag(now)
	}
	news := l.Local.TakeChangedVersions()
	if len(news) > 0 {
		l.claimChanges(news, l.Local.Checkpoints())
	}
	hurry := l.relayPending
	l.relayPending = false
	switch {
	case now >= l.nextRound || len(news) > 0 || len(l.failuresToForward) > 0 || l.Local.HasUrgent():
		l.nextRound = now + roundInterval
		l.dropUnresponsive(now)
		l.electHeads(now)
		l.expireSums(now)
		return l.sendRound(now)
	case hurry:
		return l.sendRelayed(now)
	}
	return nil
}

// handleEvents takes what came since the last tick.
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
		// A message of another version of the program tells nothing; its
		// sender counts as silent.
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
	p.marks = make(map[string]feed.Checkpoint, len(m.Versions))
	for name := range m.Versions {
		if mark, ok := m.checkpoint(name); ok {
			p.marks[name] = mark
			l.Receiver.ReceiveCheckpoint(name, mark)
		}
	}
}

// aheadVersion is the highest version up to which another instance knows a table while it
// holds something else than this one; zero if there is none.
func (l *Logic) aheadVersion(table string, mine feed.Checkpoint) uint64 {
	version := uint64(0)
	for _, p := range l.peersByID() {
		if m, ok := p.marks[table]; ok && m.Digest != mine.Digest && m.Version > max(mine.Version, version) {
			version = m.Version
		}
	}
	return version
}

// dropUnresponsive drops the instances that are not heard any more.
func (l *Logic) dropUnresponsive(now time.Duration) {
	read := time.Duration(-1)
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
		read = max(read, p.lastSync)
		if l.layout.isFlat() || p.isHead {
			alive = append(alive, p.id)
		}
	}
	count, expected := l.countInstances(now)-1, l.expectedPeers(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxPeers = expected
	l.peerCount, l.candidates, l.lastSync, l.isFollower = count, alive, read, !l.isHead()
	l.start = l.Now().Add(-now)
}

// expectedPeers is how many other instances there may be while this one is too young to have
// heard all.
func (l *Logic) expectedPeers(now time.Duration) int {
	switch {
	case now >= countTimeout:
		return 0
	case !l.rosterReceived:
		return maxUnknownPeers
	}
	return len(l.peers)
}

// peersByID are all other instances in the order of their names.
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
