package core_test

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/core"
	"fulmarwick/internal/route/domain"

	"pgregory.net/rapid"
)

// drawEvent draws a random event over a small set of IDs, so that events
// often concern the same request or engine.
func drawEvent(t *rapid.T) domain.Event {
	engineID := spec.UpstreamID(rapid.SampledFrom([]string{"a1", "a2", "b1", "b2", "b3"}).Draw(t, "engine"))
	request := spec.RequestID(fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "request")))
	n := rapid.IntRange(0, 40).Draw(t, "n")
	switch rapid.IntRange(0, 17).Draw(t, "kind") {
	case 0, 1, 2, 3:
		return domain.RequestArrived{
			Request: request, Team: spec.TeamID(fmt.Sprint("t", n%3)), Class: "c", Model: testModel,
			PromptTokens: 1 + n*10, MaxTokens: 1 + n, Fingerprint: uint64(n % 5), Hops: n % 2, BlockHashes: []uint64{uint64(n % 3), 7},
		}
	case 4:
		return domain.RequestProgress{Request: request, Tokens: n}
	case 5, 6:
		return domain.StageLost{Request: request, Attempt: uint32(1 + n%3), Engine: engineID, Cause: domain.Cause(n % 5)}
	case 7:
		return domain.RequestFinished{Request: request, Tokens: n, FirstToken: time.Duration(n) * time.Millisecond, TotalTime: time.Second, OK: n%4 > 0}
	case 8:
		return domain.RequestCanceled{Request: request}
	case 9, 10:
		e := newEngine(string(engineID), 0, 4)
		if engineID[0] == 'b' {
			e = newEngine(string(engineID), 4, 8)
		}
		e.Seq, e.Active, e.Queued, e.Incarnation = uint64(n), n%5, n%3, uint64(n%2)
		return domain.EngineReport{Engine: e}
	case 11:
		return domain.EngineDead{Engine: engineID}
	case 12:
		return domain.EngineRemoved{Engine: engineID}
	case 13:
		return domain.HopMeasured{Engine: engineID, P50: time.Duration(n) * time.Millisecond, Count: 1}
	case 14:
		return domain.PeerLoad{Peer: spec.InstanceID(fmt.Sprint("p", n%3)), Engine: engineID, Active: n, LayerTokenRate: n * 50}
	case 15:
		return domain.PeerRemoved{Peer: spec.InstanceID(fmt.Sprint("p", n%3))}
	case 16:
		return domain.SuspectReported{Fingerprint: uint64(n % 5), Crashes: n % 3, Engine: engineID}
	default:
		return domain.CacheReport{Engine: engineID, Seq: uint64(n), Added: []uint64{uint64(n % 3)}, Reset: n%7 == 0}
	}
}

// Two Logics with the same seed get the same events and must return the same
// commands, byte for byte. Whatever the events are, every chain must cover
// the model exactly once, no request may be settled twice in one tick, and no
// request that was forwarded here may be forwarded again.
func TestSameEventsSameCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one, two := &core.Logic{ID: "i", Seed: 3}, &core.Logic{ID: "i", Seed: 3}
		config := domain.ConfigChanged{Version: 1, Classes: []spec.Class{spec.NewModelClass("c", testModel, spec.NewTarget(time.Second, 0, 0, 90))}}
		first := []domain.Event{config, domain.EngineReport{Engine: newEngine("a1", 0, 4)}, domain.EngineReport{Engine: newEngine("b1", 4, 8)}}
		one.Tick(0, first)
		two.Tick(0, first)
		now := time.Duration(0)
		hops := map[spec.RequestID]int{}
		for range rapid.IntRange(1, 40).Draw(t, "ticks") {
			now += time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond
			var events []domain.Event
			for range rapid.IntRange(0, 6).Draw(t, "events") {
				ev := drawEvent(t)
				if a, ok := ev.(domain.RequestArrived); ok && one.State().Requests().Get(a.Request) == nil {
					if _, twice := hops[a.Request]; twice {
						continue
					}
					hops[a.Request] = a.Hops
				}
				events = append(events, ev)
			}
			got, want := one.Tick(now, events), two.Tick(now, events)
			if !reflect.DeepEqual(got, want) {
				t.Fatalf("got %v, want %v", got, want)
			}
			checkCommands(t, got, hops)
		}
	})
}

func checkCommands(t *rapid.T, cs []domain.Command, hops map[spec.RequestID]int) {
	settled := map[spec.RequestID]bool{}
	for _, c := range cs {
		var id spec.RequestID
		switch c := c.(type) {
		case domain.Start:
			id = c.Request
			if err := c.Chain.Check(c.Depth); err != nil {
				t.Fatalf("request %s: %v", id, err)
			}
		case domain.Refuse:
			id = c.Request
		case domain.Forward:
			id = c.Request
			if hops[id] > 0 {
				t.Fatalf("request %s was forwarded here and forwarded again", id)
			}
		default:
			continue
		}
		if settled[id] {
			t.Fatalf("request %s was settled twice in one tick: %+v", id, cs)
		}
		settled[id] = true
	}
}
