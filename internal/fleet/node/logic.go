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
	// minPause is the time between two ticks that shows that this process did
	// not run; whatever waited in the meantime proves nothing about others.
	minPause = time.Second
	// maxSketchTeams is how many teams the sketch of heavy teams counts.
	maxSketchTeams = 4 * quota.MaxHeavyTeams
)

// Logic is one instance among the others. Set the exported fields before the
// first Tick.
type Logic struct {
	// Local is the own instance.
	Local Peer
	// StartTime tells restarts apart: seconds since 1970 at the start. A clock that
	// went back is made up for by what the others remember.
	StartTime uint32
	// Rand is a seeded source.
	Rand *rand.Rand
	// AloneTimeout is how long to look for peers before this instance counts as the
	// first; zero is DefaultAlone.
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

// Stats counts what the logic met. All counts only grow.
type Stats struct {
	// Sent and SentBytes count messages out, Heard and HeardBytes those in;
	// bytes are without the transport's own.
	Sent, SentBytes, Received, ReceivedBytes uint64
	// Malformed counts messages that were refused.
	Malformed uint64
	// Suspected counts suspicions that began here.
	Suspected uint64
	// Pauses counts times that this process did not run.
	Pauses uint64
	// Items is how many items are held now, Refused how many found no room.
	Items, Refused int
}

// Stats returns the counts.
func (l *Logic) Stats() Stats {
	s := l.stats
	s.Items = l.items.ItemCount()
	s.Refused = l.items.RefusedCount()
	return s
}

// Tick takes events in and returns what is to be done. It is called at least
// every 50 ms and whenever an event came.
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

// handlePause forgives everyone after this process did not run for a while. Without
// it, answers that wait unread would look like the death of all others.
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

// handleMemberChanges acts on what changed in the member table.
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
	if born := l.members.Local.StartTime; born != l.items.StartTime {
		l.items.RestartStreams(l.now, born)
	}
}

func (l *Logic) expire(id spec.InstanceID, before uint32) {
	l.items.ExpireOrigin(id, before)
	l.shares.aggregator.Remove(id)
	l.emit(ExpirePeer{Peer: id})
}

// publish spreads an item of the own instance.
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
	if item, fresh := l.items.Publish(l.now, item); fresh && gossip.Urgent(item.Kind) {
		l.pushes.add(item, "")
	}
}

// isHeadKnown reports whether the others were told of the version or a later
// one already: at 360 instances each would else tell all the same.
func (l *Logic) isHeadKnown(item news.Item) bool {
	mine, ok := decodeHead(item)
	if !ok {
		return true
	}
	known := false
	l.items.Each(news.KindHead, func(other news.Item) {
		head, ok := decodeHead(other)
		known = known || ok && head.Version >= mine.Version
	})
	return known
}

func decodeHead(item news.Item) (news.Head, bool) {
	var h news.Head
	return h, news.Decode(item, &h) == nil
}
