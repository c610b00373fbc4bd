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
		l.giveUp(q, it, world.ReasonOverload, time.Second)
	}
}

func (l *Logic) runQueue(q *queue) {
	w := &l.world
	for {
		it := q.fair.Head(w.Now())
		if it == nil {
			return
		}
		r := it.Request
		choice, ok := l.choose(r, q)
		if !ok {
			q.fair.Pop()
			l.giveUp(q, it, world.ReasonNoEngine, coverRetry)
			continue
		}
		est := admit.Estimate{Elapsed: w.Now() - r.At(), Plan: choice.Plan}
		over, late := admit.Late(r.Class().Target(), l.margins.Of(r.Class()), est)
		switch {
		case late:
			q.fair.Pop()
			l.giveUp(q, it, world.ReasonOverload, over)
		case choice.Fits:
			q.fair.Pop()
			q.fair.Began(it.Tag)
			l.start(r, choice)
		default:
			return
		}
	}
}

func (l *Logic) giveUp(q *queue, it *fair.Item, reason world.Reason, over time.Duration) {
	r := it.Request
	q.fair.Refund(r.Arrived().Team, it.Charge)
	l.refuse(r, reason, over, 0)
}
