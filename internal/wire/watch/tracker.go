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

// Times and thresholds for declaring engines dead.
const (
	// confirmWeight is the miss score at which two watchers together declare an
	// engine dead: two timeouts or one refused connection at each.
	confirmWeight = 2
	// soloWeight is the miss score at which one watcher declares an engine dead
	// without confirmation, if the other watcher reports nothing.
	soloWeight    = 6
	missWeight    = 1
	refusedWeight = 2
	// soloDelay is the minimum time from the first miss until one watcher
	// declares an engine dead on its own. The first miss makes the other
	// watcher poll at once, so it has reported by then if it can.
	soloDelay = 500 * time.Millisecond
	// deadAfterSilence is how long an engine must have missed polls to count as
	// dead if none was refused: longer than a sound engine may be silent. A
	// connection to a dead process is refused at once.
	deadAfterSilence = 1500 * time.Millisecond
	// doubtTTL is the time for which a doubt of another watcher counts.
	doubtTTL = 3 * time.Second
	// primaryTimeout is the time without a message from the primary watcher
	// after which the standby watcher publishes in its place.
	primaryTimeout = 2500 * time.Millisecond
	// reportInterval is the time after which an unchanged report is published
	// again.
	reportInterval = 2 * time.Minute
	reportTTL      = 5 * time.Minute
	levelTTL       = 5 * time.Second
	// levelInterval limits the load reports of 60 engines to less than 3 KB a
	// second for each instance of a data centre. Between two reports, the
	// routing logic counts the requests in flight from all instances.
	levelInterval = time.Second
	itemTTL       = 60 * time.Second
)

// engineState is what is known about one engine.
type engineState struct {
	id  spec.UpstreamID
	url string
	// row is the last report; known is false before the first report.
	row   domain.Engine
	body  frame.Engine
	known bool
	// watched and primary are set by the fleet's Watch command.
	watched, primary bool
	// missScore is the weight of the consecutive misses, missingSince the time
	// of the first of them. refused is set if one of them was refused.
	missScore    int
	missingSince time.Duration
	refused      bool
	doubts       []doubt
	// newerReportAt is when a report of another watcher arrived that is newer
	// than the misses here.
	newerReportAt time.Duration
	// reportSent and levelSent are when the report and the load were last
	// published. peerReportAt is when the last report of another watcher
	// arrived.
	reportSent   time.Duration
	levelSent    time.Duration
	peerReportAt time.Duration
	declaredDead bool
	// declaredSilent is set from the notice of a silence until the next report.
	declaredSilent bool
	// deathInc and deathSeq identify the last report before the last death.
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

// tracker holds the state of all engines. It does no I/O and reads no clock: it
// passes its results to the functions post, publish and setURL.
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

// getOrCreate returns the state of an engine, creates it if needed, and updates
// its URL.
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

// handleAnswer processes the answer to a poll.
func (t *tracker) handleAnswer(now time.Duration, e *engineState, body frame.Engine, row domain.Engine) {
	if e.missScore > 0 {
		t.publishDoubt(e, 0)
	}
	e.missScore = 0
	e.lastAnswer = now
	t.detectRestart(e, row)
	isNew := !e.known || row.Seq != e.row.Seq || row.Incarnation != e.row.Incarnation
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
	if isNew && now-e.levelSent >= levelInterval {
		e.levelSent = now
		t.publishLevel(e)
	}
}

// shouldPublish reports whether this watcher publishes its reports. The standby
// watcher does so if the primary sends nothing or has doubts: its report shows
// that only the network path of the primary is broken and the engine is alive.
func (t *tracker) shouldPublish(now time.Duration, e *engineState) bool {
	return e.primary || now-e.peerReportAt >= primaryTimeout || e.doubtedByPeer(now)
}

// applyReport passes a report to the routing logic, unless it predates the
// engine's death.
func (t *tracker) applyReport(now time.Duration, e *engineState, body frame.Engine, row domain.Engine) {
	if e.hasDied && row.Incarnation == e.deathInc && row.Seq <= e.deathSeq && row.Incarnation != 0 {
		return
	}
	e.declaredDead, e.declaredSilent, e.hasDied = false, false, false
	e.row, e.body, e.known = row, body, true
	e.lastAnswer = max(e.lastAnswer, now)
	t.post(domain.EngineReport{Engine: row})
	if body.State == frame.StateLeaving {
		t.markLeaving(e, true)
	} else if e.leaving {
		// The routing logic does not return an engine to service because of a
		// report alone. Only the flag is reset, so that a later leave is
		// published again.
		e.leaving = false
	}
}

// assign applies the fleet's Watch command.
func (t *tracker) assign(engines, primary []spec.UpstreamID) {
	for _, e := range t.engines {
		wasWatched := e.watched
		if !e.primary {
			// A new primary watcher starts with a full report, because the
			// reports of the former one have ended.
			e.reportSent = -reportInterval
		}
		e.watched = slices.Contains(engines, e.id)
		e.primary = slices.Contains(primary, e.id)
		if e.watched != wasWatched {
			e.missScore = 0
		}
	}
}

// removeExpired drops engines that have neither been listed nor answered any
// watcher for the given time. The list alone removes no engine: it lags, and
// may be empty because the platform has a fault.
func (t *tracker) removeExpired(now, after time.Duration) {
	t.engines = slices.DeleteFunc(t.engines, func(e *engineState) bool {
		if now-e.lastListed < after || now-e.lastAnswer < after {
			return false
		}
		t.post(domain.EngineRemoved{Engine: e.id})
		return true
	})
}

// equalExceptLoad reports whether two reports differ only in their load.
func equalExceptLoad(a, b frame.Engine) bool {
	clearLoad := func(e *frame.Engine) { e.Seq, e.Queued, e.Active, e.Cached = 0, 0, 0, 0 }
	clearLoad(&a)
	clearLoad(&b)
	return reflect.DeepEqual(a, b)
}
