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

// failures is what was found once and is told once, on its way through a head.
type failures struct {
	from    *peer
	dead    []spec.UpstreamID
	crashes []crash.Event
}

// queueFailures keeps what an instance found for those that hear of it through this head:
// what a member found for all, what another cell found for its own members. Of the
// heads that hear of it one passes it on.
func (l *Logic) queueFailures(p *peer, m Message) {
	if l.layout.isFlat() || !l.isHead() || len(m.Dead)+len(m.Crashes) == 0 {
		return
	}
	if l.inCell(p.id) && (l.isHeadOf(p.id) || !l.isPrimary(p.id)) {
		return
	}
	l.failuresToForward = append(l.failuresToForward, failures{from: p, dead: m.Dead, crashes: m.Crashes})
}

// shouldForward reports whether an event is passed on to an instance.
func (l *Logic) shouldForward(ev failures, p *peer) bool {
	switch {
	case ev.from == p:
		return false
	case l.inCell(ev.from.id):
		// The other head of the cell was told by the member as well.
		return !l.inCell(p.id) || !l.isHeadOf(p.id)
	}
	return l.isMember(p)
}

// sendRound is a message to each instance that this one exchanges messages with, with
// what it lacks.
func (l *Logic) sendRound(now time.Duration) []node.Command {
	marks := l.Local.Checkpoints()
	d := l.newRound(now, marks)
	dead, crashes := l.Local.TakeFailures()
	tables := l.tablesToSend(now, marks)
	passing := l.failuresToForward
	l.failuresToForward = nil
	var out []node.Command
	for _, p := range l.peersByID() {
		partner, asks := l.isPartner(p.id), p.alive && p.initiates
		if p.url == "" || !partner && !asks {
			continue
		}
		scope := l.loadScope(p)
		sum := scope == ScopeCell || scope == ScopeAllButReceiver
		if sum && now < p.nextSumAt {
			scope, sum = ScopeNone, false
		}
		m := d.message(scope, p)
		m.Reply = !partner
		m.Dead, m.Crashes, m.Tables, m.Roster = dead, crashes, tables[p.id], l.rosterFor(now, p)
		for _, ev := range passing {
			if l.shouldForward(ev, p) {
				m.Dead, m.Crashes = slices.Concat(m.Dead, ev.dead), slices.Concat(m.Crashes, ev.crashes)
			}
		}
		data := d.encode(m, p)
		if sum {
			l.scheduleNextSum(now, p, len(data))
		}
		out = append(out, node.Send{To: p.id, URL: p.url, Data: data})
	}
	return out
}

// sendRelayed tells those that this instance was asked to tell, before the next beat.
func (l *Logic) sendRelayed(now time.Duration) []node.Command {
	marks := l.Local.Checkpoints()
	d := l.newRound(now, marks)
	var out []node.Command
	for id, tables := range l.tablesToSend(now, marks) {
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

// loadScope is what of the load another instance is told. A head in its own cell is told
// by all members themselves.
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
	// own, cell and all are the loads, worked out as far as they are asked for.
	localLoad, cellLoad     *load
	fleetLoad               load
	nearbyCount, fleetCount int
	encoded                 map[encodingKey][]byte
}

// encodingKey is what the messages of one round differ by that tell no news.
type encodingKey struct {
	scope     Scope
	syncAgeMs int64
}

func (l *Logic) newRound(now time.Duration, marks map[string]feed.Checkpoint) *round {
	m := Message{
		URL: l.URL, DataCentre: l.DataCentre, Versions: map[string]uint64{}, Digests: map[string]uint64{},
		SyncAgeMs: l.Local.SyncAge().Milliseconds(), RosterDigest: l.digest(),
	}
	for name, mark := range marks {
		m.Versions[name], m.Digests[name] = mark.Version, mark.Digest
	}
	if !l.layout.isFlat() {
		m.Cell, m.Head = l.layout.local.name, l.isHead()
	}
	return &round{logic: l, base: m, nearbyCount: l.countNearby(now), fleetCount: l.countInstances(now), encoded: map[encodingKey][]byte{}}
}

// message is one of a scope, without what is told once.
func (d *round) message(scope Scope, p *peer) Message {
	m := d.base
	m.Scope, m.Count = scope, d.nearbyCount
	var told load
	switch scope {
	case ScopeSender:
		told = *d.local()
	case ScopeCell:
		d.computeSums()
		told = *d.cellLoad
	case ScopeAllButReceiver:
		d.computeSums()
		told, m.Count = d.fleetLoad.without(p.load), d.fleetCount
	}
	m.Usage, m.Slowdowns, m.Retries = told.usage, told.slowdowns, told.retries
	if d.logic.isHeadFor(p) {
		m.SyncAgeMs = d.logic.lowestSyncAgeMs(m.SyncAgeMs)
	}
	return m
}

// local is the load of this instance, worked out once.
func (d *round) local() *load {
	if d.localLoad == nil {
		own := d.logic.localLoad()
		d.localLoad = &own
	}
	return d.localLoad
}

// computeSums works out the sums once.
func (d *round) computeSums() {
	if d.cellLoad == nil {
		cell := d.logic.cellLoad(*d.local())
		d.cellLoad, d.fleetLoad = &cell, d.logic.fleetLoad(cell)
	}
}

// encode returns the bytes of a message. Those that differ by nothing but their
// receiver are encoded once.
func (d *round) encode(m Message, p *peer) []byte {
	if p.isFormerVersion {
		return encode(m.withoutTables())
	}
	if len(m.Dead)+len(m.Crashes)+len(m.Tables)+len(m.Roster) > 0 || m.Scope == ScopeAllButReceiver || m.Reply {
		return encode(m)
	}
	k := encodingKey{scope: m.Scope, syncAgeMs: m.SyncAgeMs}
	if d.encoded[k] == nil {
		d.encoded[k] = encode(m)
	}
	return d.encoded[k]
}

// lowestSyncAgeMs is how long ago the store last told this instance or another head of all
// tables, in milliseconds; negative if never. Members hear of other heads by it.
func (l *Logic) lowestSyncAgeMs(age int64) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lastSync < 0 {
		return age
	}
	other := (l.Now().Sub(l.start) - l.lastSync).Milliseconds()
	if age < 0 {
		return other
	}
	return min(age, other)
}

// withoutTables is the message for an instance that does not show what it holds: it is
// told nothing, so it must not leave reading to this one.
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
