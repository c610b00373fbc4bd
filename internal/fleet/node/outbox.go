package node

import (
	"time"

	"fulmarwick/internal/base/news"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/talk"
)

const (
	// bytesPerSecond is what this instance sends at most over time. As much
	// comes in on average, which keeps both together under 24 KB/s.
	bytesPerSecond = 11 << 10
	// burst is how much may be saved up for a busy moment.
	burst = 16 << 10
	// overhead is what TLS, TCP and IP add to a message.
	overhead = 70
	// leastDelta and mostDelta bound the items in one answer. The least lets a
	// busy instance still move on.
	leastDelta = 512
	mostDelta  = 6 << 10
	// mostRecords bounds the member records in one answer, in bytes.
	mostRecords = 4 << 10
)

// budget is a token bucket of bytes. Answers and urgent items may overdraw
// it; the rest waits until it is paid back.
type budget struct {
	left float64
	last time.Duration
}

func (b *budget) refill(now time.Duration) {
	b.left = min(burst, b.left+(now-b.last).Seconds()*bytesPerSecond)
	b.last = now
}

// delta is how many bytes of items an answer may carry now.
func (b *budget) delta() int { return min(mostDelta, max(leastDelta, int(b.left))) }

// spend pays for a message. The debt has a bound: without one, the meeting of
// a whole fleet at its start held items back for minutes.
func (b *budget) spend(bytes int) { b.left = max(b.left-float64(bytes), -burst) }

func (b *budget) spent() bool { return b.left <= -burst }

// outbox gathers what goes to each instance in a tick into one message.
type outbox struct {
	index map[spec.InstanceID]*letter
	order []*letter
}

type letter struct {
	to  spec.InstanceID
	url string
	msg talk.Message
}

// to returns the message that goes to id in this tick. One message carries
// one call and one answer at most.
func (l *Logic) to(id spec.InstanceID) *talk.Message { return &l.letter(id).msg }

func (l *Logic) letter(id spec.InstanceID) *letter {
	if l.outbox.index == nil {
		l.outbox.index = map[spec.InstanceID]*letter{}
	}
	if w := l.outbox.index[id]; w != nil {
		return w
	}
	return l.newLetter(id)
}

func (l *Logic) newLetter(id spec.InstanceID) *letter {
	w := &letter{to: id, url: l.url(id)}
	l.outbox.index[id] = w
	l.outbox.order = append(l.outbox.order, w)
	return w
}

// ask returns a message to id that has no call yet, and answer one that has no
// answer yet.
func (l *Logic) ask(id spec.InstanceID) *talk.Message {
	w := l.letter(id)
	if w.msg.Call != 0 {
		w = l.newLetter(id)
	}
	return &w.msg
}

func (l *Logic) answer(id spec.InstanceID) *talk.Message {
	w := l.letter(id)
	if w.msg.Ack != 0 {
		w = l.newLetter(id)
	}
	return &w.msg
}

// flush sends the tick's messages.
func (l *Logic) flush() {
	l.budget.refill(l.now)
	l.flushPushes()
	for _, w := range l.outbox.order {
		data, err := talk.Encode(&w.msg)
		if err != nil || len(data) > talk.MaxBytes {
			continue
		}
		l.budget.spend(len(data) + overhead)
		l.stats.Sent++
		l.stats.SentBytes += uint64(len(data))
		l.emit(Send{To: w.to, URL: w.url, Data: data})
	}
	l.outbox.order = nil
	clear(l.outbox.index)
}

// url is where an instance answers, by its own word or the platform's list.
func (l *Logic) url(id spec.InstanceID) string {
	if rec, ok := l.members.Get(id); ok && rec.URL != "" {
		return rec.URL
	}
	return l.listed.url(id)
}

// pushes are the urgent items and member records of a tick.
type pushes struct {
	items []pushed
}

type pushed struct {
	item news.Item
	from spec.InstanceID
}

// item queues an item for all neighbours but the one it came from.
func (p *pushes) item(i news.Item, from spec.InstanceID) {
	p.items = append(p.items, pushed{item: i, from: from})
}

// flushPushes floods what is new: each instance passes on only what it had
// not heard, so a push ends by itself. What does not fit the budget is left to
// the exchanges.
func (l *Logic) flushPushes() {
	records := l.members.Spread()
	items := l.push.items
	l.push.items = nil
	if l.budget.spent() || len(records) == 0 && len(items) == 0 {
		return
	}
	for _, id := range l.targets() {
		far := !l.near(id)
		for _, rec := range records {
			if rec.ID != id || rec.State != talk.StateAlive {
				m := l.to(id)
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
	if b, ok := l.items.Push(l.now, item); ok {
		m := l.to(id)
		m.Blocks = append(m.Blocks, b)
	}
}
