// Package mesh is the deterministic logic of an instance among a few dozen
// others that all know each other: it tells them what its requests take of the
// engines, which engines it found dead, and what it learned from the store that
// they lack.
//
// It imports base/spec, fleet/node for the events and commands of the wire, and
// fleet/rank. Package peer drives it by Tick; app/edge fills it. It does no I/O.
package mesh

import (
	"sort"
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
}

// Logic is one instance's part. Set the exported fields before use.
type Logic struct {
	ID    spec.InstanceID
	URL   string
	Self  Self
	Taker Taker
	// Now is the clock that Passive reads, for callers outside of the ticks.
	Now func() time.Time

	peers map[spec.InstanceID]*peer
	next  time.Duration
	lags  map[string]lag
	// hurry tells that others are to be told before the next beat.
	hurry bool

	mu    sync.Mutex
	count int
	alive []spec.InstanceID
	start time.Time
	read  time.Duration
	// late tells that others know more for longer than patience.
	late bool
}

// Count is how many instances share what is bounded for all, this one among
// them.
func (l *Logic) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return 1 + l.count
}

// Tick takes events and returns what is to be sent.
func (l *Logic) Tick(now time.Duration, events []node.Event) []node.Command {
	if l.peers == nil {
		l.peers = map[spec.InstanceID]*peer{}
		l.lags = map[string]lag{}
	}
	for _, ev := range events {
		switch ev := ev.(type) {
		case node.Listed:
			l.listed(ev)
		case node.Heard:
			l.heard(now, ev)
		}
	}
	l.judge(now)
	news := l.Self.News()
	if len(news) > 0 {
		l.claim(news, l.Self.Marks())
	}
	hurry := l.hurry
	l.hurry = false
	switch {
	case now >= l.next || len(news) > 0 || l.Self.Urgent():
		l.next = now + beat
		l.silence(now)
		return l.tell(now)
	case hurry:
		return l.pass(now)
	}
	return nil
}

// listed notes where instances should be. One that moved is asked at its new
// address.
func (l *Logic) listed(ev node.Listed) {
	for _, p := range ev.Peers {
		if p.ID != l.ID {
			l.peer(p.ID).url = p.URL
		}
	}
}

func (l *Logic) peer(id spec.InstanceID) *peer {
	p := l.peers[id]
	if p == nil {
		p = &peer{id: id, told: map[string]telling{}, charge: map[string]uint64{}, lacks: map[string]time.Duration{}, read: -1}
		l.peers[id] = p
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
	l.Taker.Used(p.id, m.Uses)
	l.Taker.Paced(p.id, m.Paces)
	if len(m.Dead) > 0 {
		l.Taker.Dead(p.id, m.Dead)
	}
	if len(m.Crashes) > 0 {
		l.Taker.Crashed(p.id, m.Crashes)
	}
	for _, t := range m.Tables {
		l.Taker.Told(t.Name, t.Since, t.Rows, feed.Mark{Version: t.Version, Digest: t.Digest}, p.id)
		if len(t.Relay) > 0 {
			l.relay(t, l.Self.Marks())
		}
	}
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
	for _, p := range l.peers {
		if m, ok := p.marks[table]; ok && m.Digest != mine.Digest && m.Version > max(mine.Version, version) {
			version = m.Version
		}
	}
	return version
}

// silence drops the instances that are not heard any more.
func (l *Logic) silence(now time.Duration) {
	count := 0
	read := time.Duration(-1)
	var alive []spec.InstanceID
	for _, p := range l.sorted() {
		if p.heard > 0 && now-p.heard < counted {
			count++
		}
		if p.alive && now-p.heard >= silent {
			p.alive = false
			l.Taker.Missed(p.id)
		}
		if p.alive {
			alive = append(alive, p.id)
			read = max(read, p.read)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count, l.alive, l.read = count, alive, read
	l.start = l.Now().Add(-now)
}

func (l *Logic) sorted() []*peer {
	out := make([]*peer, 0, len(l.peers))
	for _, p := range l.peers {
		out = append(out, p)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].id < out[j].id })
	return out
}
