package node

import (
	"time"

	"fulmarwick/internal/base/news"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/gossip"
	"fulmarwick/internal/fleet/talk"
)

// heard takes a message from another instance. The transport vouches for who
// sent it.
func (l *Logic) heard(ev Heard) {
	l.stats.Heard++
	l.stats.HeardBytes += uint64(len(ev.Data))
	m, err := talk.Decode(ev.Data)
	if err != nil || ev.From == l.Self.ID {
		l.stats.Bad++
		return
	}
	l.noteHeard(ev.From)
	for _, rec := range m.Records {
		l.members.Learn(l.now, rec)
	}
	l.noteChanges()
	for i := range m.Blocks {
		l.take(ev.From, &m.Blocks[i])
	}
	if m.Share != nil && l.near(ev.From) {
		l.share.sums.Take(l.now, ev.From, *m.Share)
	}
	l.acked(ev.From, m)
	l.called(ev.From, m)
}

func (l *Logic) noteHeard(id spec.InstanceID) {
	if l.calls.heard == nil {
		l.calls.heard = map[spec.InstanceID]time.Duration{}
	}
	l.calls.heard[id] = l.now
	if rec, ok := l.members.Get(id); ok && rec.DataCentre != l.Self.DataCentre {
		l.remotes.heardFrom(rec.DataCentre, l.now)
	}
}

// called answers a call.
func (l *Logic) called(from spec.InstanceID, m *talk.Message) {
	switch {
	case m.Call == 0:
	case m.Target != "":
		l.relay(m.Target, from, m.Call)
	case !m.Digest:
		l.answer(from).Ack = m.Call
	default:
		if l.near(from) {
			l.meets.called(from, l.now)
		}
		l.answerExchange(from, m)
	}
}

// answerExchange gives what the caller lacks and asks for what it has more.
func (l *Logic) answerExchange(from spec.InstanceID, m *talk.Message) {
	out := l.answer(from)
	out.Ack = m.Call
	out.Ready = l.join.ready
	records, all := l.members.Differ(m.Sums, mostRecords, l.turn())
	if len(records) > 0 {
		out.Records = append(out.Records, records...)
		out.Sums = l.members.Sums()
	}
	scope := l.scope(from)
	blocks, whole := l.items.Delta(l.now, scope, m.Marks, l.budget.delta(), l.turn())
	out.Blocks = append(out.Blocks, blocks...)
	out.Wants = l.items.Wants(m.Marks)
	out.Whole = whole && all
}

// acked takes the answer to an own call.
func (l *Logic) acked(from spec.InstanceID, m *talk.Message) {
	if m.Ack != 0 {
		if c := l.answered(m.Ack); c != nil && c.to == from {
			l.join.answered(l, from, c, m)
			if c.bye {
				l.drain.Heard(l.now, from)
			}
		}
	}
	if len(m.Wants) > 0 {
		blocks, _ := l.items.Answer(l.now, m.Wants, l.budget.delta(), l.turn())
		if len(blocks) > 0 {
			out := l.to(from)
			out.Blocks = append(out.Blocks, blocks...)
		}
	}
	// The answer to a call carries sums only if the tables differ.
	if m.Ack != 0 && len(m.Sums) > 0 {
		if records, _ := l.members.Differ(m.Sums, mostRecords, l.turn()); len(records) > 0 {
			out := l.to(from)
			out.Records = append(out.Records, records...)
		}
	}
}

// turn picks the stream to begin with, so that a small budget serves all.
func (l *Logic) turn() int { return l.Rand.IntN(1 << 16) }

// take takes a block of items and hands on what is new.
func (l *Logic) take(from spec.InstanceID, b *talk.Block) {
	if b.Scope == news.ScopeCentre && !l.near(from) {
		return
	}
	l.noteBirth(b)
	rec, known := l.members.Get(b.Origin)
	for _, item := range l.items.Take(l.now, b) {
		gone := known && (rec.State == talk.StateDead || rec.State == talk.StateLeft)
		if gone && gossip.Mortal(item.Kind) {
			continue
		}
		l.deliver(item)
		if gossip.Urgent(item.Kind) {
			l.push.item(item, from)
		}
	}
}

// noteBirth learns of a restart from the items of the new self, so that what
// the former self told is forgotten before they are handed on.
func (l *Logic) noteBirth(b *talk.Block) {
	rec, ok := l.members.Get(b.Origin)
	if !ok || b.Born <= rec.Born || b.Origin == l.Self.ID {
		return
	}
	rec.Born = b.Born
	rec.Inc = 0
	rec.State = talk.StateAlive
	rec.Passive = true
	rec.By = ""
	l.members.Learn(l.now, rec)
	l.noteChanges()
}

// deliver hands an item of another instance to whom it concerns.
func (l *Logic) deliver(item news.Item) {
	switch item.Kind {
	case news.KindLoads:
		l.takeLoads(item)
	case news.KindRates:
		l.takeRates(item)
	case news.KindReach:
	default:
		l.emit(Deliver{Item: item})
	}
}
