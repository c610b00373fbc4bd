package watch

import (
	"slices"
	"time"

	"fulmarwick/internal/base/news"
	"fulmarwick/internal/route/domain"
)

// detectRestart tells of a restart between two reports: all that ran on the engine
// is lost although it answers.
func (t *tracker) detectRestart(e *engineState, row domain.Engine) {
	if !e.known || e.declaredDead {
		return
	}
	restarted := row.Incarnation != e.row.Incarnation
	// An engine that tells no incarnation counts its reports from one again.
	if row.Incarnation == 0 {
		restarted = row.Seq < e.row.Seq
	}
	if restarted {
		t.declareDead(e)
		e.declaredDead = false
		t.publishDeath(e)
	}
}

// handleMiss takes a poll without an answer.
func (t *tracker) handleMiss(now time.Duration, e *engineState, refused bool) {
	if e.missScore == 0 {
		e.missingSince = now
	}
	before := e.missScore
	if refused {
		e.missScore += refusedWeight
	} else {
		e.missScore += missWeight
	}
	// The first miss is told too: the other watcher asks at once then.
	if before < confirmWeight {
		t.publishDoubt(e, e.missScore)
	}
	t.evaluate(now, e)
}

// evaluate decides whether an engine that does not answer here is lost. Misses of
// another watcher at the same time settle it; its later report shows that the
// fault is in the way from here; if it says nothing at all, longer silence
// settles it too.
func (t *tracker) evaluate(now time.Duration, e *engineState) {
	if e.missScore < confirmWeight || e.declaredDead || !e.watched {
		return
	}
	e.expireDoubts(now)
	switch {
	case e.confirmedByPeer():
	case e.newerReportAt > e.missingSince:
		return
	case e.missScore < soloWeight || now-e.missingSince < soloDelay:
		return
	}
	t.declareDead(e)
	t.publishDeath(e)
}

// confirmedByPeer reports whether another watcher misses answers as well.
func (e *engineState) confirmedByPeer() bool {
	return slices.ContainsFunc(e.doubts, func(d doubt) bool { return d.misses >= confirmWeight })
}

// doubtedByPeer reports whether another watcher missed an answer of late.
func (e *engineState) doubtedByPeer(now time.Duration) bool {
	e.expireDoubts(now)
	return len(e.doubts) > 0
}

func (e *engineState) expireDoubts(now time.Duration) {
	e.doubts = slices.DeleteFunc(e.doubts, func(d doubt) bool { return now >= d.expires })
}

// declareDead posts the loss of an engine.
func (t *tracker) declareDead(e *engineState) {
	e.declaredDead, e.hasDied = true, true
	e.deathInc, e.deathSeq = e.row.Incarnation, e.row.Seq
	t.post(domain.EngineDead{Engine: e.id})
}

// markLeaving posts that an engine takes no new work, and tells the others the
// first time if it was learnt here.
func (t *tracker) markLeaving(e *engineState, tell bool) {
	t.post(domain.EngineLeaving{Engine: e.id})
	if e.leaving {
		return
	}
	e.leaving = true
	if tell {
		t.publishItem(news.KindLeaving, string(e.id), itemTTL, news.Leaving{Upstream: string(e.id)})
	}
}
