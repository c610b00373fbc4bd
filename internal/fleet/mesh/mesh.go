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
	// beat is the pause between two messages to each instance: what others
	// sent to an engine is known before a tenth of its queue has turned over.
	beat = 200 * time.Millisecond
	// silent is after how long without a message an instance counts no more.
	silent = 1500 * time.Millisecond
	// counted is how long an instance that fell silent still counts for what
	// all share: it may serve callers while it cannot be heard.
	counted = 15 * time.Second
	// unknownMost is how many other instances there may be before any are known.
	unknownMost = 1000
	// judgeEvery is the least pause between two looks for what this instance lacks.
	judgeEvery = 50 * time.Millisecond
)

// peer is another instance.
type peer struct {
	id    spec.InstanceID
	url   string
	heard time.Duration
	alive bool
	// former tells that it is of the former version of the program, which does not
	// show what it holds.
	former bool
	// marks is how much it knows of each table.
	marks map[string]feed.Mark
	// told is up to where it was told of each table, and when. charge is up to
	// where this instance has to see to that; lacks is since when it knows less.
	told   map[string]telling
	charge map[string]uint64
	lacks  map[string]time.Duration
	// read is when the store last told it of all tables; negative if never.
	read time.Duration

	centre spec.DataCentre
	// version is that of its row in the roster, digest that of the instances that it
	// knows; rosterAt is when it was last told them.
	version  uint64
	digest   uint64
	rosterAt time.Duration
	// head tells that it is one of the heads of its cell by its own word.
	head bool
	// asks tells that it exchanges messages with this instance of its own accord.
	asks bool
	// tried is since when it is asked without having been heard.
	tried time.Duration
	// load is what it last told of its own requests; nil if that does not count.
	load *load
	// sumDue is from when on it is told the next sum.
	sumDue time.Duration
}

// Logic is one instance's part. Set the exported fields before use.
type Logic struct {
	ID         spec.InstanceID
	DataCentre spec.DataCentre
	URL        string
	Self       Self
	Taker      Taker
	// Now is the clock that Passive reads, for callers outside of the ticks.
	Now func() time.Time

	peers map[spec.InstanceID]*peer
	order []*peer
	next  time.Duration
	lags  map[string]lag
	// hurry tells that others are to be told before the next beat.
	hurry bool
	// judged is when it was last looked for what this instance lacks.
	judged time.Duration

	layout   layout
	arranged bool
	// rostered tells that the roster was read.
	rostered bool
	// version is that of the own row in the roster, rosterDigest that of all known.
	version      uint64
	rosterDigest uint64
	// sums is what requests of cells and of all others take, counts how many
	// instances those are, and passing the events to be passed on.
	sums    map[spec.InstanceID]sum
	counts  map[string]headcount
	passing []event

	mu    sync.Mutex
	count int
	// expected is how many others there may be.
	expected int
	// follows tells that this instance is no head and holds no duty.
	follows bool
	alive   []spec.InstanceID
	start   time.Time
	read    time.Duration
	// late tells that others know more for longer than patience.
	late bool
}

// Count is how many instances there are, this one among them.
func (l *Logic) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return 1 + l.count
}

// Sharing is how many instances may share what is bounded for all, this one among
// them: after a start those that are known and not heard yet count as well, and before
// any are known there may be many.
func (l *Logic) Sharing() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.start.IsZero() {
		return 1 + unknownMost
	}
	return 1 + max(l.count, l.expected)
}

// Tick takes events and returns what is to be sent.
func (l *Logic) Tick(now time.Duration, events []node.Event) []node.Command {
	l.take(now, events)
	if l.judged == 0 || now-l.judged >= judgeEvery {
		l.judged = now
		l.judge(now)
	}
	news := l.Self.News()
	if len(news) > 0 {
		l.claim(news, l.Self.Marks())
	}
	hurry := l.hurry
	l.hurry = false
	switch {
	case now >= l.next || len(news) > 0 || len(l.passing) > 0 || l.Self.Urgent():
		l.next = now + beat
		l.silence(now)
		l.elect(now)
		l.expire(now)
		return l.tell(now)
	case hurry:
		return l.pass(now)
	}
	return nil
}

// take takes what came since the last tick.
func (l *Logic) take(now time.Duration, events []node.Event) {
	if l.peers == nil {
		l.peers = map[spec.InstanceID]*peer{}
		l.lags = map[string]lag{}
		l.sums = map[spec.InstanceID]sum{}
		l.counts = map[string]headcount{}
	}
	for _, ev := range events {
		switch ev := ev.(type) {
		case node.Listed:
			l.listed(ev)
		case node.Heard:
			l.heard(now, ev)
		}
	}
}

func (l *Logic) peer(id spec.InstanceID) *peer {
	p := l.peers[id]
	if p == nil {
		p = &peer{id: id, told: map[string]telling{}, charge: map[string]uint64{}, lacks: map[string]time.Duration{}, read: -1}
		l.peers[id] = p
		l.arranged, l.rosterDigest = false, 0
	}
	return p
}

func (l *Logic) heard(now time.Duration, ev node.Heard) {
	var m Message
	if err := cbor.Unmarshal(ev.Data, &m); err != nil {
		// A message of another version of the program tells nothing; its
		// sender counts as silent.
		return
	}
	p := l.peer(ev.From)
	p.url, p.heard, p.read, p.former = m.URL, now, -1, len(m.Digests) == 0
	if m.Age >= 0 && !p.former {
		p.read = max(0, now-time.Duration(m.Age)*time.Millisecond)
	}
	if !p.alive {
		p.alive = true
		l.Taker.Met(p.id)
	}
	p.head, p.asks, p.digest = m.Head, !m.Reply, m.Known
	l.settle(p, m.DataCentre)
	for _, member := range m.Roster {
		l.enrol(member, false)
	}
	l.takeLoad(now, p, m)
	if len(m.Dead) > 0 {
		l.Taker.Dead(p.id, m.Dead)
	}
	if len(m.Crashes) > 0 {
		l.Taker.Crashed(p.id, m.Crashes)
	}
	l.passOn(p, m)
	l.told(p, m.Tables)
	p.marks = make(map[string]feed.Mark, len(m.Versions))
	for name := range m.Versions {
		if mark, ok := m.mark(name); ok {
			p.marks[name] = mark
			l.Taker.Known(name, mark)
		}
	}
}

// ahead is the highest version up to which another instance knows a table while it
// holds something else than this one; zero if there is none.
func (l *Logic) ahead(table string, mine feed.Mark) uint64 {
	version := uint64(0)
	for _, p := range l.sorted() {
		if m, ok := p.marks[table]; ok && m.Digest != mine.Digest && m.Version > max(mine.Version, version) {
			version = m.Version
		}
	}
	return version
}

// silence drops the instances that are not heard any more.
func (l *Logic) silence(now time.Duration) {
	read := time.Duration(-1)
	var alive []spec.InstanceID
	for _, p := range l.sorted() {
		if p.alive && now-p.heard >= silent {
			p.alive = false
			p.load = nil
			l.Taker.Missed(p.id)
		}
		if !p.alive {
			continue
		}
		read = max(read, p.read)
		if l.layout.isFlat() || p.head {
			alive = append(alive, p.id)
		}
	}
	count, expected := l.instances(now)-1, l.expect(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expected = expected
	l.count, l.alive, l.read, l.follows = count, alive, read, !l.isHead()
	l.start = l.Now().Add(-now)
}

// expect is how many other instances there may be while this one is too young to have
// heard all.
func (l *Logic) expect(now time.Duration) int {
	switch {
	case now >= counted:
		return 0
	case !l.rostered:
		return unknownMost
	}
	return len(l.peers)
}

// sorted are all other instances in the order of their names.
func (l *Logic) sorted() []*peer {
	if len(l.order) == len(l.peers) {
		return l.order
	}
	l.order = l.order[:0]
	for _, p := range l.peers {
		l.order = append(l.order, p)
	}
	slices.SortFunc(l.order, func(a, b *peer) int { return cmp.Compare(a.id, b.id) })
	return l.order
}
