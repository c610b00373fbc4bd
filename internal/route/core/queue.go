package core

import (
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/admit"
	"fulmarwick/internal/route/fair"
	"fulmarwick/internal/route/world"
)

// checkEvery is how often the whole queue is looked through for requests that
// others went ahead of.
const checkEvery = 100 * time.Millisecond

// queue is what waits for engines of one model.
type queue struct {
	fair  fair.Queue
	check time.Duration
	ran   time.Duration
}

func (l *Logic) queue(model spec.ModelName) *queue {
	q := l.queues[model]
	if q == nil {
		q = &queue{}
		l.queues[model] = q
		l.order = append(l.order, model)
	}
	return q
}

// runQueues starts what has room now, and refuses what cannot start in time
// any more: waiting on would only make its caller wait for a refusal.
func (l *Logic) runQueues() {
	for _, model := range l.order {
		q := l.queues[model]
		now := l.world.Now()
		q.fair.Advance(l.drain(model) * (now - q.ran).Seconds())
		q.ran = now
		if q.fair.Len() == 0 {
			continue
		}
		l.runQueue(q)
		l.purge(model, q)
	}
}

func (l *Logic) purge(model spec.ModelName, q *queue) {
	now := l.world.Now()
	if now < q.check {
		return
	}
	q.check = now + checkEvery
	for _, it := range q.fair.Hopeless(now, l.drain(model)) {
		l.giveUp(it, world.ReasonOverload, time.Second)
	}
}

// runQueue starts from the front what has room. A request for which only
// engines too slow for it have room is passed over, a few at a time, so that
// one with a shorter prompt can use them.
func (l *Logic) runQueue(q *queue) {
	var passed []*fair.Item
	for len(passed) < passMost {
		it := q.fair.Head()
		if it == nil {
			break
		}
		verdict := l.front(q, it)
		if verdict == frontFull {
			break
		}
		if verdict == frontSlow {
			q.fair.Take(it)
			passed = append(passed, it)
		}
	}
	for _, it := range passed {
		q.fair.Push(it)
	}
}

// passMost is how many requests are passed over in a tick.
const passMost = 4

// front says what became of the request at the front.
type front int

const (
	frontTaken front = iota
	frontFull
	frontSlow
)

func (l *Logic) front(q *queue, it *fair.Item) front {
	w := &l.world
	r := it.Request
	choice, ok := l.choose(r, q)
	if !ok {
		q.fair.Take(it)
		l.giveUp(it, world.ReasonNoEngine, coverRetry)
		return frontTaken
	}
	if w.Now() > it.Latest {
		q.fair.Take(it)
		l.giveUp(it, world.ReasonOverload, w.Now()-it.Latest)
		return frontTaken
	}
	if !choice.Fits {
		return frontFull
	}
	est := admit.Estimate{Elapsed: w.Now() - r.At(), Plan: choice.Plan}
	if _, late := admit.Late(r.Class().Target(), l.margins.Of(r.Class()), est); late {
		return frontSlow
	}
	q.fair.Take(it)
	q.fair.Began(r.Arrived().Team, it.Charge)
	l.start(r, choice)
	return frontTaken
}

func (l *Logic) giveUp(it *fair.Item, reason world.Reason, over time.Duration) {
	l.refuse(it.Request, reason, over, it.Rate)
}
