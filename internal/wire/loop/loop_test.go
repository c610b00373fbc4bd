package loop_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/core"
	"fulmarwick/internal/route/domain"
	"fulmarwick/internal/wire/loop"
)

// echoLogic starts every request that arrives; it counts its ticks and records the events.
type echoLogic struct {
	mu     sync.Mutex
	ticks  int
	events []domain.Event
}

func (e *echoLogic) Tick(_ time.Duration, events []domain.Event) []domain.Command {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ticks++
	var out []domain.Command
	for _, event := range events {
		e.events = append(e.events, event)
		if arrived, ok := event.(domain.RequestArrived); ok {
			out = append(out, domain.Start{Request: arrived.Request, Attempt: 1})
		}
	}
	return out
}

func (e *echoLogic) counts() (ticks, seen int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ticks, len(e.events)
}

// startLoop runs l in the synctest bubble of the test until the test ends.
func startLoop(t *testing.T, l *loop.Loop) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = l.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

func TestDecisionReachesItsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &loop.Loop{Logic: &echoLogic{}}
		startLoop(t, l)
		for _, id := range []spec.RequestID{"a", "b"} {
			ch := l.Watch(id)
			l.Post(domain.RequestArrived{Request: id})
			got, ok := (<-ch).(domain.Start)
			if !ok || got.Request != id {
				t.Errorf("got %+v, want the start of %s", got, id)
			}
			l.Unwatch(id)
		}
		if got := l.WatchCount(); got != 0 {
			t.Errorf("got %d watched, want 0", got)
		}
	})
}

func TestTicksWithoutEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		logic := &echoLogic{}
		startLoop(t, &loop.Loop{Logic: logic})
		time.Sleep(time.Second + time.Millisecond)
		synctest.Wait()
		if got, _ := logic.counts(); got != 50 {
			t.Errorf("got %d ticks in a second, want 50", got)
		}
	})
}

// Callers send more requests than the queue holds. Arrivals above the limit must be
// refused at once, with a Retry-After, and must never reach the logic. Events that end
// requests must still be kept.
func TestArrivalsAboveLimitAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		logic := &echoLogic{}
		l := &loop.Loop{Logic: logic, MaxArrivals: 3}
		var refused int
		var watched []<-chan domain.Command
		for i := range 5 {
			id := spec.RequestID(fmt.Sprint(i))
			watched = append(watched, l.Watch(id))
			l.Post(domain.RequestArrived{Request: id})
			l.Post(domain.RequestFinished{Request: id})
		}
		for _, ch := range watched {
			select {
			case c := <-ch:
				if r, ok := c.(domain.Refuse); ok && r.Reason == domain.ReasonOverload && r.RetryAfter > 0 && !r.Ran {
					refused++
				}
			default:
			}
		}
		if refused != 2 {
			t.Errorf("got %d refusals before the loop ran, want 2", refused)
		}
		startLoop(t, l)
		synctest.Wait()
		if _, got := logic.counts(); got != 3+5 {
			t.Errorf("got %d events in the logic, want 3 arrivals and 5 finished events", got)
		}
	})
}

// The goroutine of a request has ended, or no longer reads, when commands for the request
// are delivered. The loop must go on serving other requests and keep no state of this one.
func TestFinishedRequestDoesNotBlockLoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &loop.Loop{Logic: &echoLogic{}}
		startLoop(t, l)
		l.Watch("deaf")
		for range 100 {
			l.Post(domain.RequestArrived{Request: "deaf"})
			l.Post(domain.RequestArrived{Request: "gone"})
			synctest.Wait()
		}
		ch := l.Watch("a")
		l.Post(domain.RequestArrived{Request: "a"})
		<-ch
		l.Unwatch("a")
		l.Unwatch("deaf")
		if got := l.WatchCount(); got != 0 {
			t.Errorf("got %d watched, want 0", got)
		}
	})
}

func TestInspectRunsBetweenTicks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &loop.Loop{Logic: &echoLogic{}}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- l.Run(ctx) }()
		ran := false
		if err := l.Inspect(ctx, func() { ran = true }); err != nil || !ran {
			t.Errorf("got %v and ran %v, want nil and true", err, ran)
		}
		cancel()
		if err := <-done; err != nil {
			t.Errorf("got %v from Run, want nil", err)
		}
		if err := l.Inspect(context.Background(), func() {}); err == nil {
			t.Error("got nil from a loop that ended, want an error")
		}
	})
}

func TestCommandWithoutRequestReachesHandler(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		got := make(chan domain.Command, 1)
		l := &loop.Loop{Logic: warningLogic{}, HandleCommand: func(c domain.Command) {
			select {
			case got <- c:
			default:
			}
		}}
		startLoop(t, l)
		if c, ok := (<-got).(domain.ReportSuspect); !ok || c.Fingerprint != 7 {
			t.Errorf("got %+v, want the warning", c)
		}
	})
}

type warningLogic struct{}

func (warningLogic) Tick(time.Duration, []domain.Event) []domain.Command {
	return []domain.Command{domain.ReportSuspect{Fingerprint: 7}}
}

// logicWithEngines returns a logic with engines of one model, each of which holds all
// layers.
func logicWithEngines(engines int) *core.Logic {
	logic := &core.Logic{}
	var events []domain.Event
	for i := range engines {
		events = append(events, domain.EngineReport{Engine: domain.Engine{
			ID: spec.UpstreamID(fmt.Sprintf("e%05d", i)), DataCentre: "klang", Kind: "l40s", LayerTime: time.Microsecond,
			Slots: 1 << 20, KVCapacity: 1 << 40, Seq: 1,
			Loaded: []domain.LoadedRange{{Model: "m", Version: "1", Depth: 24, Layers: spec.NewLayers(0, 24)}},
		}})
	}
	target := spec.NewTarget(time.Minute, time.Minute, 0, 95)
	events = append(events, domain.ConfigChanged{
		Version: 1, Classes: []spec.Class{spec.NewModelClass("answer", "m", target)},
		Teams: []spec.Team{spec.NewTeam("t", "t", 1)},
	})
	logic.Tick(0, events)
	return logic
}

// BenchmarkDecision measures the time from Post until the request's goroutine receives the
// decision.
func BenchmarkDecision(b *testing.B) {
	for _, engines := range []int{33, 600} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			l := &loop.Loop{Logic: logicWithEngines(engines)}
			ctx, cancel := context.WithCancel(b.Context())
			done := make(chan struct{})
			go func() { _ = l.Run(ctx); close(done) }()
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				n++
				id := spec.RequestID(fmt.Sprint(n))
				ch := l.Watch(id)
				l.Post(domain.RequestArrived{Request: id, Team: "t", Class: "answer", Model: "m", PromptTokens: 10, MaxTokens: 10, Fingerprint: uint64(n)})
				if _, ok := (<-ch).(domain.Start); !ok {
					b.Fatal("got no start")
				}
				l.Unwatch(id)
				l.Post(domain.RequestFinished{Request: id, Tokens: 10, OK: true})
			}
			cancel()
			<-done
		})
	}
}

// BenchmarkIdleTick measures the cost of a tick without events.
func BenchmarkIdleTick(b *testing.B) {
	for _, engines := range []int{33, 600} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			logic := logicWithEngines(engines)
			now := time.Second
			b.ReportAllocs()
			for b.Loop() {
				now += loop.TickInterval
				logic.Tick(now, nil)
			}
		})
	}
}
