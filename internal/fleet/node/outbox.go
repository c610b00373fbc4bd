package node

import (
	"time"

	"fulmarwick/internal/base/news"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/proto"
)

const (
	// maxBytesPerSecond bounds what this instance sends over time. About
	// as much comes in, which keeps both directions together under 24
	// KB/s.
	maxBytesPerSecond = 11 << 10
	// maxBurstBytes is how many unused bytes the budget keeps for a burst.
	maxBurstBytes = 16 << 10
	// messageOverheadBytes is what TLS, TCP and IP add to a message.
	messageOverheadBytes = 70
	// minDeltaBytes is the least limit of the items in one answer. It lets
	// a busy instance still make progress.
	minDeltaBytes = 512
	// maxDeltaBytes is the highest limit of the items in one answer.
	maxDeltaBytes = 6 << 10
	// maxRecordBytes bounds the member records in one answer, in bytes.
	maxRecordBytes = 4 << 10
)

// budget is a token bucket of bytes. Answers and urgent items may overdraw it;
// pushes wait until it is refilled.
type budget struct {
	availableBytes float64
	refilledAt     time.Duration
}

func (b *budget) refill(now time.Duration) {
	b.availableBytes = min(maxBurstBytes, b.availableBytes+(now-b.refilledAt).Seconds()*maxBytesPerSecond)
	b.refilledAt = now
}

// deltaLimit returns how many bytes of items an answer may carry now.
func (b *budget) deltaLimit() int {
	return min(maxDeltaBytes, max(minDeltaBytes, int(b.availableBytes)))
}

// spend subtracts the bytes of a message. The debt is bounded: without a
// bound, the start of a whole fleet at once held items back for minutes.
func (b *budget) spend(bytes int) {
	b.availableBytes = max(b.availableBytes-float64(bytes), -maxBurstBytes)
}

func (b *budget) isExhausted() bool { return b.availableBytes <= -maxBurstBytes }

// outbox merges the parts that go to an instance in one tick into one message.
type outbox struct {
	index map[spec.InstanceID]*outgoing
	order []*outgoing
}

type outgoing struct {
	to      spec.InstanceID
	url     string
	message proto.Message
}

// messageFor returns the message that goes to id in this tick. A message
// carries at most one call and one answer.
func (l *Logic) messageFor(id spec.InstanceID) *proto.Message { return &l.outgoingFor(id).message }

func (l *Logic) outgoingFor(id spec.InstanceID) *outgoing {
	if l.outbox.index == nil {
		l.outbox.index = map[spec.InstanceID]*outgoing{}
	}
	if out := l.outbox.index[id]; out != nil {
		return out
	}
	return l.newOutgoing(id)
}

func (l *Logic) newOutgoing(id spec.InstanceID) *outgoing {
	out := &outgoing{to: id, url: l.peerURL(id)}
	l.outbox.index[id] = out
	l.outbox.order = append(l.outbox.order, out)
	return out
}

// messageForCall returns a message to id that has no call yet.
func (l *Logic) messageForCall(id spec.InstanceID) *proto.Message {
	out := l.outgoingFor(id)
	if out.message.CallID != 0 {
		out = l.newOutgoing(id)
	}
	return &out.message
}

// messageForAck returns a message to id that has no answer yet.
func (l *Logic) messageForAck(id spec.InstanceID) *proto.Message {
	out := l.outgoingFor(id)
	if out.message.AckID != 0 {
		out = l.newOutgoing(id)
	}
	return &out.message
}

// flush sends the messages of the tick.
func (l *Logic) flush() {
	l.budget.refill(l.now)
	l.flushPushes()
	for _, out := range l.outbox.order {
		data, err := proto.Encode(&out.message)
		if err != nil || len(data) > proto.MaxMessageBytes {
			continue
		}
		l.budget.spend(len(data) + messageOverheadBytes)
		l.stats.Sent++
		l.stats.SentBytes += uint64(len(data))
		l.emit(Send{To: out.to, URL: out.url, Data: data})
	}
	l.outbox.order = nil
	clear(l.outbox.index)
}

// peerURL returns the address of an instance from its own record, or else from
// the discovery list.
func (l *Logic) peerURL(id spec.InstanceID) string {
	if rec, ok := l.members.Get(id); ok && rec.URL != "" {
		return rec.URL
	}
	return l.discovered.urlOf(id)
}

// pushes holds the urgent items of a tick.
type pushes struct {
	items []pushedItem
}

type pushedItem struct {
	item news.Item
	from spec.InstanceID
}

// add queues an item for all push targets except the instance it came from.
func (p *pushes) add(i news.Item, from spec.InstanceID) {
	p.items = append(p.items, pushedItem{item: i, from: from})
}

// flushPushes floods what is new. Each instance passes on only what it did not
// know, so a flood ends by itself. If the budget is exhausted, the items are
// left to the regular exchanges.
func (l *Logic) flushPushes() {
	records := l.members.TakeUpdates()
	items := l.pushes.items
	l.pushes.items = nil
	if l.budget.isExhausted() || len(records) == 0 && len(items) == 0 {
		return
	}
	for _, id := range l.pushTargets() {
		isRemote := !l.inLocalCentre(id)
		for _, rec := range records {
			if rec.ID != id || rec.State != proto.StateAlive {
				m := l.messageFor(id)
				m.Records = append(m.Records, rec)
			}
		}
		for _, p := range items {
			if p.from != id && (!isRemote || p.item.Scope == news.ScopeFleet) {
				l.pushItem(id, p.item)
			}
		}
	}
}

func (l *Logic) pushItem(id spec.InstanceID, item news.Item) {
	if b, ok := l.items.PushBlock(l.now, item); ok {
		m := l.messageFor(id)
		m.Blocks = append(m.Blocks, b)
	}
}
