package mesh

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/state/feed"
)

const (
	// fanout is to how many instances a change is sent at once; each of them relays it
	// to a part of the others. Sending a configuration to a few dozen instances would
	// saturate the link of one.
	fanout = 4
	// maxLateUpdates is how many instances are updated again in one message round.
	maxLateUpdates = 8
	// resendInterval is the delay after which an update is sent again to an instance
	// that does not show it: the message was lost, the instance restarted, or the
	// instance that should have relayed it is frozen.
	resendInterval = 600 * time.Millisecond
	// unaskedUpdateDelay is the delay after which an instance that lacks a change is
	// updated by instances other than the one that read it, which may have died.
	unaskedUpdateDelay = time.Second
	// maxUpdaters is how many instances update one lagging instance unasked; more would
	// only send the same again.
	maxUpdaters = 2
)

// sentUpdate records the update of a table that was sent to an instance.
type sentUpdate struct {
	version spec.Revision
	sentAt  time.Duration
}

// claimChanges makes this instance responsible for updating all others with a change
// that it just read from the store, if no other instance knows it yet. changed is the
// version of the last change of each table. An instance that reads later finds others
// that know the change, and one of them has taken the responsibility.
func (l *Logic) claimChanges(changed map[string]spec.Revision, checkpoints map[string]feed.Checkpoint) {
	for name, version := range changed {
		known := l.isKnownElsewhere(name, version, checkpoints[name])
		for _, p := range l.peersByID() {
			// Members get it from their primary head only, whoever else knows it.
			if !known || l.isMember(p) {
				p.assignedVersions[name] = checkpoints[name].Version
			}
		}
	}
}

// isHeadFor reports whether this instance is a head of the cell in which another one is
// a plain member.
func (l *Logic) isHeadFor(p *peer) bool {
	return !l.layout.isFlat() && l.isHead() && l.inCell(p.id) && !l.isHeadOf(p.id)
}

// isMember reports whether another instance gets its updates from this one.
func (l *Logic) isMember(p *peer) bool { return l.isHeadFor(p) && l.isPrimary(p.id) }

// handleTables applies rows from another instance and schedules updates to the
// instances that depend on this one for them.
func (l *Logic) handleTables(from *peer, tables []Table) {
	if len(tables) == 0 {
		return
	}
	checkpoints := l.Local.Checkpoints()
	for _, t := range tables {
		before := checkpoints[t.Name]
		if err := t.unpack(); err != nil {
			// Rows of a faulty sender are not applied. This instance then lags behind and reads the store.
			continue
		}
		l.Receiver.ReceiveRows(t.Name, t.Since, t.Rows, feed.Checkpoint{Version: t.Version, Digest: t.Digest}, from.id)
		checkpoints = l.Local.Checkpoints()
		if len(t.RelayTo) > 0 {
			l.acceptRelay(t, checkpoints)
		}
		if checkpoints[t.Name].Digest != before.Digest {
			l.forwardChange(from, t.Name, checkpoints[t.Name].Version)
		}
	}
}

// forwardChange makes a head update its members with a change, and also the heads of
// other cells if the change came from one of its members.
func (l *Logic) forwardChange(from *peer, table string, version spec.Revision) {
	if l.layout.isFlat() || !l.isHead() {
		return
	}
	fromMember := l.inCell(from.id) && !l.isHeadOf(from.id)
	for _, p := range l.peersByID() {
		if p != from && (fromMember || l.isMember(p)) {
			p.assignedVersions[table] = version
			l.relayPending = true
		}
	}
}

// isKnownElsewhere reports whether another instance knows a change and has the same
// content of the table. An equal digest at a version from before the change proves
// nothing, since the content may have changed by now.
func (l *Logic) isKnownElsewhere(table string, version spec.Revision, local feed.Checkpoint) bool {
	for _, p := range l.peersByID() {
		if remote, ok := p.checkpoints[table]; ok && p.alive && remote.Digest == local.Digest && remote.Version >= version {
			return true
		}
	}
	return false
}

// acceptRelay takes over updating other instances.
func (l *Logic) acceptRelay(t Table, checkpoints map[string]feed.Checkpoint) {
	if checkpoints[t.Name].Digest != t.Digest {
		// The update did not fit the local content. The instance that asked for the
		// relay updates those instances again.
		return
	}
	for _, id := range t.RelayTo {
		if id != l.ID {
			l.ensurePeer(id).assignedVersions[t.Name] = t.Version
			l.relayPending = true
		}
	}
}

// tablesToSend returns the table updates that are due for other instances. A change
// spreads over a tree whose root is the instance that read it. Each instance that
// receives it relays it, so all live instances are reached.
func (l *Logic) tablesToSend(now time.Duration, checkpoints map[string]feed.Checkpoint) map[spec.InstanceID][]Table {
	out := map[spec.InstanceID][]Table{}
	for _, name := range slices.Sorted(maps.Keys(checkpoints)) {
		due, overdue := l.peersToUpdate(now, name, checkpoints[name])
		due, direct := l.splitByRelay(due)
		for _, p := range direct {
			out[p.id] = append(out[p.id], l.tableFor(now, p, name, checkpoints[name]))
		}
		for _, group := range splitEvenly(due, fanout) {
			relay := slices.MaxFunc(group, byFitness)
			t := l.tableFor(now, relay, name, checkpoints[name])
			for _, p := range group {
				if p != relay {
					t.RelayTo = append(t.RelayTo, p.id)
				}
				p.sentUpdates[name] = sentUpdate{version: t.Version, sentAt: now}
			}
			out[relay.id] = append(out[relay.id], t)
		}
		for _, p := range overdue[:min(len(overdue), maxLateUpdates)] {
			out[p.id] = append(out[p.id], l.tableFor(now, p, name, checkpoints[name]))
		}
	}
	return out
}

// splitByRelay splits instances into those that can relay to each other, and those that
// this one has to update directly.
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

// byFitness orders instances by whether they are constrained, then by their last message. The
// instance with the latest one relays changes: a frozen or just ended instance sends nothing, and
// those that depend on it would wait until they are updated again.
func byFitness(a, b *peer) int {
	if a.isConstrained != b.isConstrained {
		if a.isConstrained {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.lastSeen, b.lastSeen)
}

// peersToUpdate returns the instances that have to be updated for a table. For due
// ones, neither this instance nor one that it asked to relay has sent the last change
// yet. Overdue ones should know it by now.
func (l *Logic) peersToUpdate(now time.Duration, name string, local feed.Checkpoint) (due, overdue []*peer) {
	for _, p := range l.peersByID() {
		if l.wantsTable(now, p, name, local) {
			overdue = append(overdue, p)
			continue
		}
		if !p.isBehind(now, name, local) || !p.alive || p.url == "" {
			continue
		}
		remote, sent, assigned := p.checkpoints[name], p.sentUpdates[name], p.assignedVersions[name]
		switch {
		case assigned > max(remote.Version, sent.version):
			due = append(due, p)
		case sent.version > 0 && now-sent.sentAt < resendInterval:
		case assigned > remote.Version, now-p.behindSince[name] >= updateDelay(remote) && l.isUpdaterOf(p, name, local):
			overdue = append(overdue, p)
		}
	}
	return due, overdue
}

// wantsTable reports whether this instance has to send a table to a peer that starts: the peer holds
// something else, however late its version, since the store may have been restored before it read it.
func (l *Logic) wantsTable(now time.Duration, p *peer, name string, local feed.Checkpoint) bool {
	remote, ok := p.checkpoints[name]
	if !p.isStarting || l.isStarting() || local.Version == 0 || !ok || !p.alive || p.url == "" || remote.Digest == local.Digest {
		return false
	}
	sent := p.sentUpdates[name]
	return (sent.version == 0 || now-sent.sentAt >= resendInterval) && l.isUpdaterOf(p, name, local)
}

// isBehind reports whether a peer lags behind this instance in a table, and records
// since when.
func (p *peer) isBehind(now time.Duration, name string, local feed.Checkpoint) bool {
	remote, ok := p.checkpoints[name]
	if !ok || remote.Version >= local.Version || remote.Digest == local.Digest {
		delete(p.behindSince, name)
		return false
	}
	if _, ok := p.behindSince[name]; !ok {
		p.behindSince[name] = now
	}
	return true
}

// updateDelay returns how long an instance may lag behind before others update it
// unasked. An instance that knows nothing has just started and may not reach the store.
// It is updated as soon as the instances that know the table have reported it to each
// other.
func updateDelay(remote feed.Checkpoint) time.Duration {
	if remote.Version == 0 {
		return roundInterval
	}
	return unaskedUpdateDelay
}

// tableFor returns what a peer lacks of a table: the changes since the version that it
// reported. Updates sent to it later may never have arrived.
func (l *Logic) tableFor(now time.Duration, p *peer, name string, local feed.Checkpoint) Table {
	since, sent := p.checkpoints[name].Version, p.sentUpdates[name]
	if p.isStarting || sent.version > since && now-sent.sentAt >= resendInterval {
		// A change that was reverted before this instance read the store is not among
		// the changes: only the whole table helps.
		since = 0
	}
	since, page := l.Local.ChangesSince(name, since)
	p.sentUpdates[name] = sentUpdate{version: local.Version, sentAt: now}
	t := Table{Name: name, Since: since, Version: local.Version, Digest: local.Digest, Rows: page.Rows}
	if p.isConstrained {
		l.pack(&t)
	}
	return t
}

// isUpdaterOf reports whether this instance is among the instances with the same
// content that have to update p.
func (l *Logic) isUpdaterOf(p *peer, name string, local feed.Checkpoint) bool {
	ids := []spec.InstanceID{l.ID}
	for _, other := range l.peersByID() {
		if other.alive && other.checkpoints[name].Digest == local.Digest && l.exchangesWith(other, p) {
			ids = append(ids, other.id)
		}
	}
	return slices.Contains(l.rankByCapacity(string(p.id), ids, maxUpdaters), l.ID)
}

// exchangesWith reports whether another instance exchanges messages with p.
func (l *Logic) exchangesWith(other, p *peer) bool {
	if l.layout.isFlat() {
		return true
	}
	sameCell := l.layout.cellByID[other.id] == l.layout.cellByID[p.id]
	return l.isHeadOf(other.id) && (sameCell || l.isHeadOf(p.id)) || sameCell && l.isHeadOf(p.id)
}

// splitEvenly splits instances into n groups of about the same size, or fewer groups if
// there are fewer instances.
func splitEvenly(all []*peer, n int) [][]*peer {
	var out [][]*peer
	for k := range min(n, len(all)) {
		out = append(out, all[k*len(all)/min(n, len(all)):(k+1)*len(all)/min(n, len(all))])
	}
	return out
}
