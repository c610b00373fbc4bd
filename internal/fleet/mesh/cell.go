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
	// maxFlatFleet is the largest number of instances that exchange messages pairwise.
	// In larger fleets the cost for each instance would grow with the size of the
	// fleet.
	maxFlatFleet = 40
	// maxCellSize is the most instances in a cell, as far as a hash splits a data
	// centre evenly.
	maxCellSize = 24
	// headsPerCell is how many heads a cell has: one may die without an interruption.
	headsPerCell = 2
	// maxMixedCellSize is the same for a cell whose heads are chosen among a few instances that
	// are not constrained.
	maxMixedCellSize = 48
	// headTimeout is how long a head may send no message before the next instance by
	// rank takes part as a head. A change waits meanwhile for the head that should pass
	// it on.
	headTimeout = 700 * time.Millisecond
)

// cell is a group of instances in one data centre. Its heads exchange messages with all
// of its members and with the heads of the other cells. The other members exchange
// messages with the heads of their cell only.
type cell struct {
	name string
	// ranked are the members of the cell, in the order in which they are preferred as
	// heads.
	ranked []spec.InstanceID
	// heads are the current heads. contacts are members with a better rank that are
	// unresponsive. They still get messages, so that both sides find each other again
	// after a network partition.
	heads    []spec.InstanceID
	contacts []spec.InstanceID
}

// layout is how instances are grouped into cells. A flat fleet has no cells.
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
		l.layout.cells = append(l.layout.cells, l.splitIntoCells(centre, ids)...)
	}
	slices.SortFunc(l.layout.cells, func(a, b *cell) int { return cmp.Compare(a.name, b.name) })
	for _, c := range l.layout.cells {
		for _, id := range c.ranked {
			l.layout.cellByID[id] = c
		}
	}
	l.layout.local = l.layout.cellByID[l.ID]
}

// splitIntoCells splits the instances of a data centre. Where only some of them are constrained, each
// cell has as many of the others as it has heads.
func (l *Logic) splitIntoCells(centre spec.DataCentre, ids []spec.InstanceID) []*cell {
	capable, constrained := l.splitByCapacity(ids)
	n := (len(ids) + maxCellSize - 1) / maxCellSize
	if len(capable) > 0 && len(constrained) > 0 {
		n = max(1, min(n, len(capable)/headsPerCell), (len(ids)+maxMixedCellSize-1)/maxMixedCellSize)
	} else {
		capable, constrained = nil, ids
	}
	split := make([][]spec.InstanceID, n)
	for k, id := range rank.Top("cell", capable, len(capable)) {
		split[k%n] = append(split[k%n], id)
	}
	for _, id := range constrained {
		k := rank.Score("cell", id) % uint64(n)
		split[k] = append(split[k], id)
	}
	var out []*cell
	for k, members := range split {
		if len(members) == 0 {
			continue
		}
		name := fmt.Sprintf("%s/%d", centre, k)
		out = append(out, &cell{name: name, ranked: l.rankByCapacity("head "+name, members, len(members))})
	}
	return out
}

// electHeads determines the heads of the local cell and, if this instance is a head,
// those of the other cells: the first instances by rank that are responsive or that may
// not have had time to answer.
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

// clearHeads drops the heads of a cell with which this instance exchanges no messages.
func (l *Logic) clearHeads(c *cell) {
	c.heads, c.contacts = c.heads[:0], c.contacts[:0]
	l.resetProbes(c.ranked)
}

// resetProbes notes that instances are not being probed as heads.
func (l *Logic) resetProbes(ids []spec.InstanceID) {
	for _, id := range ids {
		if p := l.peers[id]; p != nil {
			p.probedSince = 0
		}
	}
}

// isResponsive reports whether an instance sent a message within headTimeout, or has
// been probed for less than that.
func (l *Logic) isResponsive(now time.Duration, p *peer) bool {
	switch {
	case p.alive:
		p.probedSince = p.lastSeen
	case p.probedSince == 0:
		p.probedSince = max(now, 1)
	}
	return now-p.probedSince < headTimeout
}

// isHead reports whether this instance is one of the heads of its cell. In a flat fleet
// every instance is.
func (l *Logic) isHead() bool {
	return l.layout.isFlat() || slices.Contains(l.layout.local.heads, l.ID)
}

// inCell reports whether an instance is in the cell of this instance.
func (l *Logic) inCell(id spec.InstanceID) bool { return l.layout.cellByID[id] == l.layout.local }

// isHeadOf reports whether an instance is a head of its cell.
func (l *Logic) isHeadOf(id spec.InstanceID) bool {
	c := l.layout.cellByID[id]
	return l.layout.isFlat() || c != nil && slices.Contains(c.heads, id)
}

// isPrimary reports whether this instance is the head of its cell that sends full
// messages to another instance. The other head sends it only proof that it is alive and
// the checkpoints of its tables.
func (l *Logic) isPrimary(id spec.InstanceID) bool {
	if l.layout.isFlat() {
		return true
	}
	top := l.rankByCapacity(string(id), l.layout.local.heads, 1)
	return len(top) == 1 && top[0] == l.ID
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
