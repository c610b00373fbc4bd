package watch

import (
	"slices"
	"time"

	"fulmarwick/internal/base/news"
	"fulmarwick/internal/route/domain"
)

// detectRestart reports the death of an engine that restarted between two
// reports: everything that ran on it is lost although it answers.
func (t *tracker) detectRestart(e *engineState, row domain.Engine) {
	if !e.known || e.declaredDead {
		return
	}
	restarted := row.Incarnation != e.row.Incarnation
	// An engine that reports no incarnation numbers its reports from one again
	// after a restart.
	if row.Incarnation == 0 {
		restarted = row.Seq < e.row.Seq
	}
	if restarted {
		t.declareDead(e)
		e.declaredDead = false
		t.publishDeath(e)
	}
}

// handleMiss records a poll that got no answer.
func (t *tracker) handleMiss(now time.Duration, e *engineState, refused bool) {
	if e.missScore == 0 {
		e.missingSince, e.refused = now, false
	}
	before := e.missScore
	if refused {
		e.missScore += refusedWeight
		e.refused = true
	} else {
		e.missScore += missWeight
	}
	// The first miss is published too, because it makes the other watcher poll
	// at once.
	if before < confirmWeight {
		t.publishDoubt(e, e.missScore)
	}
	t.evaluate(now, e)
}

// evaluate decides whether an engine that does not answer this watcher is dead
// or silent. It is neither if another watcher has a newer report; then only the
// network path from here is broken. If the other watcher reports nothing, a
// higher miss score is required.
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
	if !e.refused && now-e.missingSince < deadAfterSilence {
		if !e.declaredSilent {
			t.declareSilent(e)
			t.publishSilence(e)
		}
		return
	}
	t.declareDead(e)
	t.publishDeath(e)
}

// confirmedByPeer reports whether another watcher also misses answers.
func (e *engineState) confirmedByPeer() bool {
	return slices.ContainsFunc(e.doubts, func(d doubt) bool { return d.misses >= confirmWeight })
}

// doubtedByPeer reports whether another watcher recently missed an answer.
func (e *engineState) doubtedByPeer(now time.Duration) bool {
	e.expireDoubts(now)
	return len(e.doubts) > 0
}

func (e *engineState) expireDoubts(now time.Duration) {
	e.doubts = slices.DeleteFunc(e.doubts, func(d doubt) bool { return now >= d.expires })
}

// declareDead posts the death of an engine.
func (t *tracker) declareDead(e *engineState) {
	e.declaredDead, e.hasDied = true, true
	e.deathInc, e.deathSeq = e.row.Incarnation, e.row.Seq
	t.post(domain.EngineDead{Engine: e.id})
}

// declareSilent posts that an engine does not answer.
func (t *tracker) declareSilent(e *engineState) {
	e.declaredSilent = true
	t.post(domain.EngineSilent{Engine: e.id})
}

// markLeaving posts that an engine takes no new work. If publish is set, it
// also publishes this once to the other instances.
func (t *tracker) markLeaving(e *engineState, publish bool) {
	t.post(domain.EngineLeaving{Engine: e.id})
	if e.leaving {
		return
	}
	e.leaving = true
	if publish {
		t.publishItem(news.KindLeaving, string(e.id), itemTTL, news.Leaving{Upstream: string(e.id)})
	}
}
