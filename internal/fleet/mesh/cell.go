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
	// maxFlatFleet is up to how many instances each one exchanges messages with each. In
	// larger fleets that would cost each of them more the more there are.
	maxFlatFleet = 40
	// maxCellSize is how many instances a cell has at most, as far as a hash splits a
	// data centre evenly.
	maxCellSize = 24
	// headsPerCell is how many heads a cell has: one may die without a gap.
	headsPerCell = 2
	// headTimeout is after how long without a message from a head the next one by rank takes
	// part: a change waits for whoever should pass it on.
	headTimeout = 700 * time.Millisecond
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
	cells    []*cell
	local    *cell
	cellByID map[spec.InstanceID]*cell
}

func (y *layout) isFlat() bool { return y.local == nil }

// assignCells groups the known instances into cells.
func (l *Logic) assignCells() {
	l.layout = layout{cellByID: map[spec.InstanceID]*cell{}}
	l.cellsAssigned = true
	if 1+len(l.peers) <= maxFlatFleet {
		return
	}
	centres := map[spec.DataCentre][]spec.InstanceID{l.DataCentre: {l.ID}}
	for _, p := range l.peersByID() {
		centres[p.centre] = append(centres[p.centre], p.id)
	}
	for centre, ids := range centres {
		l.layout.cells = append(l.layout.cells, splitIntoCells(centre, ids)...)
	}
	slices.SortFunc(l.layout.cells, func(a, b *cell) int { return cmp.Compare(a.name, b.name) })
	for _, c := range l.layout.cells {
		for _, id := range c.ranked {
			l.layout.cellByID[id] = c
		}
	}
	l.layout.local = l.layout.cellByID[l.ID]
}

// splitIntoCells splits the instances of a data centre.
func splitIntoCells(centre spec.DataCentre, ids []spec.InstanceID) []*cell {
	n := (len(ids) + maxCellSize - 1) / maxCellSize
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

// electHeads finds the heads of the own cell and, for a head, of the others: the first
// ones by rank that are heard, or that may not have had the time to be.
func (l *Logic) electHeads(now time.Duration) {
	if !l.cellsAssigned {
		l.assignCells()
	}
	if l.layout.isFlat() {
		return
	}
	l.electCellHeads(now, l.layout.local)
	for _, c := range l.layout.cells {
		switch {
		case c == l.layout.local:
		case l.isHead():
			l.electCellHeads(now, c)
		default:
			l.clearHeads(c)
		}
	}
}

func (l *Logic) electCellHeads(now time.Duration, c *cell) {
	c.heads, c.contacts = c.heads[:0], c.contacts[:0]
	for k, id := range c.ranked {
		switch {
		case len(c.heads) == headsPerCell:
			l.resetProbes(c.ranked[k:])
			return
		case id == l.ID || l.isResponsive(now, l.peers[id]):
			c.heads = append(c.heads, id)
		default:
			c.contacts = append(c.contacts, id)
		}
	}
}

// clearHeads drops the heads of a cell that this instance has nothing to do with.
func (l *Logic) clearHeads(c *cell) {
	c.heads, c.contacts = c.heads[:0], c.contacts[:0]
	l.resetProbes(c.ranked)
}

// resetProbes notes that instances are not asked to be heads.
func (l *Logic) resetProbes(ids []spec.InstanceID) {
	for _, id := range ids {
		if p := l.peers[id]; p != nil {
			p.probedSince = 0
		}
	}
}

// isResponsive reports whether an instance is heard, or has been asked for too short a
// time to tell.
func (l *Logic) isResponsive(now time.Duration, p *peer) bool {
	switch {
	case p.alive:
		p.probedSince = p.lastSeen
	case p.probedSince == 0:
		p.probedSince = max(now, 1)
	}
	return now-p.probedSince < headTimeout
}

// isHead reports whether this instance is one of the heads of its cell. All are in
// a flat fleet.
func (l *Logic) isHead() bool {
	return l.layout.isFlat() || slices.Contains(l.layout.local.heads, l.ID)
}

// inCell reports whether an instance is in the cell of this one.
func (l *Logic) inCell(id spec.InstanceID) bool { return l.layout.cellByID[id] == l.layout.local }

// isHeadOf reports whether an instance is a head of its cell.
func (l *Logic) isHeadOf(id spec.InstanceID) bool {
	c := l.layout.cellByID[id]
	return l.layout.isFlat() || c != nil && slices.Contains(c.heads, id)
}

// isPrimary reports whether this instance is the one head of its cell that another
// instance hears from in full. The other head sends it only what shows that it
// lives and what it holds.
func (l *Logic) isPrimary(id spec.InstanceID) bool {
	return l.layout.isFlat() || rank.IsFirst(string(id), l.layout.local.heads, l.ID)
}

// isPartner reports whether this instance exchanges messages with another one.
func (l *Logic) isPartner(id spec.InstanceID) bool {
	if l.layout.isFlat() {
		return true
	}
	c := l.layout.cellByID[id]
	if c == nil {
		return false
	}
	if l.isHead() && c == l.layout.local {
		return true
	}
	return (l.isHead() || c == l.layout.local) && (slices.Contains(c.heads, id) || slices.Contains(c.contacts, id))
}
