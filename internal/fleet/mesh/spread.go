package mesh

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/rank"
	"fulmarwick/internal/state/feed"
)

const (
	// fanout is how many instances are told of a change at once by one that knows
	// it; each of them tells its part of the others. To send a configuration to a few
	// dozen instances would fill the link of one.
	fanout = 4
	// lateMost is how many instances are told once more in one message round.
	lateMost = 8
	// tellAgain is after how long an instance that was told of a change and does
	// not show it is told again: the message was lost, it restarted, or who should
	// have told it is frozen.
	tellAgain = 600 * time.Millisecond
	// overdue is after how long an instance that lacks a change is told by others
	// than the one that read it, which may have died.
	overdue = time.Second
	// tellers is how many of those tell one that is behind; more would only repeat
	// each other.
	tellers = 2
)

// telling is what an instance was told of a table.
type telling struct {
	version uint64
	at      time.Duration
}

// claim has this instance see to it that all others learn what it just read from
// the store, if it is the first to know. news is the version of the last change of
// each table. Whoever reads later finds others that know it, and one of them has
// done so.
func (l *Logic) claim(news map[string]uint64, marks map[string]feed.Mark) {
	for name, version := range news {
		known := l.known(name, version, marks[name])
		for _, p := range l.sorted() {
			// Members hear of it from their primary head alone, whoever else knows.
			if !known || l.isMember(p) {
				p.charge[name] = marks[name].Version
			}
		}
	}
}

// leads reports whether this instance is a head of the cell in which another one is a
// member.
func (l *Logic) leads(p *peer) bool {
	return !l.layout.isFlat() && l.isHead() && l.inCell(p.id) && !l.isHeadOf(p.id)
}

// isMember reports whether an instance hears from this one what others know.
func (l *Logic) isMember(p *peer) bool { return l.leads(p) && l.isPrimary(p.id) }

// told takes rows from another instance and sees to it that those hear of them that
// depend on this one.
func (l *Logic) told(from *peer, tables []Table) {
	if len(tables) == 0 {
		return
	}
	marks := l.Self.Marks()
	for _, t := range tables {
		before := marks[t.Name]
		l.Taker.Told(t.Name, t.Since, t.Rows, feed.Mark{Version: t.Version, Digest: t.Digest}, from.id)
		marks = l.Self.Marks()
		if len(t.Relay) > 0 {
			l.relay(t, marks)
		}
		if marks[t.Name].Digest != before.Digest {
			l.forward(from, t.Name, marks[t.Name].Version)
		}
	}
}

// forward has a head tell its members of a change, and the heads of other cells too
// if it was one of its members that knew of it.
func (l *Logic) forward(from *peer, table string, version uint64) {
	if l.layout.isFlat() || !l.isHead() {
		return
	}
	all := l.inCell(from.id) && !l.isHeadOf(from.id)
	for _, p := range l.sorted() {
		if p != from && (all || l.isMember(p)) {
			p.charge[table] = version
			l.hurry = true
		}
	}
}

// known reports whether another instance knows a change and holds the same of its
// table. One that shows the same from before the change may hold anything by now.
func (l *Logic) known(table string, version uint64, mine feed.Mark) bool {
	for _, p := range l.sorted() {
		if m, ok := p.marks[table]; ok && p.alive && m.Digest == mine.Digest && m.Version >= version {
			return true
		}
	}
	return false
}

// relay takes over the telling of other instances.
func (l *Logic) relay(t Table, marks map[string]feed.Mark) {
	if marks[t.Name].Digest != t.Digest {
		// What was told did not fit what is known here; who asked for it tells
		// those instances again.
		return
	}
	for _, id := range t.Relay {
		if id != l.ID {
			l.peer(id).charge[t.Name] = t.Version
			l.hurry = true
		}
	}
}

// spread is what other instances are to be told of the tables now. A change goes
// over a tree whose root is the instance that read it: each instance that is told
// is one that tells, so all that live are reached.
func (l *Logic) spread(now time.Duration, marks map[string]feed.Mark) map[spec.InstanceID][]Table {
	out := map[spec.InstanceID][]Table{}
	for _, name := range slices.Sorted(maps.Keys(marks)) {
		fresh, late := l.due(now, name, marks[name])
		fresh, direct := l.relays(fresh)
		for _, p := range direct {
			out[p.id] = append(out[p.id], l.table(now, p, name, marks[name]))
		}
		for _, part := range split(fresh, fanout) {
			head := slices.MaxFunc(part, heardFirst)
			t := l.table(now, head, name, marks[name])
			for _, p := range part {
				if p != head {
					t.Relay = append(t.Relay, p.id)
				}
				p.told[name] = telling{version: t.Version, at: now}
			}
			out[head.id] = append(out[head.id], t)
		}
		for _, p := range late[:min(len(late), lateMost)] {
			out[p.id] = append(out[p.id], l.table(now, p, name, marks[name]))
		}
	}
	return out
}

// relays parts instances into those that can tell each other, and those that this
// one has to tell itself.
func (l *Logic) relays(all []*peer) (relays, direct []*peer) {
	for _, p := range all {
		if l.isHead() && l.isHeadOf(p.id) {
			relays = append(relays, p)
		} else {
			direct = append(direct, p)
		}
	}
	return relays, direct
}

// heardFirst orders instances by when they were heard. The one heard last passes
// changes on: one that is frozen or has just ended is silent, and those behind it
// would wait until they are told again.
func heardFirst(a, b *peer) int { return cmp.Compare(a.heard, b.heard) }

// due returns the instances that are to be told of a table: those that have not
// been told of its last change by this one or whom it asked to, and those that
// should know it by now.
func (l *Logic) due(now time.Duration, name string, mine feed.Mark) (fresh, late []*peer) {
	for _, p := range l.sorted() {
		if !p.lacking(now, name, mine) || !p.alive || p.url == "" {
			continue
		}
		theirs, told, charge := p.marks[name], p.told[name], p.charge[name]
		switch {
		case charge > max(theirs.Version, told.version):
			fresh = append(fresh, p)
		case told.version > 0 && now-told.at < tellAgain:
		case charge > theirs.Version, now-p.lacks[name] >= patienceWith(theirs) && l.teller(p, name, mine):
			late = append(late, p)
		}
	}
	return fresh, late
}

// lacking reports whether an instance knows less of a table than this one, and
// notes since when.
func (p *peer) lacking(now time.Duration, name string, mine feed.Mark) bool {
	theirs, ok := p.marks[name]
	if !ok || theirs.Version >= mine.Version || theirs.Digest == mine.Digest {
		delete(p.lacks, name)
		return false
	}
	if _, ok := p.lacks[name]; !ok {
		p.lacks[name] = now
	}
	return true
}

// patienceWith is how long an instance may lack something before others tell it
// unasked. One that knows nothing has started and may not reach the store; it is
// told as soon as those that know have shown it to each other.
func patienceWith(theirs feed.Mark) time.Duration {
	if theirs.Version == 0 {
		return beat
	}
	return overdue
}

// table is what another instance lacks of a table: what changed since the version
// that it shows. What it was told later may never have come.
func (l *Logic) table(now time.Duration, p *peer, name string, mine feed.Mark) Table {
	since, told := p.marks[name].Version, p.told[name]
	if told.version > since && now-told.at >= tellAgain {
		// A change that was undone before this instance looked is not among the
		// changes: only the whole table helps.
		since = 0
	}
	since, page := l.Self.Since(name, since)
	p.told[name] = telling{version: mine.Version, at: now}
	return Table{Name: name, Since: since, Version: mine.Version, Digest: mine.Digest, Rows: page.Rows}
}

// teller reports whether this instance is one of those that tell p what it lacks,
// among those that know it.
func (l *Logic) teller(p *peer, name string, mine feed.Mark) bool {
	ids := []spec.InstanceID{l.ID}
	for _, other := range l.sorted() {
		if other.alive && other.marks[name].Digest == mine.Digest && l.reaches(other, p) {
			ids = append(ids, other.id)
		}
	}
	return slices.Contains(rank.Top(string(p.id), ids, tellers), l.ID)
}

// reaches reports whether another instance exchanges messages with p.
func (l *Logic) reaches(other, p *peer) bool {
	if l.layout.isFlat() {
		return true
	}
	same := l.layout.by[other.id] == l.layout.by[p.id]
	return l.isHeadOf(other.id) && (same || l.isHeadOf(p.id)) || same && l.isHeadOf(p.id)
}

// split parts instances into n groups of about the same size at most.
func split(all []*peer, n int) [][]*peer {
	var out [][]*peer
	for k := range min(n, len(all)) {
		out = append(out, all[k*len(all)/min(n, len(all)):(k+1)*len(all)/min(n, len(all))])
	}
	return out
}
