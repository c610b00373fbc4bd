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

func (t *tracker) publishItem(kind news.Kind, key string, life time.Duration, body any) {
	if t.publish == nil {
		return
	}
	item, err := news.Make(kind, key, news.ScopeCentre, life.Milliseconds(), body)
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
	t.publishItem(news.KindLevel, string(e.id), levelTTL, news.Level{
		Born: e.row.Incarnation, Seq: e.row.Seq,
		Queued: e.row.Queued, Active: e.row.Active, Cached: e.row.KVUsed,
	})
}

func (t *tracker) publishDeath(e *engineState) {
	t.publishItem(news.KindDown, string(e.id), itemTTL, news.Down{Engine: string(e.id), Born: e.deathInc, Seq: e.deathSeq})
}

func (t *tracker) publishDoubt(e *engineState, weight int) {
	t.publishItem(news.KindDoubt, string(e.id), itemTTL, news.Doubt{Engine: string(e.id), Misses: weight})
}

// handleItem takes an item of another instance. Items of other kinds and bad
// bodies are passed over.
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
	t.applyPeerReport(now, e, report, engine.Row(e.id, report))
}

// handleLevel puts the load into the last whole report. A level of another
// incarnation has to wait for that one's report.
func (t *tracker) handleLevel(now time.Duration, item news.Item) {
	var body news.Level
	if news.Decode(item, &body) != nil {
		return
	}
	e := t.get(spec.UpstreamID(item.Key))
	if e == nil || !e.known || body.Born != e.row.Incarnation {
		return
	}
	row, report := e.row, e.body
	row.Seq, row.Queued, row.Active, row.KVUsed = body.Seq, body.Queued, body.Active, body.Cached
	report.Seq, report.Queued, report.Active, report.Cached = body.Seq, body.Queued, body.Active, body.Cached
	t.applyPeerReport(now, e, report, row)
}

// applyPeerReport takes another watcher's report.
func (t *tracker) applyPeerReport(now time.Duration, e *engineState, body frame.Engine, row domain.Engine) {
	e.peerReportAt = now
	old := e.known && row.Incarnation == e.row.Incarnation && row.Seq <= e.row.Seq
	// An engine that tells no incarnation counts from one again after a death;
	// the routing logic holds back what may still be of before.
	if old && (!e.declaredDead || row.Incarnation != 0) {
		return
	}
	// It is later than what was known when the misses here began.
	e.newerReportAt = now
	t.detectPeerRestart(e, row)
	t.applyReport(now, e, body, row)
}

// detectPeerRestart posts a restart that another watcher's report shows.
func (t *tracker) detectPeerRestart(e *engineState, row domain.Engine) {
	if e.known && !e.declaredDead && row.Incarnation != e.row.Incarnation {
		t.declareDead(e)
		e.declaredDead = false
	}
}

func (t *tracker) handleDoubt(now time.Duration, item news.Item) {
	var body news.Doubt
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

// handleDeath takes the loss that the watchers agreed on, unless a later report
// came in the meantime.
func (t *tracker) handleDeath(item news.Item) {
	var body news.Down
	if news.Decode(item, &body) != nil {
		return
	}
	e := t.get(spec.UpstreamID(body.Engine))
	if e == nil || e.declaredDead {
		return
	}
	if e.known && (e.row.Incarnation != body.Born || e.row.Seq > body.Seq) {
		return
	}
	t.declareDead(e)
	e.deathInc, e.deathSeq = body.Born, body.Seq
}
