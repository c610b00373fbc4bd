package mesh

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/rank"
)

const (
	// flatMost is up to how many instances each one exchanges messages with each. In
	// larger fleets that would cost each of them more the more there are.
	flatMost = 40
	// cellMost is how many instances a cell has at most, as far as a hash splits a
	// data centre evenly.
	cellMost = 24
	// headCount is how many heads a cell has: one may die without a gap.
	headCount = 2
	// quiet is after how long without a message from a head the next one by rank takes
	// part: a change waits for whoever should pass it on.
	quiet = 700 * time.Millisecond
)

// cell is a part of the instances of one data centre. Its heads exchange messages
// with all of its members and with the heads of the other cells; the others
// exchange messages with their heads alone.
type cell struct {
	name string
	// ranked are its members, those that should be heads first.
	ranked []spec.InstanceID
	// heads are those that are its heads now, contacts are those that would be but
	// are not heard. They get messages, so that both sides find each other again
	// after a cut.
	heads    []spec.InstanceID
	contacts []spec.InstanceID
}

// layout is how instances are grouped. A flat fleet has no cells.
type layout struct {
	cells []*cell
	mine  *cell
	by    map[spec.InstanceID]*cell
}

func (y *layout) isFlat() bool { return y.mine == nil }

// arrange groups the known instances into cells.
func (l *Logic) arrange() {
	l.layout = layout{by: map[spec.InstanceID]*cell{}}
	l.arranged = true
	if 1+len(l.peers) <= flatMost {
		return
	}
	centres := map[spec.DataCentre][]spec.InstanceID{l.DataCentre: {l.ID}}
	for _, p := range l.sorted() {
		centres[p.centre] = append(centres[p.centre], p.id)
	}
	for centre, ids := range centres {
		l.layout.cells = append(l.layout.cells, cellsOf(centre, ids)...)
	}
	slices.SortFunc(l.layout.cells, func(a, b *cell) int { return cmp.Compare(a.name, b.name) })
	for _, c := range l.layout.cells {
		for _, id := range c.ranked {
			l.layout.by[id] = c
		}
	}
	l.layout.mine = l.layout.by[l.ID]
}

// cellsOf splits the instances of a data centre.
func cellsOf(centre spec.DataCentre, ids []spec.InstanceID) []*cell {
	n := (len(ids) + cellMost - 1) / cellMost
	split := make([][]spec.InstanceID, n)
	for _, id := range ids {
		k := rank.Score("cell", id) % uint64(n)
		split[k] = append(split[k], id)
	}
	var out []*cell
	for k, members := range split {
		if len(members) == 0 {
			continue
		}
		name := fmt.Sprintf("%s/%d", centre, k)
		out = append(out, &cell{name: name, ranked: rank.Top("head "+name, members, len(members))})
	}
	return out
}

// elect finds the heads of the own cell and, for a head, of the others: the first
// ones by rank that are heard, or that may not have had the time to be.
func (l *Logic) elect(now time.Duration) {
	if !l.arranged {
		l.arrange()
	}
	if l.layout.isFlat() {
		return
	}
	l.electIn(now, l.layout.mine)
	for _, c := range l.layout.cells {
		switch {
		case c == l.layout.mine:
		case l.isHead():
			l.electIn(now, c)
		default:
			l.forget(c)
		}
	}
}

func (l *Logic) electIn(now time.Duration, c *cell) {
	c.heads, c.contacts = c.heads[:0], c.contacts[:0]
	for k, id := range c.ranked {
		switch {
		case len(c.heads) == headCount:
			l.rest(c.ranked[k:])
			return
		case id == l.ID || l.answers(now, l.peers[id]):
			c.heads = append(c.heads, id)
		default:
			c.contacts = append(c.contacts, id)
		}
	}
}

// forget drops the heads of a cell that this instance has nothing to do with.
func (l *Logic) forget(c *cell) {
	c.heads, c.contacts = c.heads[:0], c.contacts[:0]
	l.rest(c.ranked)
}

// rest notes that instances are not asked to be heads.
func (l *Logic) rest(ids []spec.InstanceID) {
	for _, id := range ids {
		if p := l.peers[id]; p != nil {
			p.tried = 0
		}
	}
}

// answers reports whether an instance is heard, or has been asked for too short a
// time to tell.
func (l *Logic) answers(now time.Duration, p *peer) bool {
	switch {
	case p.alive:
		p.tried = p.heard
	case p.tried == 0:
		p.tried = max(now, 1)
	}
	return now-p.tried < quiet
}

// isHead reports whether this instance is one of the heads of its cell. All are in
// a flat fleet.
func (l *Logic) isHead() bool {
	return l.layout.isFlat() || slices.Contains(l.layout.mine.heads, l.ID)
}

// inCell reports whether an instance is in the cell of this one.
func (l *Logic) inCell(id spec.InstanceID) bool { return l.layout.by[id] == l.layout.mine }

// isHeadOf reports whether an instance is a head of its cell.
func (l *Logic) isHeadOf(id spec.InstanceID) bool {
	c := l.layout.by[id]
	return l.layout.isFlat() || c != nil && slices.Contains(c.heads, id)
}

// isPrimary reports whether this instance is the one head of its cell that another
// instance hears from in full. The other head sends it only what shows that it
// lives and what it holds.
func (l *Logic) isPrimary(id spec.InstanceID) bool {
	return l.layout.isFlat() || rank.First(string(id), l.layout.mine.heads, l.ID)
}

// isPartner reports whether this instance exchanges messages with another one.
func (l *Logic) isPartner(id spec.InstanceID) bool {
	if l.layout.isFlat() {
		return true
	}
	c := l.layout.by[id]
	if c == nil {
		return false
	}
	if l.isHead() && c == l.layout.mine {
		return true
	}
	return (l.isHead() || c == l.layout.mine) && (slices.Contains(c.heads, id) || slices.Contains(c.contacts, id))
}
