package mesh

import (
	"slices"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/node"
	"fulmarwick/internal/route/crash"
	"fulmarwick/internal/state/feed"

	"github.com/fxamacker/cbor/v2"
)

// failures are failure reports that are found once and sent once, on their way through
// a head.
type failures struct {
	from    *peer
	silent  []spec.UpstreamID
	crashes []crash.Event
}

// queueFailures keeps the failures reported by a peer for the instances that get them
// through this head: failures found by a member for all, those found by another cell
// for the head's own members. Of the heads that receive a report one passes it on.
func (l *Logic) queueFailures(p *peer, m Message) {
	if l.layout.isFlat() || !l.isHead() || len(m.Silent)+len(m.Crashes) == 0 {
		return
	}
	if l.inCell(p.id) && (l.isHeadOf(p.id) || !l.isPrimary(p.id)) {
		return
	}
	l.failuresToForward = append(l.failuresToForward, failures{from: p, silent: m.Silent, crashes: m.Crashes})
}

// shouldForward reports whether a failure report is passed on to an instance.
func (l *Logic) shouldForward(ev failures, p *peer) bool {
	switch {
	case ev.from == p:
		return false
	case l.inCell(ev.from.id):
		// The other head of the cell got the report from the member as well.
		return !l.inCell(p.id) || !l.isHeadOf(p.id)
	}
	return l.isMember(p)
}

// sendRound returns a message to each instance with which this one exchanges messages,
// with the updates that it lacks.
func (l *Logic) sendRound(now time.Duration) []node.Command {
	checkpoints := l.Local.Checkpoints()
	d := l.newRound(now, checkpoints)
	silent, crashes := l.Local.TakeFailures()
	tables := l.tablesToSend(now, checkpoints)
	known := l.knownForJoined(now)
	forwarded := l.failuresToForward
	l.failuresToForward = nil
	var out []node.Command
	for _, p := range l.peersByID() {
		partner, initiates := l.isPartner(p.id), p.alive && p.initiates
		if p.url == "" || !partner && !initiates {
			continue
		}
		scope := l.loadScope(p)
		paced := l.isPaced(scope, p)
		if paced && now < p.nextLoadAt {
			scope, paced = ScopeNone, false
		}
		m := d.message(scope, p)
		m.Reply = !partner
		m.Silent, m.Crashes, m.Known, m.Tables, m.Roster = silent, crashes, known[p.id], tables[p.id], l.rosterFor(now, p)
		for _, ev := range forwarded {
			if l.shouldForward(ev, p) {
				m.Silent, m.Crashes = slices.Concat(m.Silent, ev.silent), slices.Concat(m.Crashes, ev.crashes)
			}
		}
		data := d.encode(m, p)
		if paced {
			l.scheduleNextLoad(now, p, scope, len(data))
		}
		out = append(out, node.Send{To: p.id, URL: p.url, Data: data})
	}
	return out
}

// sendRelayed returns the updates that this instance was asked to relay, before the
// next round.
func (l *Logic) sendRelayed(now time.Duration) []node.Command {
	checkpoints := l.Local.Checkpoints()
	d := l.newRound(now, checkpoints)
	var out []node.Command
	for id, tables := range l.tablesToSend(now, checkpoints) {
		p := l.peers[id]
		m := d.message(ScopeNone, p)
		if l.layout.isFlat() {
			m = d.message(ScopeSender, p)
		}
		m.Tables, m.Reply = tables, !l.isPartner(id)
		out = append(out, node.Send{To: id, URL: p.url, Data: encode(m)})
	}
	return out
}

// loadScope returns which load is sent to a peer. A head gets the load of its own cell
// from the members themselves.
func (l *Logic) loadScope(p *peer) Scope {
	switch {
	case l.layout.isFlat(), !l.isHead() && l.inCell(p.id), l.inCell(p.id) && l.isHeadOf(p.id):
		return ScopeSender
	case !l.isHead() || !l.isPrimary(p.id):
		return ScopeNone
	case l.inCell(p.id):
		return ScopeAllButReceiver
	}
	return ScopeCell
}

// round is what the messages of one round have in common.
type round struct {
	logic *Logic
	base  Message
	// localLoad, cellLoad and fleetLoad are computed when they are first needed.
	localLoad, cellLoad     *load
	fleetLoad               load
	nearbyCount, fleetCount int
	encoded                 map[encodingKey][]byte
}

// encodingKey is how the messages of one round differ if they carry no updates,
// failures or roster.
type encodingKey struct {
	scope     Scope
	syncAgeMs int64
}

func (l *Logic) newRound(now time.Duration, checkpoints map[string]feed.Checkpoint) *round {
	m := Message{
		LinksLost: l.hasLostLinks(), TakesRequests: l.TakesRequests != nil && l.TakesRequests(), Starting: l.isStarting(), Constrained: l.Constrained,
		URL: l.URL, DataCentre: l.DataCentre, Versions: map[string]spec.Revision{}, Digests: map[string]uint64{},
		SyncAgeMs: l.Local.SyncAge().Milliseconds(), RosterDigest: l.digest(), RateLimits: l.Local.RateLimits(),
	}
	for name, checkpoint := range checkpoints {
		m.Versions[name], m.Digests[name] = checkpoint.Version, checkpoint.Digest
	}
	if !l.layout.isFlat() {
		m.Cell, m.Head = l.layout.local.name, l.isHead()
	}
	return &round{logic: l, base: m, nearbyCount: l.countNearby(now), fleetCount: l.countInstances(now), encoded: map[encodingKey][]byte{}}
}

// message returns a message of a scope, without the parts that are sent only once.
func (d *round) message(scope Scope, p *peer) Message {
	m := d.base
	m.Scope, m.Count = scope, d.nearbyCount
	var sent load
	switch scope {
	case ScopeSender:
		sent = *d.local()
	case ScopeCell:
		d.computeSums()
		sent = *d.cellLoad
	case ScopeAllButReceiver:
		d.computeSums()
		sent, m.Count = d.fleetLoad.without(p.load), d.fleetCount
	}
	m.Usage, m.Slowdowns, m.Retries, m.Teams = sent.usage, sent.slowdowns, sent.retries, sent.teams
	if scope == ScopeNone && d.logic.layout.isFlat() {
		// The pool of the retry budget counts on a report in each round.
		m.Retries = d.local().retries
	}
	if d.logic.isHeadFor(p) {
		m.SyncAgeMs = d.logic.lowestSyncAgeMs(m.SyncAgeMs)
	}
	return m
}

// local returns the load of this instance, computed once.
func (d *round) local() *load {
	if d.localLoad == nil {
		local := d.logic.localLoad()
		d.localLoad = &local
	}
	return d.localLoad
}

// computeSums computes the sums once.
func (d *round) computeSums() {
	if d.cellLoad == nil {
		cell := d.logic.cellLoad(*d.local())
		d.cellLoad, d.fleetLoad = &cell, d.logic.fleetLoad(cell)
	}
}

// encode returns the encoding of a message. Messages that differ only by their receiver
// are encoded once.
func (d *round) encode(m Message, p *peer) []byte {
	if p.isFormerVersion {
		return encode(m.withoutTables())
	}
	if len(m.Silent)+len(m.Crashes)+len(m.Known)+len(m.Tables)+len(m.Roster) > 0 || m.Scope == ScopeAllButReceiver || m.Reply {
		return encode(m)
	}
	k := encodingKey{scope: m.Scope, syncAgeMs: m.SyncAgeMs}
	if d.encoded[k] == nil {
		d.encoded[k] = encode(m)
	}
	return d.encoded[k]
}

// lowestSyncAgeMs returns how long ago this instance or another head was last in sync
// with the store for all tables, in milliseconds; negative if never. Members learn
// about other heads by it.
func (l *Logic) lowestSyncAgeMs(age int64) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lastSync < 0 {
		return age
	}
	otherAge := (l.Now().Sub(l.start) - l.lastSync).Milliseconds()
	if age < 0 {
		return otherAge
	}
	return min(age, otherAge)
}

// withoutTables returns the message for an instance that does not send digests: no
// tables are sent to it, so it must not rely on this instance for reading the store.
func (m Message) withoutTables() Message {
	m.SyncAgeMs, m.Tables = -1, nil
	return m
}

func encode(m Message) []byte {
	data, err := cbor.Marshal(m)
	if err != nil {
		// The message has no field that can fail to encode.
		panic(err)
	}
	return data
}
