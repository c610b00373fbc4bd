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
	// maxLateUpdates is how many instances are told once more in one message round.
	maxLateUpdates = 8
	// resendInterval is after how long an instance that was told of a change and does
	// not show it is told again: the message was lost, it restarted, or who should
	// have told it is frozen.
	resendInterval = 600 * time.Millisecond
	// unaskedUpdateDelay is after how long an instance that lacks a change is told by others
	// than the one that read it, which may have died.
	unaskedUpdateDelay = time.Second
	// maxUpdaters is how many of those tell one that is behind; more would only repeat
	// each other.
	maxUpdaters = 2
)

// sentUpdate is what an instance was told of a table.
type sentUpdate struct {
	version uint64
	sentAt  time.Duration
}

// claimChanges has this instance see to it that all others learn what it just read from
// the store, if it is the first to know. news is the version of the last change of
// each table. Whoever reads later finds others that know it, and one of them has
// done so.
func (l *Logic) claimChanges(news map[string]uint64, marks map[string]feed.Checkpoint) {
	for name, version := range news {
		known := l.isKnownElsewhere(name, version, marks[name])
		for _, p := range l.peersByID() {
			// Members hear of it from their primary head alone, whoever else knows.
			if !known || l.isMember(p) {
				p.assignedVersions[name] = marks[name].Version
			}
		}
	}
}

// isHeadFor reports whether this instance is a head of the cell in which another one is a
// member.
func (l *Logic) isHeadFor(p *peer) bool {
	return !l.layout.isFlat() && l.isHead() && l.inCell(p.id) && !l.isHeadOf(p.id)
}

// isMember reports whether an instance hears from this one what others know.
func (l *Logic) isMember(p *peer) bool { return l.isHeadFor(p) && l.isPrimary(p.id) }

// handleTables takes rows from another instance and sees to it that those hear of them that
// depend on this one.
func (l *Logic) handleTables(from *peer, tables []Table) {
	if len(tables) == 0 {
		return
	}
	marks := l.Local.Checkpoints()
	for _, t := range tables {
		before := marks[t.Name]
		l.Receiver.ReceiveRows(t.Name, t.Since, t.Rows, feed.Checkpoint{Version: t.Version, Digest: t.Digest}, from.id)
		marks = l.Local.Checkpoints()
		if len(t.RelayTo) > 0 {
			l.acceptRelay(t, marks)
		}
		if marks[t.Name].Digest != before.Digest {
			l.forwardChange(from, t.Name, marks[t.Name].Version)
		}
	}
}

// forwardChange has a head tell its members of a change, and the heads of other cells too
// if it was one of its members that knew of it.
func (l *Logic) forwardChange(from *peer, table string, version uint64) {
	if l.layout.isFlat() || !l.isHead() {
		return
	}
	all := l.inCell(from.id) && !l.isHeadOf(from.id)
	for _, p := range l.peersByID() {
		if p != from && (all || l.isMember(p)) {
			p.assignedVersions[table] = version
			l.relayPending = true
		}
	}
}

// isKnownElsewhere reports whether another instance knows a change and holds the same of its
// table. One that shows the same from before the change may hold anything by now.
func (l *Logic) isKnownElsewhere(table string, version uint64, mine feed.Checkpoint) bool {
	for _, p := range l.peersByID() {
		if m, ok := p.marks[table]; ok && p.alive && m.Digest == mine.Digest && m.Version >= version {
			return true
		}
	}
	return false
}

// acceptRelay takes over the telling of other instances.
func (l *Logic) acceptRelay(t Table, marks map[string]feed.Checkpoint) {
	if marks[t.Name].Digest != t.Digest {
		// What was told did not fit what is known here; who asked for it tells
		// those instances again.
		return
	}
	for _, id := range t.RelayTo {
		if id != l.ID {
			l.ensurePeer(id).assignedVersions[t.Name] = t.Version
			l.relayPending = true
		}
	}
}

// tablesToSend is what other instances are to be told of the tables now. A change goes
// over a tree whose root is the instance that read it: each instance that is told
// is one that tells, so all that live are reached.
func (l *Logic) tablesToSend(now time.Duration, marks map[string]feed.Checkpoint) map[spec.InstanceID][]Table {
	out := map[spec.InstanceID][]Table{}
	for _, name := range slices.Sorted(maps.Keys(marks)) {
		fresh, late := l.peersToUpdate(now, name, marks[name])
		fresh, direct := l.splitByRelay(fresh)
		for _, p := range direct {
			out[p.id] = append(out[p.id], l.tableFor(now, p, name, marks[name]))
		}
		for _, part := range splitEvenly(fresh, fanout) {
			head := slices.MaxFunc(part, byLastSeen)
			t := l.tableFor(now, head, name, marks[name])
			for _, p := range part {
				if p != head {
					t.RelayTo = append(t.RelayTo, p.id)
				}
				p.sentUpdates[name] = sentUpdate{version: t.Version, sentAt: now}
			}
			out[head.id] = append(out[head.id], t)
		}
		for _, p := range late[:min(len(late), maxLateUpdates)] {
			out[p.id] = append(out[p.id], l.tableFor(now, p, name, marks[name]))
		}
	}
	return out
}

// splitByRelay parts instances into those that can tell each other, and those that this
// one has to tell itself.
func (l *Logic) splitByRelay(all []*peer) (relays, direct []*peer) {
	for _, p := range all {
		if l.isHead() && l.isHeadOf(p.id) {
			relays = append(relays, p)
		} else {
			direct = append(direct, p)
		}
	}
	return relays, direct
}

// byLastSeen orders instances by when they were heard. The one heard last passes
// changes on: one that is frozen or has just ended is silent, and those behind it
// would wait until they are told again.
func byLastSeen(a, b *peer) int { return cmp.Compare(a.lastSeen, b.lastSeen) }

// peersToUpdate returns the instances that are to be told of a table: those that have not
// been told of its last change by this one or whom it asked to, and those that
// should know it by now.
func (l *Logic) peersToUpdate(now time.Duration, name string, mine feed.Checkpoint) (fresh, late []*peer) {
	for _, p := range l.peersByID() {
		if !p.isBehind(now, name, mine) || !p.alive || p.url == "" {
			continue
		}
		theirs, told, charge := p.marks[name], p.sentUpdates[name], p.assignedVersions[name]
		switch {
		case charge > max(theirs.Version, told.version):
			fresh = append(fresh, p)
		case told.version > 0 && now-told.sentAt < resendInterval:
		case charge > theirs.Version, now-p.behindSince[name] >= updateDelay(theirs) && l.isUpdaterOf(p, name, mine):
			late = append(late, p)
		}
	}
	return fresh, late
}

// isBehind reports whether an instance knows less of a table than this one, and
// notes since when.
func (p *peer) isBehind(now time.Duration, name string, mine feed.Checkpoint) bool {
	theirs, ok := p.marks[name]
	if !ok || theirs.Version >= mine.Version || theirs.Digest == mine.Digest {
		delete(p.behindSince, name)
		return false
	}
	if _, ok := p.behindSince[name]; !ok {
		p.behindSince[name] = now
	}
	return true
}

// updateDelay is how long an instance may lack something before others tell it
// unasked. One that knows nothing has started and may not reach the store; it is
// told as soon as those that know have shown it to each other.
func updateDelay(theirs feed.Checkpoint) time.Duration {
	if theirs.Version == 0 {
		return roundInterval
	}
	return unaskedUpdateDelay
}

// tableFor is what another instance lacks of a table: what changed since the version
// that it shows. What it was told later may never have come.
func (l *Logic) tableFor(now time.Duration, p *peer, name string, mine feed.Checkpoint) Table {
	since, told := p.marks[name].Version, p.sentUpdates[name]
	if told.version > since && now-told.sentAt >= resendInterval {
		// A change that was undone before this instance looked is not among the
		// changes: only the whole table helps.
		since = 0
	}
	since, page := l.Local.ChangesSince(name, since)
	p.sentUpdates[name] = sentUpdate{version: mine.Version, sentAt: now}
	return Table{Name: name, Since: since, Version: mine.Version, Digest: mine.Digest, Rows: page.Rows}
}

// isUpdaterOf reports whether this instance is one of those that tell p what it lacks,
// among those that know it.
func (l *Logic) isUpdaterOf(p *peer, name string, mine feed.Checkpoint) bool {
	ids := []spec.InstanceID{l.ID}
	for _, other := range l.peersByID() {
		if other.alive && other.marks[name].Digest == mine.Digest && l.exchangesWith(other, p) {
			ids = append(ids, other.id)
		}
	}
	return slices.Contains(rank.Top(string(p.id), ids, maxUpdaters), l.ID)
}

// exchangesWith reports whether another instance exchanges messages with p.
func (l *Logic) exchangesWith(other, p *peer) bool {
	if l.layout.isFlat() {
		return true
	}
	same := l.layout.cellByID[other.id] == l.layout.cellByID[p.id]
	return l.isHeadOf(other.id) && (same || l.isHeadOf(p.id)) || same && l.isHeadOf(p.id)
}

// splitEvenly parts instances into n groups of about the same size at most.
func splitEvenly(all []*peer, n int) [][]*peer {
	var out [][]*peer
	for k := range min(n, len(all)) {
		out = append(out, all[k*len(all)/min(n, len(all)):(k+1)*len(all)/min(n, len(all))])
	}
	return out
}
