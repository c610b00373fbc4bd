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

// event is what was found once and is told once, on its way through a head.
type event struct {
	from    *peer
	dead    []spec.UpstreamID
	crashes []crash.Death
}

// passOn keeps what an instance found for those that hear of it through this head:
// what a member found for all, what another cell found for its own members. Of the
// heads that hear of it one passes it on.
func (l *Logic) passOn(p *peer, m Message) {
	if l.layout.isFlat() || !l.isHead() || len(m.Dead)+len(m.Crashes) == 0 {
		return
	}
	if l.inCell(p.id) && (l.isHeadOf(p.id) || !l.isPrimary(p.id)) {
		return
	}
	l.passing = append(l.passing, event{from: p, dead: m.Dead, crashes: m.Crashes})
}

// concerns reports whether an event is passed on to an instance.
func (l *Logic) concerns(ev event, p *peer) bool {
	switch {
	case ev.from == p:
		return false
	case l.inCell(ev.from.id):
		// The other head of the cell was told by the member as well.
		return !l.inCell(p.id) || !l.isHeadOf(p.id)
	}
	return l.isMember(p)
}

// tell is a message to each instance that this one exchanges messages with, with
// what it lacks.
func (l *Logic) tell(now time.Duration) []node.Command {
	marks := l.Self.Marks()
	d := l.draft(now, marks)
	dead, crashes := l.Self.Fresh()
	tables := l.spread(now, marks)
	passing := l.passing
	l.passing = nil
	var out []node.Command
	for _, p := range l.sorted() {
		partner, asks := l.isPartner(p.id), p.alive && p.asks
		if p.url == "" || !partner && !asks {
			continue
		}
		scope := l.scope(p)
		sum := scope == ScopeCell || scope == ScopeAll
		if sum && now < p.sumDue {
			scope, sum = ScopeNone, false
		}
		m := d.message(scope, p)
		m.Reply = !partner
		m.Dead, m.Crashes, m.Tables, m.Roster = dead, crashes, tables[p.id], l.roster(now, p)
		for _, ev := range passing {
			if l.concerns(ev, p) {
				m.Dead, m.Crashes = slices.Concat(m.Dead, ev.dead), slices.Concat(m.Crashes, ev.crashes)
			}
		}
		data := d.encode(m, p)
		if sum {
			l.summed(now, p, len(data))
		}
		out = append(out, node.Send{To: p.id, URL: p.url, Data: data})
	}
	return out
}

// pass tells those that this instance was asked to tell, before the next beat.
func (l *Logic) pass(now time.Duration) []node.Command {
	marks := l.Self.Marks()
	d := l.draft(now, marks)
	var out []node.Command
	for id, tables := range l.spread(now, marks) {
		p := l.peers[id]
		m := d.message(ScopeNone, p)
		if l.layout.isFlat() {
			m = d.message(ScopeOwn, p)
		}
		m.Tables, m.Reply = tables, !l.isPartner(id)
		out = append(out, node.Send{To: id, URL: p.url, Data: encode(m)})
	}
	return out
}

// scope is what of the load another instance is told. A head in its own cell is told
// by all members themselves.
func (l *Logic) scope(p *peer) Scope {
	switch {
	case l.layout.isFlat(), !l.isHead() && l.inCell(p.id), l.inCell(p.id) && l.isHeadOf(p.id):
		return ScopeOwn
	case !l.isHead() || !l.isPrimary(p.id):
		return ScopeNone
	case l.inCell(p.id):
		return ScopeAll
	}
	return ScopeCell
}

// draft is what the messages of one round have in common.
type draft struct {
	logic *Logic
	plain Message
	// own, cell and all are the loads, worked out as far as they are asked for.
	own, cell   *load
	all         load
	near, total int
	encoded     map[kind][]byte
}

// kind is what the messages of one round differ by that tell no news.
type kind struct {
	scope Scope
	age   int64
}

func (l *Logic) draft(now time.Duration, marks map[string]feed.Mark) *draft {
	m := Message{
		URL: l.URL, DataCentre: l.DataCentre, Versions: map[string]uint64{}, Digests: map[string]uint64{},
		Age: l.Self.Age().Milliseconds(), Known: l.digest(),
	}
	for name, mark := range marks {
		m.Versions[name], m.Digests[name] = mark.Version, mark.Digest
	}
	if !l.layout.isFlat() {
		m.Cell, m.Head = l.layout.mine.name, l.isHead()
	}
	return &draft{logic: l, plain: m, near: l.near(now), total: l.instances(now), encoded: map[kind][]byte{}}
}

// message is one of a scope, without what is told once.
func (d *draft) message(scope Scope, p *peer) Message {
	m := d.plain
	m.Scope, m.Count = scope, d.near
	var told load
	switch scope {
	case ScopeOwn:
		told = *d.mine()
	case ScopeCell:
		d.sumUp()
		told = *d.cell
	case ScopeAll:
		d.sumUp()
		told, m.Count = d.all.without(p.load), d.total
	}
	m.Uses, m.Paces, m.Repeats = told.uses, told.paces, told.repeats
	if d.logic.leads(p) {
		m.Age = d.logic.freshest(m.Age)
	}
	return m
}

// mine is the load of this instance, worked out once.
func (d *draft) mine() *load {
	if d.own == nil {
		own := d.logic.own()
		d.own = &own
	}
	return d.own
}

// sumUp works out the sums once.
func (d *draft) sumUp() {
	if d.cell == nil {
		cell := d.logic.cellSum(*d.mine())
		d.cell, d.all = &cell, d.logic.total(cell)
	}
}

// encode returns the bytes of a message. Those that differ by nothing but their
// receiver are encoded once.
func (d *draft) encode(m Message, p *peer) []byte {
	if p.former {
		return encode(m.blind())
	}
	if len(m.Dead)+len(m.Crashes)+len(m.Tables)+len(m.Roster) > 0 || m.Scope == ScopeAll || m.Reply {
		return encode(m)
	}
	k := kind{scope: m.Scope, age: m.Age}
	if d.encoded[k] == nil {
		d.encoded[k] = encode(m)
	}
	return d.encoded[k]
}

// freshest is how long ago the store last told this instance or another head of all
// tables, in milliseconds; negative if never. Members hear of other heads by it.
func (l *Logic) freshest(age int64) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.read < 0 {
		return age
	}
	other := (l.Now().Sub(l.start) - l.read).Milliseconds()
	if age < 0 {
		return other
	}
	return min(age, other)
}

// blind is the message for an instance that does not show what it holds: it is
// told nothing, so it must not leave reading to this one.
func (m Message) blind() Message {
	m.Age, m.Tables = -1, nil
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
