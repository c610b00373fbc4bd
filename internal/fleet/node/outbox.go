package node

import (
	"time"

	"fulmarwick/internal/base/news"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/proto"
)

const (
	// maxBytesPerSecond is what this instance sends at most over time. As much
	// comes in on average, which keeps both together under 24 KB/s.
	maxBytesPerSecond = 11 << 10
	// maxBurstBytes is how much may be saved up for a busy moment.
	maxBurstBytes = 16 << 10
	// messageOverheadBytes is what TLS, TCP and IP add to a message.
	messageOverheadBytes = 70
	// minDeltaBytes and mostDelta bound the items in one answer. The least lets a
	// busy instance still move on.
	minDeltaBytes = 512
	maxDeltaBytes = 6 << 10
	// maxRecordBytes bounds the member records in one answer, in bytes.
	maxRecordBytes = 4 << 10
)

// budget is a token bucket of bytes. Answers and urgent items may overdraw
// it; the rest waits until it is paid back.
type budget struct {
	availableBytes float64
	refilledAt     time.Duration
}

func (b *budget) refill(now time.Duration) {
	b.availableBytes = min(maxBurstBytes, b.availableBytes+(now-b.refilledAt).Seconds()*maxBytesPerSecond)
	b.refilledAt = now
}

// deltaLimit is how many bytes of items an answer may carry now.
func (b *budget) deltaLimit() int {
	return min(maxDeltaBytes, max(minDeltaBytes, int(b.availableBytes)))
}

// spend pays for a message. The debt has a bound: without one, the meeting of
// a whole fleet at its start held items back for minutes.
func (b *budget) spend(bytes int) {
	b.availableBytes = max(b.availableBytes-float64(bytes), -maxBurstBytes)
}

func (b *budget) isExhausted() bool { return b.availableBytes <= -maxBurstBytes }

// outbox gathers what goes to each instance in a tick into one message.
type outbox struct {
	index map[spec.InstanceID]*outgoing
	order []*outgoing
}

type outgoing struct {
	to      spec.InstanceID
	url     string
	message proto.Message
}

// messageFor returns the message that goes to id in this tick. One message carries
// one call and one answer at most.
func (l *Logic) messageFor(id spec.InstanceID) *proto.Message { return &l.outgoingFor(id).message }

func (l *Logic) outgoingFor(id spec.InstanceID) *outgoing {
	if l.outbox.index == nil {
		l.outbox.index = map[spec.InstanceID]*outgoing{}
	}
	if w := l.outbox.index[id]; w != nil {
		return w
	}
	return l.newOutgoing(id)
}

func (l *Logic) newOutgoing(id spec.InstanceID) *outgoing {
	w := &outgoing{to: id, url: l.peerURL(id)}
	l.outbox.index[id] = w
	l.outbox.order = append(l.outbox.order, w)
	return w
}

// messageForCall returns a message to id that has no call yet, and answer one that has no
// answer yet.
func (l *Logic) messageForCall(id spec.InstanceID) *proto.Message {
	w := l.outgoingFor(id)
	if w.message.CallID != 0 {
		w = l.newOutgoing(id)
	}
	return &w.message
}

func (l *Logic) messageForAck(id spec.InstanceID) *proto.Message {
	w := l.outgoingFor(id)
	if w.message.AckID != 0 {
		w = l.newOutgoing(id)
	}
	return &w.message
}

// flush sends the tick's messages.
func (l *Logic) flush() {
	l.budget.refill(l.now)
	l.flushPushes()
	for _, w := range l.outbox.order {
		data, err := proto.Encode(&w.message)
		if err != nil || len(data) > proto.MaxMessageBytes {
			continue
		}
		l.budget.spend(len(data) + messageOverheadBytes)
		l.stats.Sent++
		l.stats.SentBytes += uint64(len(data))
		l.emit(Send{To: w.to, URL: w.url, Data: data})
	}
	l.outbox.order = nil
	clear(l.outbox.index)
}

// peerURL is where an instance answers, by its own word or the platform's list.
func (l *Logic) peerURL(id spec.InstanceID) string {
	if rec, ok := l.members.Get(id); ok && rec.URL != "" {
		return rec.URL
	}
	return l.discovered.urlOf(id)
}

// pushes are the urgent items and member records of a tick.
type pushes struct {
	items []pushedItem
}

type pushedItem struct {
	item news.Item
	from spec.InstanceID
}

// add queues an item for all neighbours but the one it came from.
func (p *pushes) add(i news.Item, from spec.InstanceID) {
	p.items = append(p.items, pushedItem{item: i, from: from})
}

// flushPushes floods what is new: each instance passes on only what it had
// not heard, so a push ends by itself. What does not fit the budget is left to
// the exchanges.
func (l *Logic) flushPushes() {
	records := l.members.TakeUpdates()
	items := l.pushes.items
	l.pushes.items = nil
	if l.budget.isExhausted() || len(records) == 0 && len(items) == 0 {
		return
	}
	for _, id := range l.pushTargets() {
		far := !l.inLocalCentre(id)
		for _, rec := range records {
			if rec.ID != id || rec.State != proto.StateAlive {
				m := l.messageFor(id)
				m.Records = append(m.Records, rec)
			}
		}
		for _, p := range items {
			if p.from != id && (!far || p.item.Scope == news.ScopeFleet) {
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
