package node

import (
	"time"

	"fulmarwick/internal/base/news"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/gossip"
	"fulmarwick/internal/fleet/proto"
)

// handleMessage takes a message from another instance. The transport vouches for who
// sent it.
func (l *Logic) handleMessage(ev Received) {
	l.stats.Received++
	l.stats.ReceivedBytes += uint64(len(ev.Data))
	m, err := proto.Decode(ev.Data)
	if err != nil || ev.From == l.Local.ID {
		l.stats.Malformed++
		return
	}
	l.recordContact(ev.From)
	for _, rec := range m.Records {
		l.members.ApplyRecord(l.now, rec)
	}
	l.handleMemberChanges()
	for i := range m.Blocks {
		l.applyBlock(ev.From, &m.Blocks[i])
	}
	if m.Share != nil && l.inLocalCentre(ev.From) {
		l.shares.aggregator.SetShare(l.now, ev.From, *m.Share)
	}
	l.handleAck(ev.From, m)
	l.handleCall(ev.From, m)
}

func (l *Logic) recordContact(id spec.InstanceID) {
	if l.calls.lastSeen == nil {
		l.calls.lastSeen = map[spec.InstanceID]time.Duration{}
	}
	l.calls.lastSeen[id] = l.now
	if rec, ok := l.members.Get(id); ok && rec.DataCentre != l.Local.DataCentre {
		l.remoteCentres.recordContact(rec.DataCentre, l.now)
	}
}

// handleCall answers a call.
func (l *Logic) handleCall(from spec.InstanceID, m *proto.Message) {
	switch {
	case m.CallID == 0:
	case m.ProbeTarget != "":
		l.probeFor(m.ProbeTarget, from, m.CallID)
	case !m.HasDigest:
		l.messageForAck(from).AckID = m.CallID
	default:
		if l.inLocalCentre(from) {
			l.exchanges.recordCaller(from, l.now)
		}
		l.replyToExchange(from, m)
	}
}

// replyToExchange gives what the caller lacks and asks for what it has more.
func (l *Logic) replyToExchange(from spec.InstanceID, m *proto.Message) {
	out := l.messageForAck(from)
	out.AckID = m.CallID
	out.Ready = l.join.ready
	records, all := l.members.DifferingRecords(m.Checksums, maxRecordBytes, l.randomStart())
	if len(records) > 0 {
		out.Records = append(out.Records, records...)
		out.Checksums = l.members.Checksums()
	}
	scope := l.scope(from)
	blocks, whole := l.items.Delta(l.now, scope, m.Watermarks, l.budget.deltaLimit(), l.randomStart())
	out.Blocks = append(out.Blocks, blocks...)
	out.Wants = l.items.Wants(m.Watermarks)
	out.Complete = whole && all
}

// handleAck takes the answer to an own call.
func (l *Logic) handleAck(from spec.InstanceID, m *proto.Message) {
	if m.AckID != 0 {
		if c := l.completeCall(m.AckID); c != nil && c.to == from {
			l.join.handleAnswer(l, from, c, m)
			if c.announcesStop {
				l.drain.RecordAck(l.now, from)
			}
		}
	}
	if len(m.Wants) > 0 {
		blocks, _ := l.items.DeltaSince(l.now, m.Wants, l.budget.deltaLimit(), l.randomStart())
		if len(blocks) > 0 {
			out := l.messageFor(from)
			out.Blocks = append(out.Blocks, blocks...)
		}
	}
	// The answer to a call carries sums only if the tables differ.
	if m.AckID != 0 && len(m.Checksums) > 0 {
		if records, _ := l.members.DifferingRecords(m.Checksums, maxRecordBytes, l.randomStart()); len(records) > 0 {
			out := l.messageFor(from)
			out.Records = append(out.Records, records...)
		}
	}
}

// randomStart picks the stream to begin with, so that a small budget serves all.
func (l *Logic) randomStart() int { return l.Rand.IntN(1 << 16) }

// applyBlock takes a block of items and hands on what is new.
func (l *Logic) applyBlock(from spec.InstanceID, b *proto.Block) {
	if b.Scope == news.ScopeCentre && !l.inLocalCentre(from) {
		return
	}
	l.detectRestart(b)
	rec, known := l.members.Get(b.Origin)
	for _, item := range l.items.ApplyBlock(l.now, b) {
		gone := known && (rec.State == proto.StateDead || rec.State == proto.StateLeft)
		if gone && gossip.EndsWithOrigin(item.Kind) {
			continue
		}
		l.deliver(item)
		if gossip.Urgent(item.Kind) {
			l.pushes.add(item, from)
		}
	}
}

// detectRestart learns of a restart from the items of the new self, so that what
// the former self told is forgotten before they are handed on.
func (l *Logic) detectRestart(b *proto.Block) {
	rec, ok := l.members.Get(b.Origin)
	if !ok || b.StartTime <= rec.StartTime || b.Origin == l.Local.ID {
		return
	}
	rec.StartTime = b.StartTime
	rec.Incarnation = 0
	rec.State = proto.StateAlive
	rec.Passive = true
	rec.SuspectedBy = ""
	l.members.ApplyRecord(l.now, rec)
	l.handleMemberChanges()
}

// deliver hands an item of another instance to whom it concerns.
func (l *Logic) deliver(item news.Item) {
	switch item.Kind {
	case news.KindLoads:
		l.handleLoads(item)
	case news.KindRates:
		l.handleRates(item)
	case news.KindReach:
	default:
		l.emit(Deliver{Item: item})
	}
}
