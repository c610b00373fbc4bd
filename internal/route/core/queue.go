package core

import (
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/admit"
	"fulmarwick/internal/route/domain"
	"fulmarwick/internal/route/fair"
)

// purgeInterval is how often the whole queue is looked through for requests that
// others went ahead of.
const purgeInterval = 100 * time.Millisecond

// modelQueue is what waits for engines of one model.
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

// serveQueues starts what has room now, and refuses what cannot start in time
// any more: waiting on would only make its caller wait for a refusal.
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

// startQueued starts from the front what has room. A request for which only
// engines too slow for it have room is passed over, a few at a time, so that
// one with a shorter prompt can use them.
func (l *Logic) startQueued(q *modelQueue) {
	var passed []*fair.Item
	for len(passed) < maxPassedOver {
		it := q.fair.Head()
		if it == nil {
			break
		}
		verdict := l.tryHead(q, it)
		if verdict == headLacksCapacity {
			break
		}
		if verdict == headTooSlow {
			q.fair.Remove(it)
			passed = append(passed, it)
		}
	}
	for _, it := range passed {
		q.fair.Push(it)
	}
}

// maxPassedOver is how many requests are passed over in a tick.
const maxPassedOver = 4

// headResult says what became of the request at the front.
type headResult int

const (
	headSettled headResult = iota
	headLacksCapacity
	headTooSlow
)

func (l *Logic) tryHead(q *modelQueue, it *fair.Item) headResult {
	w := &l.state
	r := it.Request
	choice, ok := l.chooseChain(r, q)
	if !ok {
		q.fair.Remove(it)
		l.refuseQueued(it, domain.ReasonNoEngine, uncoveredRetryAfter)
		return headSettled
	}
	if w.Now() > it.LatestStart {
		q.fair.Remove(it)
		l.refuseQueued(it, domain.ReasonOverload, w.Now()-it.LatestStart)
		return headSettled
	}
	if !choice.Fits {
		return headLacksCapacity
	}
	est := admit.Estimate{Elapsed: w.Now() - r.ArrivedAt(), Plan: choice.Plan}
	if _, late := admit.TargetMiss(r.Class().Target(), l.margins.ForClass(r.Class()), est); late {
		return headTooSlow
	}
	q.fair.Remove(it)
	q.fair.ChargeTeam(r.Arrival().Team, it.Charge)
	l.startRun(r, choice)
	return headSettled
}

func (l *Logic) refuseQueued(it *fair.Item, reason domain.Reason, over time.Duration) {
	l.forwardOrRefuse(it.Request, reason, over, it.TokenRate)
}
