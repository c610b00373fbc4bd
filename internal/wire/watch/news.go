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

func (b *board) make(kind news.Kind, key string, life time.Duration, body any) {
	if b.say == nil {
		return
	}
	item, err := news.Make(kind, key, news.ScopeCentre, life.Milliseconds(), body)
	if err == nil {
		b.say(item)
	}
}

func (b *board) sayReport(e *entry) {
	data, err := json.Marshal(e.body)
	if err != nil {
		return
	}
	b.make(news.KindReport, string(e.id), reportLife, news.Report{Engine: string(e.id), URL: e.url, Data: data})
}

func (b *board) sayLevel(e *entry) {
	b.make(news.KindLevel, string(e.id), levelLife, news.Level{
		Born: e.row.Incarnation, Seq: e.row.Seq,
		Queued: e.row.Queued, Active: e.row.Active, Cached: e.row.KVUsed,
	})
}

func (b *board) sayDown(e *entry) {
	b.make(news.KindDown, string(e.id), newsLife, news.Down{Engine: string(e.id), Born: e.deadInc, Seq: e.deadSeq})
}

func (b *board) doubt(e *entry, weight int) {
	b.make(news.KindDoubt, string(e.id), newsLife, news.Doubt{Engine: string(e.id), Misses: weight})
}

// heard takes an item of another instance. Items of other kinds and bad
// bodies are passed over.
func (b *board) heard(now time.Duration, item news.Item) {
	switch item.Kind {
	case news.KindReport:
		b.heardReport(now, item)
	case news.KindLevel:
		b.heardLevel(now, item)
	case news.KindDoubt:
		b.heardDoubt(now, item)
	case news.KindDown:
		b.heardDown(item)
	case news.KindLeaving:
		var body news.Leaving
		if news.Decode(item, &body) != nil {
			return
		}
		if e := b.get(spec.UpstreamID(body.Upstream)); e != nil {
			b.leave(e, false)
		} else {
			b.post(domain.EngineLeaving{Engine: spec.UpstreamID(body.Upstream)})
		}
	}
}

func (b *board) heardReport(now time.Duration, item news.Item) {
	var body news.Report
	var report frame.Engine
	if news.Decode(item, &body) != nil || body.Engine == "" || json.Unmarshal(body.Data, &report) != nil {
		return
	}
	e := b.locate(now, spec.UpstreamID(body.Engine), body.URL)
	b.told(now, e, report, engine.Row(e.id, report))
}

// heardLevel puts the load into the last whole report. A level of another
// incarnation has to wait for that one's report.
func (b *board) heardLevel(now time.Duration, item news.Item) {
	var body news.Level
	if news.Decode(item, &body) != nil {
		return
	}
	e := b.get(spec.UpstreamID(item.Key))
	if e == nil || !e.known || body.Born != e.row.Incarnation {
		return
	}
	row, report := e.row, e.body
	row.Seq, row.Queued, row.Active, row.KVUsed = body.Seq, body.Queued, body.Active, body.Cached
	report.Seq, report.Queued, report.Active, report.Cached = body.Seq, body.Queued, body.Active, body.Cached
	b.told(now, e, report, row)
}

// told takes another watcher's report.
func (b *board) told(now time.Duration, e *entry, body frame.Engine, row domain.Engine) {
	e.other = now
	old := e.known && row.Incarnation == e.row.Incarnation && row.Seq <= e.row.Seq
	// An engine that tells no incarnation counts from one again after a death;
	// the routing logic holds back what may still be of before.
	if old && (!e.down || row.Incarnation != 0) {
		return
	}
	// It is later than what was known when the misses here began.
	e.alive = now
	b.crashedElsewhere(e, row)
	b.seen(now, e, body, row)
}

// crashedElsewhere posts a restart that another watcher's report shows.
func (b *board) crashedElsewhere(e *entry, row domain.Engine) {
	if e.known && !e.down && row.Incarnation != e.row.Incarnation {
		b.die(e)
		e.down = false
	}
}

func (b *board) heardDoubt(now time.Duration, item news.Item) {
	var body news.Doubt
	if news.Decode(item, &body) != nil {
		return
	}
	e := b.get(spec.UpstreamID(body.Engine))
	if e == nil {
		return
	}
	e.doubts = slices.DeleteFunc(e.doubts, func(d doubt) bool { return d.origin == item.Origin })
	if body.Misses > 0 {
		e.doubts = append(e.doubts, doubt{origin: item.Origin, misses: body.Misses, until: now + doubtLife})
	}
	b.judge(now, e)
}

// heardDown takes the loss that the watchers agreed on, unless a later report
// came in the meantime.
func (b *board) heardDown(item news.Item) {
	var body news.Down
	if news.Decode(item, &body) != nil {
		return
	}
	e := b.get(spec.UpstreamID(body.Engine))
	if e == nil || e.down {
		return
	}
	if e.known && (e.row.Incarnation != body.Born || e.row.Seq > body.Seq) {
		return
	}
	b.die(e)
	e.deadInc, e.deadSeq = body.Born, body.Seq
}
