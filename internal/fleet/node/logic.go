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
	"fulmarwick/internal/fleet/quota"
	"fulmarwick/internal/fleet/talk"
)

const (
	// pauseGap is the time between two ticks that shows that this process did
	// not run; whatever waited in the meantime proves nothing about others.
	pauseGap = time.Second
	// sketchSize is how many teams the sketch of heavy teams counts.
	sketchSize = 4 * quota.Heavy
)

// Logic is one instance among the others. Set the exported fields before the
// first Tick.
type Logic struct {
	// Self is the own instance.
	Self Peer
	// Born tells restarts apart: seconds since 1970 at the start. A clock that
	// went back is made up for by what the others remember.
	Born uint32
	// Rand is a seeded source.
	Rand *rand.Rand
	// Alone is how long to look for peers before this instance counts as the
	// first; zero is DefaultAlone.
	Alone time.Duration

	begun   bool
	started time.Duration
	now     time.Duration
	out     []Command
	members member.Table
	items   gossip.Store
	budget  budget
	outbox  outbox
	calls   calls
	meets   meets
	remotes remotes
	watch   watches
	share   shares
	join    join
	drain   drain.Drain
	listed  listed
	push    pushes
	stats   Stats
}

// Stats counts what the logic met. All counts only grow.
type Stats struct {
	// Sent and SentBytes count messages out, Heard and HeardBytes those in;
	// bytes are without the transport's own.
	Sent, SentBytes, Heard, HeardBytes uint64
	// Bad counts messages that were refused.
	Bad uint64
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
	s.Items = l.items.Items()
	s.Refused = l.items.Refused()
	return s
}

// Tick takes events in and returns what is to be done. It is called at least
// every 50 ms and whenever an event came.
func (l *Logic) Tick(now time.Duration, events []Event) []Command {
	l.out = nil
	if !l.begun {
		l.begin(now)
	}
	l.paused(now)
	l.now = now
	for _, ev := range events {
		l.apply(ev)
		l.noteChanges()
	}
	l.members.Tick(now)
	l.noteChanges()
	l.items.Tick(now)
	l.tickCalls()
	l.tickMeets()
	l.tickRemotes()
	l.tickShares()
	l.tickJoin()
	l.tickDrain()
	l.noteChanges()
	l.tickWatch()
	l.flush()
	return l.out
}

func (l *Logic) begin(now time.Duration) {
	l.begun = true
	l.started = now
	l.now = now
	l.members.Self = talk.Record{
		ID: l.Self.ID, DataCentre: l.Self.DataCentre, URL: l.Self.URL, Born: l.Born, Passive: true,
	}
	l.members.Init()
	l.items.Self = l.Self.ID
	l.items.Born = l.Born
	l.items.Init()
	l.share.sketch.Size = sketchSize
	if l.Alone == 0 {
		l.Alone = DefaultAlone
	}
}

// paused forgives everyone after this process did not run for a while. Without
// it, answers that wait unread would look like the death of all others.
func (l *Logic) paused(now time.Duration) {
	if now-l.now < pauseGap {
		return
	}
	l.stats.Pauses++
	l.members.Postpone(now)
	l.calls.rows = nil
}

func (l *Logic) apply(ev Event) {
	switch ev := ev.(type) {
	case Listed:
		l.list(ev)
	case Heard:
		l.heard(ev)
	case Lost:
		l.lost(ev.Peer)
	case Say:
		l.say(ev.Item)
	case Used:
		l.share.sketch.Add(ev.Team, float64(ev.Tokens))
	case Duties:
		l.watch.duties(ev.Duties)
	case Stop:
		l.stop()
	case Quit:
		l.quit()
	}
}

func (l *Logic) emit(c Command) { l.out = append(l.out, c) }

// noteChanges acts on what changed in the member table.
func (l *Logic) noteChanges() {
	for _, c := range l.members.Changes() {
		switch {
		case c.Is == talk.StateDead || c.Is == talk.StateLeft:
			l.expire(c.ID, math.MaxUint32)
		case c.Reborn:
			rec, _ := l.members.Get(c.ID)
			l.expire(c.ID, rec.Born)
		}
	}
	if born := l.members.Self.Born; born != l.items.Born {
		l.items.Reborn(l.now, born)
	}
}

func (l *Logic) expire(id spec.InstanceID, before uint32) {
	l.items.Forget(id, before)
	l.share.sums.Drop(id)
	l.emit(Expire{Peer: id})
}

// say spreads an item of the own instance.
func (l *Logic) say(item news.Item) {
	switch item.Kind {
	case news.KindLoad, news.KindRate:
		l.use(item)
		return
	case news.KindSum:
		l.share.room(item)
		return
	case news.KindHead:
		if l.headKnown(item) {
			return
		}
	}
	if item, fresh := l.items.Say(l.now, item); fresh && gossip.Urgent(item.Kind) {
		l.push.item(item, "")
	}
}

// headKnown reports whether the others were told of the version or a later
// one already: at 360 instances each would else tell all the same.
func (l *Logic) headKnown(item news.Item) bool {
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
