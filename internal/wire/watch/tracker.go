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
	// confirmWeight is the weight of misses at each of two watchers that settles it:
	// two answers that did not come in time, or a refused connection. lonely is
	// that at one watcher of which the other says nothing.
	confirmWeight = 2
	soloWeight    = 6
	missWeight    = 1
	refusedWeight = 2
	// soloDelay is the least time from the first miss until one watcher judges by
	// itself: the other one, woken by that miss, has spoken by then if it can.
	soloDelay = 500 * time.Millisecond
	// doubtTTL is how long the doubt of another watcher counts.
	doubtTTL = 3 * time.Second
	// primaryTimeout is how long the first watcher may say nothing before the second
	// speaks in its place.
	primaryTimeout = 2500 * time.Millisecond
	// reportInterval is the time after which an unchanged report is said again.
	reportInterval = 2 * time.Minute
	reportTTL      = 5 * time.Minute
	levelTTL       = 5 * time.Second
	// levelInterval keeps the load of 60 engines under 3 KB a second for each
	// instance of a data centre; between two levels the routing logic counts
	// what it and the others have in flight.
	levelInterval = time.Second
	itemTTL       = 60 * time.Second
)

// engineState is what is known of one engine.
type engineState struct {
	id  spec.UpstreamID
	url string
	// row is the last report; known is false before the first.
	row   domain.Engine
	body  frame.Engine
	known bool
	// watched and first follow the fleet's Watch command.
	watched, primary bool
	// missScore is that of the misses in a row, since is when they began.
	missScore    int
	missingSince time.Duration
	doubts       []doubt
	// newerReportAt is when another watcher's report newer than the misses came.
	newerReportAt time.Duration
	// reportSent and leveled are when the report and the load were last said, other
	// is when another watcher's word came.
	reportSent   time.Duration
	levelSent    time.Duration
	peerReportAt time.Duration
	declaredDead bool
	// deathInc and deadSeq name the last report of before the last death.
	deathInc, deathSeq     uint64
	hasDied                bool
	leaving                bool
	lastListed, lastAnswer time.Duration
}

type doubt struct {
	origin  string
	misses  int
	expires time.Duration
}

// tracker is what is known of all engines. It does no I/O and reads no clock:
// post and say take what follows from what it is told.
type tracker struct {
	self    spec.InstanceID
	post    func(domain.Event)
	publish func(news.Item)
	setURL  func(id spec.UpstreamID, url string)
	engines []*engineState
}

func (t *tracker) get(id spec.UpstreamID) *engineState {
	if at, found := t.search(id); found {
		return t.engines[at]
	}
	return nil
}

func (t *tracker) search(id spec.UpstreamID) (int, bool) {
	return slices.BinarySearchFunc(t.engines, id, func(e *engineState, id spec.UpstreamID) int {
		return strings.Compare(string(e.id), string(id))
	})
}

// getOrCreate finds or makes the entry of an engine at url.
func (t *tracker) getOrCreate(now time.Duration, id spec.UpstreamID, url string) *engineState {
	at, found := t.search(id)
	if !found {
		t.engines = slices.Insert(t.engines, at, &engineState{id: id, lastListed: now, lastAnswer: now})
	}
	e := t.engines[at]
	if e.url != url && url != "" {
		e.url = url
		t.setURL(id, url)
	}
	return e
}

// handleAnswer takes the answer of a poll.
func (t *tracker) handleAnswer(now time.Duration, e *engineState, body frame.Engine, row domain.Engine) {
	if e.missScore > 0 {
		t.publishDoubt(e, 0)
	}
	e.missScore = 0
	e.lastAnswer = now
	t.detectRestart(e, row)
	fresh := !e.known || row.Seq != e.row.Seq || row.Incarnation != e.row.Incarnation
	changed := !e.known || !equalExceptLoad(body, e.body)
	t.applyReport(now, e, body, row)
	if !t.shouldPublish(now, e) {
		return
	}
	if changed || now-e.reportSent >= reportInterval {
		e.reportSent = now
		t.publishReport(e)
		return
	}
	if fresh && now-e.levelSent >= levelInterval {
		e.levelSent = now
		t.publishLevel(e)
	}
}

// shouldPublish reports whether this watcher tells the others. The second one does
// where the first is silent, or doubts: its report keeps a broken way from
// passing for a dead engine.
func (t *tracker) shouldPublish(now time.Duration, e *engineState) bool {
	return e.primary || now-e.peerReportAt >= primaryTimeout || e.doubtedByPeer(now)
}

// applyReport hands a report to the routing logic, unless it is of before the
// engine's death.
func (t *tracker) applyReport(now time.Duration, e *engineState, body frame.Engine, row domain.Engine) {
	if e.hasDied && row.Incarnation == e.deathInc && row.Seq <= e.deathSeq && row.Incarnation != 0 {
		return
	}
	e.declaredDead, e.hasDied = false, false
	e.row, e.body, e.known = row, body, true
	e.lastAnswer = max(e.lastAnswer, now)
	t.post(domain.EngineReport{Engine: row})
	if body.State == frame.StateLeaving {
		t.markLeaving(e, true)
	} else if e.leaving {
		// The routing logic brings nothing back by a report alone; only the
		// tale of leaving is over, so that a later one is told again.
		e.leaving = false
	}
}

// assign follows the fleet's Watch command.
func (t *tracker) assign(engines, first []spec.UpstreamID) {
	for _, e := range t.engines {
		was := e.watched
		if !e.primary {
			// Whoever speaks first for an engine begins with a whole report: that
			// of a former watcher ended with it.
			e.reportSent = -reportInterval
		}
		e.watched = slices.Contains(engines, e.id)
		e.primary = slices.Contains(first, e.id)
		if e.watched != was {
			e.missScore = 0
		}
	}
}

// removeExpired drops engines that the list does not name for so long and that did
// not answer anyone either. A list alone removes nobody: it lags, and may be
// empty because the platform is in trouble.
func (t *tracker) removeExpired(now, after time.Duration) {
	t.engines = slices.DeleteFunc(t.engines, func(e *engineState) bool {
		if now-e.lastListed < after || now-e.lastAnswer < after {
			return false
		}
		t.post(domain.EngineRemoved{Engine: e.id})
		return true
	})
}

// equalExceptLoad reports whether two reports differ in their load alone.
func equalExceptLoad(a, b frame.Engine) bool {
	strip := func(e *frame.Engine) { e.Seq, e.Queued, e.Active, e.Cached = 0, 0, 0, 0 }
	strip(&a)
	strip(&b)
	return reflect.DeepEqual(a, b)
}
