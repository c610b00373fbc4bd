package watch

import (
	"encoding/json"
	"slices"
	"time"

	"fulmarwick/internal/base/frame"
	"fulmarwick/internal/base/news"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
	"fulmarwick/internal/wire/engine"
)

// publishItem publishes an item within the data centre, if publishing is enabled.
func (t *tracker) publishItem(kind news.Kind, key string, ttl time.Duration, body any) {
	if t.publish == nil {
		return
	}
	item, err := news.New(kind, key, news.ScopeCentre, ttl.Milliseconds(), body)
	if err == nil {
		t.publish(item)
	}
}

func (t *tracker) publishReport(e *engineState) {
	data, err := json.Marshal(e.body)
	if err != nil {
		return
	}
	t.publishItem(news.KindReport, string(e.id), reportTTL, news.Report{Engine: string(e.id), URL: e.url, Data: data})
}

func (t *tracker) publishLevel(e *engineState) {
	t.publishItem(news.KindLevel, string(e.id), levelTTL, news.LoadLevel{
		Incarnation: e.row.Incarnation, Seq: e.row.Seq,
		Queued: e.row.Queued, Active: e.row.Active, Cached: e.row.KVUsed,
	})
}

func (t *tracker) publishDeath(e *engineState) {
	t.publishItem(news.KindDown, string(e.id), itemTTL, news.EngineDead{Engine: string(e.id), Incarnation: e.deathInc, Seq: e.deathSeq})
}

func (t *tracker) publishSilence(e *engineState) {
	t.publishItem(news.KindDown, string(e.id), itemTTL, news.EngineDead{
		Engine: string(e.id), Incarnation: e.row.Incarnation, Seq: e.row.Seq, Silent: true,
	})
}

func (t *tracker) publishDoubt(e *engineState, weight int) {
	t.publishItem(news.KindDoubt, string(e.id), itemTTL, news.MissedPolls{Engine: string(e.id), Misses: weight})
}

// handleItem processes an item of another instance. It ignores items of other
// kinds and items with an invalid body.
func (t *tracker) handleItem(now time.Duration, item news.Item) {
	switch item.Kind {
	case news.KindReport:
		t.handleReport(now, item)
	case news.KindLevel:
		t.handleLevel(now, item)
	case news.KindDoubt:
		t.handleDoubt(now, item)
	case news.KindDown:
		t.handleDeath(item)
	case news.KindLeaving:
		var body news.Leaving
		if news.Decode(item, &body) != nil {
			return
		}
		if e := t.get(spec.UpstreamID(body.Upstream)); e != nil {
			t.markLeaving(e, false)
		} else {
			t.post(domain.EngineLeaving{Engine: spec.UpstreamID(body.Upstream)})
		}
	}
}

func (t *tracker) handleReport(now time.Duration, item news.Item) {
	var body news.Report
	var report frame.Engine
	if news.Decode(item, &body) != nil || body.Engine == "" || json.Unmarshal(body.Data, &report) != nil {
		return
	}
	e := t.getOrCreate(now, spec.UpstreamID(body.Engine), body.URL)
	t.applyPeerReport(now, e, report, engine.ToEngine(e.id, report))
}

// handleLevel updates the load in the last full report. A level of another
// incarnation is ignored until the report of that incarnation arrives.
func (t *tracker) handleLevel(now time.Duration, item news.Item) {
	var body news.LoadLevel
	if news.Decode(item, &body) != nil {
		return
	}
	e := t.get(spec.UpstreamID(item.Key))
	if e == nil || !e.known || body.Incarnation != e.row.Incarnation {
		return
	}
	row, report := e.row, e.body
	row.Seq, row.Queued, row.Active, row.KVUsed = body.Seq, body.Queued, body.Active, body.Cached
	report.Seq, report.Queued, report.Active, report.Cached = body.Seq, body.Queued, body.Active, body.Cached
	t.applyPeerReport(now, e, report, row)
}

// applyPeerReport applies a report of another watcher.
func (t *tracker) applyPeerReport(now time.Duration, e *engineState, body frame.Engine, row domain.Engine) {
	e.peerReportAt = now
	outdated := e.known && row.Incarnation == e.row.Incarnation && row.Seq <= e.row.Seq
	// An engine that reports no incarnation numbers its reports from one again
	// after a death. The routing logic holds back reports that may predate the
	// death.
	if outdated && (!e.declaredDead || row.Incarnation != 0) {
		return
	}
	// The report is newer than the one known when the misses here began.
	e.newerReportAt = now
	t.detectPeerRestart(e, row)
	t.applyReport(now, e, body, row)
}

// detectPeerRestart posts a death if a report of another watcher shows that the
// engine restarted.
func (t *tracker) detectPeerRestart(e *engineState, row domain.Engine) {
	if e.known && !e.declaredDead && row.Incarnation != e.row.Incarnation {
		t.declareDead(e)
		e.declaredDead = false
	}
}

func (t *tracker) handleDoubt(now time.Duration, item news.Item) {
	var body news.MissedPolls
	if news.Decode(item, &body) != nil {
		return
	}
	e := t.get(spec.UpstreamID(body.Engine))
	if e == nil {
		return
	}
	e.doubts = slices.DeleteFunc(e.doubts, func(d doubt) bool { return d.origin == item.Origin })
	if body.Misses > 0 {
		e.doubts = append(e.doubts, doubt{origin: item.Origin, misses: body.Misses, expires: now + doubtTTL})
	}
	t.evaluate(now, e)
}

// handleDeath applies a death or silence that the watchers agreed on, unless a
// newer report arrived in the meantime.
func (t *tracker) handleDeath(item news.Item) {
	var body news.EngineDead
	if news.Decode(item, &body) != nil {
		return
	}
	e := t.get(spec.UpstreamID(body.Engine))
	if e == nil || e.declaredDead {
		return
	}
	if e.known && (e.row.Incarnation != body.Incarnation || e.row.Seq > body.Seq) {
		return
	}
	if body.Silent {
		if !e.declaredSilent {
			t.declareSilent(e)
		}
		return
	}
	t.declareDead(e)
	e.deathInc, e.deathSeq = body.Incarnation, body.Seq
}
