package core_test

import (
	"fmt"
	"testing"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/core"
	"fulmarwick/internal/route/domain"
)

// BenchmarkTick measures a tick with the report of one engine, one arrival
// and one finished request among many engines, and an idle tick in which
// nothing changed. There are four layer ranges per model and one model per
// 120 engines, at most 5.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{33, 600, 6000} {
		l := &core.Logic{ID: "a", Seed: 1}
		models := min(5, 1+n/120)
		var classes []spec.Class
		for m := range models {
			name := fmt.Sprint("m", m)
			classes = append(classes, spec.NewModelClass(spec.ClassName(name), spec.ModelName(name), spec.NewTarget(time.Minute, 0, 0, 95)))
		}
		events := []domain.Event{domain.ConfigChanged{Version: 1, Classes: classes}}
		var rows []domain.Engine
		for i := range n {
			part := i % 4
			e := newEngine(fmt.Sprintf("e%05d", i), 2*part, 2*part+2)
			e.LayerTime *= time.Duration(1 + i/4%5)
			e.Slots = 16
			e.Loaded[0].Model = spec.ModelName(fmt.Sprint("m", i/4%models))
			rows = append(rows, e)
			events = append(events, domain.EngineReport{Engine: e})
		}
		l.Tick(0, events)
		now := time.Second
		b.Run(fmt.Sprintf("%d/busy", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				now += time.Millisecond
				e := &rows[i%n]
				e.Seq++
				id := spec.RequestID(fmt.Sprint(now))
				m := fmt.Sprint("m", i%models)
				l.Tick(now, []domain.Event{
					domain.EngineReport{Engine: *e},
					domain.RequestArrived{Request: id, Team: "t", Class: spec.ClassName(m), Model: spec.ModelName(m), PromptTokens: 256, MaxTokens: 64},
				})
				now += time.Millisecond
				l.Tick(now, []domain.Event{domain.RequestFinished{Request: id, Tokens: 64, FirstToken: time.Second, TotalTime: 2 * time.Second, OK: true}})
			}
		})
		b.Run(fmt.Sprintf("%d/idle", n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				now += 20 * time.Millisecond
				l.Tick(now, nil)
			}
		})
	}
}
