package watch

import (
	"reflect"
	"slices"
	"strings"
	"time"

	"fulmarwick/internal/base/frame"
	"fulmarwick/internal/base/news"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
)

// Times and thresholds of the judgement on engines.
const (
	// agree is the weight of misses at each of two watchers that settles it:
	// two answers that did not come in time, or a refused connection. lonely is
	// that at one watcher of which the other says nothing.
	agree         = 2
	lonely        = 6
	missWeight    = 1
	refusedWeight = 2
	// alone is the least time from the first miss until one watcher judges by
	// itself: the other one, woken by that miss, has spoken by then if it can.
	alone = 500 * time.Millisecond
	// doubtLife is how long the doubt of another watcher counts.
	doubtLife = 3 * time.Second
	// silence is how long the first watcher may say nothing before the second
	// speaks in its place.
	silence = 2500 * time.Millisecond
	// reportEvery is the time after which an unchanged report is said again.
	reportEvery = 2 * time.Minute
	reportLife  = 5 * time.Minute
	levelLife   = 5 * time.Second
	// levelEvery keeps the load of 60 engines under 3 KB a second for each
	// instance of a data centre; between two levels the routing logic counts
	// what it and the others have in flight.
	levelEvery = time.Second
	newsLife   = 60 * time.Second
)

// entry is what is known of one engine.
type entry struct {
	id  spec.UpstreamID
	url string
	// row is the last report; known is false before the first.
	row   domain.Engine
	body  frame.Engine
	known bool
	// watched and first follow the fleet's Watch command.
	watched, first bool
	// weight is that of the misses in a row, since is when they began.
	weight int
	since  time.Duration
	doubts []doubt
	// alive is when another watcher's report newer than the misses came.
	alive time.Duration
	// spoken and leveled are when the report and the load were last said, other
	// is when another watcher's word came.
	spoken  time.Duration
	leveled time.Duration
	other   time.Duration
	down    bool
	// deadInc and deadSeq name the last report of before the last death.
	deadInc, deadSeq uint64
	dead             bool
	leaving          bool
	listed, answered time.Duration
}

type doubt struct {
	origin string
	misses int
	until  time.Duration
}

// board is what is known of all engines. It does no I/O and reads no clock:
// post and say take what follows from what it is told.
type board struct {
	self spec.InstanceID
	post func(domain.Event)
	say  func(news.Item)
	find func(id spec.UpstreamID, url string)
	rows []*entry
}

func (b *board) get(id spec.UpstreamID) *entry {
	if at, found := b.at(id); found {
		return b.rows[at]
	}
	return nil
}

func (b *board) at(id spec.UpstreamID) (int, bool) {
	return slices.BinarySearchFunc(b.rows, id, func(e *entry, id spec.UpstreamID) int {
		return strings.Compare(string(e.id), string(id))
	})
}

// locate finds or makes the entry of an engine at url.
func (b *board) locate(now time.Duration, id spec.UpstreamID, url string) *entry {
	at, found := b.at(id)
	if !found {
		b.rows = slices.Insert(b.rows, at, &entry{id: id, listed: now, answered: now})
	}
	e := b.rows[at]
	if e.url != url && url != "" {
		e.url = url
		b.find(id, url)
	}
	return e
}

// polled takes the answer of a poll.
func (b *board) polled(now time.Duration, e *entry, body frame.Engine, row domain.Engine) {
	if e.weight > 0 {
		b.doubt(e, 0)
	}
	e.weight = 0
	e.answered = now
	b.crashed(e, row)
	fresh := !e.known || row.Seq != e.row.Seq || row.Incarnation != e.row.Incarnation
	changed := !e.known || !sameStatic(body, e.body)
	b.seen(now, e, body, row)
	if !b.speaks(now, e) {
		return
	}
	if changed || now-e.spoken >= reportEvery {
		e.spoken = now
		b.sayReport(e)
		return
	}
	if fresh && now-e.leveled >= levelEvery {
		e.leveled = now
		b.sayLevel(e)
	}
}

// speaks reports whether this watcher tells the others. The second one does
// where the first is silent, or doubts: its report keeps a broken way from
// passing for a dead engine.
func (b *board) speaks(now time.Duration, e *entry) bool {
	return e.first || now-e.other >= silence || e.doubted(now)
}

// seen hands a report to the routing logic, unless it is of before the
// engine's death.
func (b *board) seen(now time.Duration, e *entry, body frame.Engine, row domain.Engine) {
	if e.dead && row.Incarnation == e.deadInc && row.Seq <= e.deadSeq && row.Incarnation != 0 {
		return
	}
	e.down, e.dead = false, false
	e.row, e.body, e.known = row, body, true
	e.answered = max(e.answered, now)
	b.post(domain.EngineReport{Engine: row})
	if body.State == frame.StateLeaving {
		b.leave(e, true)
	} else if e.leaving {
		// The routing logic brings nothing back by a report alone; only the
		// tale of leaving is over, so that a later one is told again.
		e.leaving = false
	}
}

// assign follows the fleet's Watch command.
func (b *board) assign(engines, first []spec.UpstreamID) {
	for _, e := range b.rows {
		was := e.watched
		if !e.first {
			// Whoever speaks first for an engine begins with a whole report: that
			// of a former watcher ended with it.
			e.spoken = -reportEvery
		}
		e.watched = slices.Contains(engines, e.id)
		e.first = slices.Contains(first, e.id)
		if e.watched != was {
			e.weight = 0
		}
	}
}

// expire drops engines that the list does not name for so long and that did
// not answer anyone either. A list alone removes nobody: it lags, and may be
// empty because the platform is in trouble.
func (b *board) expire(now, after time.Duration) {
	b.rows = slices.DeleteFunc(b.rows, func(e *entry) bool {
		if now-e.listed < after || now-e.answered < after {
			return false
		}
		b.post(domain.EngineRemoved{Engine: e.id})
		return true
	})
}

// sameStatic reports whether two reports differ in their load alone.
func sameStatic(a, b frame.Engine) bool {
	strip := func(e *frame.Engine) { e.Seq, e.Queued, e.Active, e.Cached = 0, 0, 0, 0 }
	strip(&a)
	strip(&b)
	return reflect.DeepEqual(a, b)
}
