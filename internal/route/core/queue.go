package core

import (
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/admit"
	"fulmarwick/internal/route/domain"
	"fulmarwick/internal/route/fair"
)

// purgeInterval is how often the whole queue is searched for requests that
// can no longer meet their target because others went ahead of them.
const purgeInterval = 100 * time.Millisecond

// modelQueue holds the requests that wait for engines of one model.
type modelQueue struct {
	fair      fair.Queue
	nextPurge time.Duration
	lastRun   time.Duration
}

func (l *Logic) queueFor(model spec.ModelName) *modelQueue {
	q := l.queues[model]
	if q == nil {
		q = &modelQueue{}
		l.queues[model] = q
		l.modelOrder = append(l.modelOrder, model)
	}
	return q
}

// serveQueues starts the queued requests for which there is free capacity and
// refuses those that can no longer start in time, since waiting longer would
// only delay the refusal.
func (l *Logic) serveQueues() {
	for _, model := range l.modelOrder {
		q := l.queues[model]
		now := l.state.Now()
		q.fair.Advance(l.drainRate(model) * (now - q.lastRun).Seconds())
		q.lastRun = now
		if q.fair.Len() == 0 {
			continue
		}
		l.startQueued(q)
		l.refuseHopeless(model, q)
	}
}

func (l *Logic) refuseHopeless(model spec.ModelName, q *modelQueue) {
	now := l.state.Now()
	if now < q.nextPurge {
		return
	}
	q.nextPurge = now + purgeInterval
	for _, it := range q.fair.RemoveUnmeetable(now, l.drainRate(model)) {
		l.refuseQueued(it, domain.ReasonOverload, time.Second)
	}
}

// startQueued starts requests from the head of the queue while there is
// capacity. It passes over a request if only engines that are too slow for it
// are free, a few in each tick, so that a request with a shorter prompt can
// use those engines.
func (l *Logic) startQueued(q *modelQueue) {
	var passedOver []*fair.Item
	for len(passedOver) < maxPassedOver {
		it := q.fair.Head()
		if it == nil {
			break
		}
		result := l.tryHead(q, it)
		if result == headLacksCapacity {
			break
		}
		if result == headTooSlow {
			q.fair.Remove(it)
			passedOver = append(passedOver, it)
		}
	}
	for _, it := range passedOver {
		q.fair.Push(it)
	}
}

// maxPassedOver is how many requests are passed over in one tick.
const maxPassedOver = 4

// headResult is the outcome for the request at the head of the queue.
type headResult int

const (
	headSettled headResult = iota
	headLacksCapacity
	headTooSlow
)

func (l *Logic) tryHead(q *modelQueue, it *fair.Item) headResult {
	state := &l.state
	r := it.Request
	choice, ok := l.chooseChain(r, q)
	if !ok {
		q.fair.Remove(it)
		l.refuseQueued(it, domain.ReasonNoEngine, uncoveredRetryAfter)
		return headSettled
	}
	if state.Now() > it.LatestStart {
		q.fair.Remove(it)
		l.refuseQueued(it, domain.ReasonOverload, state.Now()-it.LatestStart)
		return headSettled
	}
	if !choice.Fits {
		return headLacksCapacity
	}
	estimate := admit.Estimate{Elapsed: state.Now() - r.ArrivedAt(), Plan: choice.Plan}
	if _, late := admit.TargetMiss(r.Class().Target(), l.margins.ForClass(r.Class()), estimate); late {
		return headTooSlow
	}
	q.fair.Remove(it)
	q.fair.ChargeTeam(r.Arrival().Team, it.Charge)
	l.startRun(r, choice)
	return headSettled
}

func (l *Logic) refuseQueued(it *fair.Item, reason domain.Reason, delay time.Duration) {
	l.forwardOrRefuse(it.Request, reason, delay, it.TokenRate)
}
