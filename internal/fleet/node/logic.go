package node

import (
	"math"
	"math/rand/v2"
	"time"

	"fulmarwick/internal/base/news"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/drain"
	"fulmarwick/internal/fleet/gossip"
	"fulmarwick/internal/fleet/member"
	"fulmarwick/internal/fleet/proto"
	"fulmarwick/internal/fleet/quota"
)

const (
	// minPause is the time between two ticks from which on this process is
	// known to have been paused. Timeouts that passed in a pause prove
	// nothing about other instances.
	minPause = time.Second
	// maxSketchTeams is the number of teams in the sketch of heavy teams.
	maxSketchTeams = 4 * quota.MaxHeavyTeams
)

// Logic is the state of one instance in the fleet. Set the exported fields
// before the first Tick.
type Logic struct {
	// Local is this instance.
	Local Peer
	// StartTime distinguishes restarts: the start of the process in
	// seconds since 1970. If the clock went back over a restart, the
	// records that peers hold of the former process correct it.
	StartTime uint32
	// Rand is a seeded random source.
	Rand *rand.Rand
	// AloneTimeout is how long to look for peers before this instance
	// considers itself the first. Zero means DefaultAloneTimeout.
	AloneTimeout time.Duration

	initialized   bool
	started       time.Duration
	now           time.Duration
	commands      []Command
	members       member.Table
	items         gossip.Store
	budget        budget
	outbox        outbox
	calls         calls
	exchanges     exchanges
	remoteCentres remoteCentres
	assignments   assignments
	shares        shares
	join          joinState
	drain         drain.Drainer
	discovered    discoveryList
	pushes        pushes
	stats         Stats
}

// Stats holds the counters of the logic. All except Items only grow.
type Stats struct {
	// Sent and SentBytes count outgoing messages, Received and
	// ReceivedBytes incoming ones. The bytes are without the overhead of
	// the transport.
	Sent, SentBytes, Received, ReceivedBytes uint64
	// Malformed counts messages that were rejected.
	Malformed uint64
	// Suspected counts suspicions that this instance started.
	Suspected uint64
	// Pauses counts pauses of this process.
	Pauses uint64
	// Items is how many items are held now, Refused how many were refused
	// because the store was full.
	Items, Refused int
}

// Stats returns the current counters.
func (l *Logic) Stats() Stats {
	s := l.stats
	s.Items = l.items.ItemCount()
	s.Refused = l.items.RefusedCount()
	return s
}

// Tick applies events and returns the commands to carry out. It is called at
// least every 50 ms and whenever an event arrives.
func (l *Logic) Tick(now time.Duration, events []Event) []Command {
	l.commands = nil
	if !l.initialized {
		l.initState(now)
	}
	l.handlePause(now)
	l.now = now
	for _, ev := range events {
		l.apply(ev)
		l.handleMemberChanges()
	}
	l.members.Tick(now)
	l.handleMemberChanges()
	l.items.Tick(now)
	l.tickCalls()
	l.tickExchanges()
	l.tickRemoteCentres()
	l.tickShares()
	l.tickJoin()
	l.tickDrain()
	l.handleMemberChanges()
	l.tickAssignments()
	l.flush()
	return l.commands
}

func (l *Logic) initState(now time.Duration) {
	l.initialized = true
	l.started = now
	l.now = now
	l.members.Local = proto.Record{
		ID: l.Local.ID, DataCentre: l.Local.DataCentre, URL: l.Local.URL, StartTime: l.StartTime, Passive: true,
	}
	l.members.Init()
	l.items.LocalID = l.Local.ID
	l.items.StartTime = l.StartTime
	l.items.Init()
	l.shares.sketch.Size = maxSketchTeams
	if l.AloneTimeout == 0 {
		l.AloneTimeout = DefaultAloneTimeout
	}
}

// handlePause drops the open calls and extends all suspicions after this
// process was paused. Otherwise answers that wait unread would look like the
// death of all other instances.
func (l *Logic) handlePause(now time.Duration) {
	if now-l.now < minPause {
		return
	}
	l.stats.Pauses++
	l.members.ExtendSuspicions(now)
	l.calls.rows = nil
}

func (l *Logic) apply(ev Event) {
	switch ev := ev.(type) {
	case DiscoveryList:
		l.handleDiscoveryList(ev)
	case Received:
		l.handleMessage(ev)
	case ConnectionLost:
		l.handleConnectionLost(ev.Peer)
	case Publish:
		l.publish(ev.Item)
	case TokensUsed:
		l.shares.sketch.Add(ev.Team, float64(ev.Tokens))
	case SetDuties:
		l.assignments.setDuties(ev.Duties)
	case Stop:
		l.beginStop()
	case Leave:
		l.leave()
	}
}

func (l *Logic) emit(c Command) { l.commands = append(l.commands, c) }

// handleMemberChanges applies the changes of the member table to items and
// shares.
func (l *Logic) handleMemberChanges() {
	for _, c := range l.members.TakeChanges() {
		switch {
		case c.NewState == proto.StateDead || c.NewState == proto.StateLeft:
			l.expire(c.ID, math.MaxUint32)
		case c.Restarted:
			rec, _ := l.members.Get(c.ID)
			l.expire(c.ID, rec.StartTime)
		}
	}
	if startTime := l.members.Local.StartTime; startTime != l.items.StartTime {
		l.items.RestartStreams(l.now, startTime)
	}
}

func (l *Logic) expire(id spec.InstanceID, before uint32) {
	l.items.ExpireOrigin(id, before)
	l.shares.aggregator.Remove(id)
	l.emit(ExpirePeer{Peer: id})
}

// publish publishes an item of this instance.
func (l *Logic) publish(item news.Item) {
	switch item.Kind {
	case news.KindLoad, news.KindRate:
		l.setLocalUsage(item)
		return
	case news.KindSum:
		l.shares.setMemorySum(item)
		return
	case news.KindHead:
		if l.isHeadKnown(item) {
			return
		}
	}
	if item, isNew := l.items.Publish(l.now, item); isNew && gossip.Urgent(item.Kind) {
		l.pushes.add(item, "")
	}
}

// isHeadKnown reports whether this version or a later one was already published to
// the fleet. Without the check 360 instances would each publish the same
// version.
func (l *Logic) isHeadKnown(item news.Item) bool {
	local, ok := decodeHead(item)
	if !ok {
		return true
	}
	known := false
	l.items.Each(news.KindHead, func(other news.Item) {
		head, ok := decodeHead(other)
		known = known || ok && head.Version >= local.Version
	})
	return known
}

func decodeHead(item news.Item) (news.Head, bool) {
	var h news.Head
	return h, news.Decode(item, &h) == nil
}
