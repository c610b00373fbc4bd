// Package mesh is the deterministic logic by which an instance exchanges state with the
// others: it sends them how much of the engines its requests use, which engines it
// found silent, and which changes it read from the store that they lack.
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
	"slices"
	"sync"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/node"
	"fulmarwick/internal/route/limit"
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
	// MaxUnknownPeers is how many other instances are assumed before any are known.
	MaxUnknownPeers = 1000
	// lagCheckInterval is the minimum interval between two checks for missing changes.
	lagCheckInterval = 50 * time.Millisecond
)

// Logic is the mesh logic of one instance. Set the exported fields before use.
type Logic struct {
	ID         spec.InstanceID
	DataCentre spec.DataCentre
	URL        string
	Local      LocalState
	Receiver   Receiver
	// LinksLost reports whether this instance reaches no upstream; nil if it always does.
	LinksLost func() bool
	// TakesRequests reports whether this instance serves requests that others pass on; nil if
	// it never does.
	TakesRequests func() bool
	// Starting reports whether this instance waits for the tables of others before it serves;
	// nil if it never does.
	Starting func() bool
	// Constrained means that this instance has so little processor time or bandwidth that others
	// should do the work for the fleet.
	Constrained bool
	// Now is the clock for callers outside of the ticks, such as SkipsStoreReads.
	Now func() time.Time

	peers       map[spec.InstanceID]*peer
	sortedPeers []*peer
	nextRound   time.Duration
	lags        map[string]lag
	// lastTick is when the last tick was.
	lastTick time.Duration
	// packed holds the packed rows that were last sent, by table.
	packed map[string]packedRows
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
	version      spec.Revision
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
	candidates candidates
	// linked are the candidates that reach upstreams.
	linked    candidates
	neighbors []Neighbor
	// index is the number of known instances whose ID is less than that of this one.
	index    int
	start    time.Time
	lastSync time.Duration
	// hasConstrained means that some instances are constrained.
	hasConstrained bool
	// heardAt is when the last message of an instance arrived with which this one exchanges messages.
	heardAt time.Duration
	// isLagging means that other instances have known more for longer than lagTimeout.
	isLagging bool
}

// Count returns the number of instances, including this one.
func (l *Logic) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return 1 + l.peerCount
}

// HasConstrained reports whether some instances of the fleet are constrained.
func (l *Logic) HasConstrained() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hasConstrained
}

// Neighbor is another instance that requests may be passed on to.
type Neighbor struct {
	ID         spec.InstanceID
	DataCentre spec.DataCentre
	URL        string
}

// Neighbors returns the other instances that are known to run. In a fleet with cells, those of
// other cells are known by the roster only.
func (l *Logic) Neighbors() []Neighbor {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.neighbors
}

// BudgetShares returns how many instances may share a fleet-wide limit, including this
// one. After a start, known instances from which no message has come yet count as well.
// Before any are known, there may be many.
func (l *Logic) BudgetShares() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.start.IsZero() {
		return 1 + MaxUnknownPeers
	}
	return 1 + max(l.peerCount, l.maxPeers)
}

// LimitShare returns the part of this instance in limits that all of them share.
func (l *Logic) LimitShare() limit.Share {
	count := l.BudgetShares()
	l.mu.Lock()
	defer l.mu.Unlock()
	return limit.Share{Index: l.index, Count: count}
}

// Tick processes events and returns the messages to send.
func (l *Logic) Tick(now time.Duration, events []node.Event) []node.Command {
	l.excuseLateness(now)
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

func (l *Logic) handleMessage(now time.Duration, ev node.Received) {
	var m Message
	if err := cbor.Unmarshal(ev.Data, &m); err != nil {
		// A message of another version of the program is ignored; its sender counts as
		// unresponsive.
		return
	}
	p := l.ensurePeer(ev.From)
	p.url, p.lastSeen, p.lastSync, p.isFormerVersion = m.URL, now, -1, len(m.Digests) == 0
	p.excused = 0
	l.setConstrained(p, m.Constrained)
	if m.SyncAgeMs >= 0 && !p.isFormerVersion {
		p.lastSync = max(0, now-time.Duration(m.SyncAgeMs)*time.Millisecond)
	}
	if !p.alive {
		p.alive, p.hasJoined, p.nextLoadAt = true, true, 0
		l.Receiver.PeerJoined(p.id)
	}
	p.isHead, p.initiates, p.digest = m.Head, !m.Reply, m.RosterDigest
	p.linksLost, p.takesRequests, p.isStarting = m.LinksLost, m.TakesRequests, m.Starting
	l.relayPending = l.relayPending || m.Starting
	l.setDataCentre(p, m.DataCentre)
	for _, member := range m.Roster {
		l.updateMember(member, false)
	}
	l.handleLoad(now, p, m)
	if len(m.RateLimits) > 0 {
		l.Receiver.ReceiveRateLimits(m.RateLimits)
	}
	if len(m.Silent) > 0 {
		l.Receiver.ReceiveSilent(p.id, m.Silent)
	}
	if crashes := slices.Concat(m.Crashes, m.Known); len(crashes) > 0 {
		l.Receiver.ReceiveCrashes(p.id, crashes)
	}
	l.queueFailures(p, m)
	l.handleTables(p, m.Tables)
	l.handleCheckpoints(p, m)
}

// handleCheckpoints records how much of each table another instance knows.
func (l *Logic) handleCheckpoints(p *peer, m Message) {
	p.checkpoints = make(map[string]feed.Checkpoint, len(m.Versions))
	for name := range m.Versions {
		if checkpoint, ok := m.checkpoint(name); ok {
			p.checkpoints[name] = checkpoint
			l.Receiver.ReceiveCheckpoint(name, checkpoint)
		}
	}
	if !m.Starting {
		l.Receiver.ReceiveDigests(m.Digests)
	}
}

func (l *Logic) isStarting() bool { return l.Starting != nil && l.Starting() }
