package node

import (
	"time"

	"fulmarwick/internal/base/news"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/gossip"
	"fulmarwick/internal/fleet/proto"
)

// handleMessage processes a message from another instance. The transport has
// authenticated the sender.
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

// replyToExchange sends what the caller lacks and requests what the caller has
// and this instance lacks.
func (l *Logic) replyToExchange(from spec.InstanceID, m *proto.Message) {
	out := l.messageForAck(from)
	out.AckID = m.CallID
	out.Ready = l.join.ready
	records, allRecords := l.members.DifferingRecords(m.Checksums, maxRecordBytes, l.randomStart())
	if len(records) > 0 {
		out.Records = append(out.Records, records...)
		out.Checksums = l.members.Checksums()
	}
	scope := l.scope(from)
	blocks, complete := l.items.Delta(l.now, scope, m.Watermarks, l.budget.deltaLimit(), l.randomStart())
	out.Blocks = append(out.Blocks, blocks...)
	out.Wants = l.items.Wants(m.Watermarks)
	out.Complete = complete && allRecords
}

// handleAck processes the answer to a call of this instance.
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
	// An answer to a call carries checksums only if the member tables
	// differ.
	if m.AckID != 0 && len(m.Checksums) > 0 {
		if records, _ := l.members.DifferingRecords(m.Checksums, maxRecordBytes, l.randomStart()); len(records) > 0 {
			out := l.messageFor(from)
			out.Records = append(out.Records, records...)
		}
	}
}

// randomStart picks the stream to begin with, so that all streams make
// progress under a small byte budget.
func (l *Logic) randomStart() int { return l.Rand.IntN(1 << 16) }

// applyBlock applies a block of items and passes on those that are new.
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

// detectRestart detects a restart of an instance by the later start time in
// its items. The items of the former process are then dropped before the new
// ones are delivered.
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

// deliver passes an item of another instance to the part of the logic that
// uses it, or to the driver.
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
