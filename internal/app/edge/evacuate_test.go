package edge_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"fulmarwick/internal/app/setup"
	"fulmarwick/internal/fakes/depot"
	"fulmarwick/platform/stand"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// runStreams runs n streams of 400 events through instance 0 and calls action once all
// of them are in progress. Each answer must be complete.
func (f *fixture) runStreams(n int, action func()) {
	f.t.Helper()
	done := make(chan callerResponse, n)
	for k := range n {
		go func() { done <- f.request(0, http.MethodPost, "/write/1", fmt.Sprintf("long-%d", k), "300,1200") }()
	}
	time.Sleep(500 * time.Millisecond)
	action()
	for range n {
		if a := <-done; a.err != nil || a.events != 400 {
			f.t.Errorf("got %d with %d events (%v), want all 400", a.status, a.events, a.err)
		}
	}
}

// Guards against cutting a stream whose leaving engine still runs it, while no other
// engine has the free KV memory to continue it.
func TestLeavingEngineKeepsStreamsWhileOthersLackMemory(t *testing.T) {
	for name, rejectPaths := range map[string]bool{"other paths accepted": false, "other paths rejected": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, 1)
				defer f.close()
				f.runStreams(12, func() {
					f.site.RejectRuns(true)
					if rejectPaths {
						f.site.RejectRepaths()
					}
					for range 4 {
						f.site.DrainEngine(f.busiestReadyEngine())
						time.Sleep(300 * time.Millisecond)
					}
				})
			})
		})
	}
}

// Guards against giving up a stream whose engine died as soon as another engine rejects
// it, although capacity becomes free a moment later.
func TestStreamOfDeadEngineWaitsForCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixtureWithRetry(t, 1, setup.Retry{Ratio: 0, Allowance: 40, Window: 10 * time.Second})
		defer f.close()
		f.runStreams(4, func() {
			f.site.RejectRuns(true)
			f.site.Crash(f.busiestReadyEngine())
			time.Sleep(1200 * time.Millisecond)
			f.site.RejectRuns(false)
		})
	})
}

// Guards against cutting streams at once because too many others wait to be continued:
// four engines crash under full KV memory, and answers end rarely. A stream that its
// caller has a part of may end early only at its deadline.
func TestBegunStreamsAreNotCutWhileManyWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1)
		defer f.close()
		const streams, events = 160, 400
		var begun atomic.Int32
		var callers sync.WaitGroup
		for k := range streams {
			callers.Go(func() {
				start := time.Now()
				a := f.request(0, http.MethodPost, "/write/1", fmt.Sprintf("long-%d", k), "9000,1200")
				took := time.Since(start)
				switch {
				case a.status == http.StatusOK:
					begun.Add(1)
					if a.events < events && took < 19*time.Second {
						t.Errorf("got %d of %d events (%v) after %s, want all or the wait until the deadline", a.events, events, a.err, took)
					}
				case a.status != http.StatusServiceUnavailable:
					t.Errorf("got %d (%v) after %s for an answer that has not begun, want it refused", a.status, a.err, took)
				}
			})
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(500 * time.Millisecond)
		for range 4 {
			f.site.Crash(f.busiestReadyEngine())
		}
		callers.Wait()
		if n := begun.Load(); n < 20 {
			t.Errorf("got %d streams that began, want 20 or more", n)
		}
	})
}

// Guards against cutting a begun stream as a request that crashes engines although each
// engine delivered many events of it. Three of its first engines fall silent without
// closing a connection, one after the other, and engines reject runs for a moment each
// time, so that the next run begins after the death and not at the same instant of the
// virtual clock. Other engines are left, and the caller still has half of its time.
func TestBegunStreamOutlivesSilentEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, logs := observer.New(zap.WarnLevel)
		f := newFixtureFrom(t, &depot.Depot{Instances: 1, Log: zap.New(core)})
		defer f.close()
		a := f.runLongStream(3, 2200*time.Millisecond, func(int) {
			f.site.RejectRuns(true)
			f.site.Freeze(f.busiestReadyEngine(), time.Minute)
			time.Sleep(800 * time.Millisecond)
			f.site.RejectRuns(false)
		})
		if a.body != wholeAnswer("long", 600) {
			living, all := f.site.EnginesReached("long")
			t.Errorf("got %d with %d events (%v), longest pause %s, reason %q, %d engines reached, %d of them alive; want all 600 events",
				a.status, a.events, a.err, a.longestGap, loggedReason(logs, "long"), all, living)
		}
	})
}

// Guards against a stream that crashes each engine soon after it begins to run it, and is
// continued on one engine after the other.
func TestStreamThatCrashesEnginesIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1)
		defer f.close()
		done := make(chan callerResponse, 1)
		go func() { done <- f.request(0, http.MethodPost, "/write/1", "poison", "300,1200") }()
		crashes := 0
		for range 8 {
			time.Sleep(300 * time.Millisecond)
			if e := f.busiestEngine(); e.Running() > 0 {
				f.site.RejectRuns(true)
				f.site.Crash(e)
				crashes++
			}
			time.Sleep(100 * time.Millisecond)
			f.site.RejectRuns(false)
		}
		if a := <-done; a.events >= 400 || crashes > 4 {
			t.Errorf("got %d with %d events after %d crashes, want the request given up after 4 at most", a.status, a.events, crashes)
		}
	})
}

// Guards against streams that stall for seconds on an engine that left the list, kept its
// runs since other paths were rejected, and then exits without closing a connection.
func TestUnlistedEngineThatExitsIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1)
		defer f.close()
		f.site.RejectRepaths()
		a := f.runLongStream(1, 0, func(int) {
			for _, e := range f.site.Engines() {
				if e.Streams() > 0 && e.Running() == 0 {
					f.site.RemoveRow(e)
					time.Sleep(2 * time.Second)
					f.site.StopResponding(e)
					return
				}
			}
			t.Error("got no engine of a later stage, want one")
		})
		if a.body != wholeAnswer("long", 600) || a.longestGap > time.Second {
			t.Errorf("got %d with %d events (%v) and a pause of %s, want all 600 without a pause over 1s", a.status, a.events, a.err, a.longestGap)
		}
	})
}

// busiestReadyEngine returns the engine that is the first stage of the most runs, among
// the engines that are not leaving.
func (f *fixture) busiestReadyEngine() *stand.Engine {
	return f.busiestEngineOf((*stand.Engine).Serving)
}
