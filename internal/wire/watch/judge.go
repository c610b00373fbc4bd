package watch

import (
	"slices"
	"time"

	"fulmarwick/internal/base/news"
	"fulmarwick/internal/route/domain"
)

// crashed tells of a restart between two reports: all that ran on the engine
// is lost although it answers.
func (b *board) crashed(e *entry, row domain.Engine) {
	if !e.known || e.down {
		return
	}
	restarted := row.Incarnation != e.row.Incarnation
	// An engine that tells no incarnation counts its reports from one again.
	if row.Incarnation == 0 {
		restarted = row.Seq < e.row.Seq
	}
	if restarted {
		b.die(e)
		e.down = false
		b.sayDown(e)
	}
}

// missed takes a poll without an answer.
func (b *board) missed(now time.Duration, e *entry, refused bool) {
	if e.weight == 0 {
		e.since = now
	}
	before := e.weight
	if refused {
		e.weight += refusedWeight
	} else {
		e.weight += missWeight
	}
	// The first miss is told too: the other watcher asks at once then.
	if before < agree {
		b.doubt(e, e.weight)
	}
	b.judge(now, e)
}

// judge decides whether an engine that does not answer here is lost. Misses of
// another watcher at the same time settle it; its later report shows that the
// fault is in the way from here; if it says nothing at all, longer silence
// settles it too.
func (b *board) judge(now time.Duration, e *entry) {
	if e.weight < agree || e.down || !e.watched {
		return
	}
	e.expireDoubts(now)
	switch {
	case e.agreed():
	case e.alive > e.since:
		return
	case e.weight < lonely || now-e.since < alone:
		return
	}
	b.die(e)
	b.sayDown(e)
}

// agreed reports whether another watcher misses answers as well.
func (e *entry) agreed() bool {
	return slices.ContainsFunc(e.doubts, func(d doubt) bool { return d.misses >= agree })
}

// doubted reports whether another watcher missed an answer of late.
func (e *entry) doubted(now time.Duration) bool {
	e.expireDoubts(now)
	return len(e.doubts) > 0
}

func (e *entry) expireDoubts(now time.Duration) {
	e.doubts = slices.DeleteFunc(e.doubts, func(d doubt) bool { return now >= d.until })
}

// die posts the loss of an engine.
func (b *board) die(e *entry) {
	e.down, e.dead = true, true
	e.deadInc, e.deadSeq = e.row.Incarnation, e.row.Seq
	b.post(domain.EngineDead{Engine: e.id})
}

// leave posts that an engine takes no new work, and tells the others the
// first time if it was learnt here.
func (b *board) leave(e *entry, tell bool) {
	b.post(domain.EngineLeaving{Engine: e.id})
	if e.leaving {
		return
	}
	e.leaving = true
	if tell {
		b.make(news.KindLeaving, string(e.id), newsLife, news.Leaving{Upstream: string(e.id)})
	}
}
