package edge_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"fulmarwick/internal/app/setup"
	"fulmarwick/internal/fakes/depot"
	"fulmarwick/platform/stand"
)

// sendStreams starts n streams of 60 events, one stream every 20 ms, and calls action
// after half of them have started. It returns all answers.
func (f *fixture) sendStreams(n int, action func()) []callerResponse {
	got := make([]callerResponse, n)
	var callers sync.WaitGroup
	for k := range n {
		if k == n/2 {
			action()
		}
		callers.Go(func() {
			id := fmt.Sprintf("f%d", k)
			got[k] = f.request(k%len(f.instances), http.MethodPost, "/write/1", id, "700,180")
			if want := wholeAnswer(id, 60); got[k].status != http.StatusOK || got[k].body != want {
				f.t.Errorf("got %d with %d events (%v) for %s, want 60", got[k].status, got[k].events, got[k].err, id)
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	callers.Wait()
	return got
}

// countLongGaps returns how many answers had a pause between events longer than limit.
func countLongGaps(all []callerResponse, limit time.Duration) int {
	n := 0
	for _, a := range all {
		if a.longestGap > limit {
			n++
		}
	}
	return n
}

// runLongStream runs a stream of 600 events with request ID "long" and calls action
// several times while it is answered: each time after half a second, followed by a
// further wait.
func (f *fixture) runLongStream(times int, wait time.Duration, action func(n int)) callerResponse {
	done := make(chan callerResponse)
	go func() { done <- f.request(0, http.MethodPost, "/write/1", "long", "300,1800") }()
	for n := range times {
		time.Sleep(500 * time.Millisecond)
		action(n)
		time.Sleep(wait)
	}
	return <-done
}

// busiestEngine returns the engine that is the first stage of the most runs. If no
// engine is a first stage, it may return one that holds layers of the middle.
func (f *fixture) busiestEngine() *stand.Engine {
	return f.busiestEngineOf(func(*stand.Engine) bool { return true })
}

// busiestEngineOf returns the engine that is the first stage of the most runs, among the
// engines that match.
func (f *fixture) busiestEngineOf(matches func(*stand.Engine) bool) *stand.Engine {
	var best *stand.Engine
	for _, e := range f.site.Engines() {
		if matches(e) && (best == nil || e.Running() > best.Running()) {
			best = e
		}
	}
	return best
}

// nextStageEngine returns an engine in the data centre of e that holds the layers after
// those of e.
func (f *fixture) nextStageEngine(e *stand.Engine) *stand.Engine {
	_, to := e.LoadedLayers()
	for _, other := range f.site.Engines() {
		if from, _ := other.LoadedLayers(); from == to && other.Zone == e.Zone {
			return other
		}
	}
	f.t.Fatal("got no engine that holds the next layers in the same data centre, want one")
	return nil
}

// Guards against streams that are cut or stall when an engine of a later stage stops
// responding under load without a connection reset. Its streams must continue over
// another path: every answer is complete, and 9 in 10 of all answers have no pause
// above the target of 200 ms.
func TestStreamsSurviveUnresponsiveLaterStage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 4)
		defer f.close()
		got := f.sendStreams(200, func() { f.site.StopResponding(f.nextStageEngine(f.busiestEngine())) })
		if n := countLongGaps(got, 200*time.Millisecond); n > len(got)/10 {
			t.Errorf("got %d of %d answers with a pause over 200ms, want a tenth at most", n, len(got))
		}
	})
}

// Guards against lost or repeated events when the engine that is the first stage of
// many streams stops responding or crashes. Other engines must resume its streams
// after the last event that each caller received.
func TestStreamsResumeAfterDeadFirstStage(t *testing.T) {
	for name, fail := range map[string]func(*stand.Site, *stand.Engine){"unresponsive": (*stand.Site).StopResponding, "crash": (*stand.Site).Crash} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, 4)
				defer f.close()
				got := f.sendStreams(200, func() { fail(f.site, f.busiestEngine()) })
				if n := countLongGaps(got, time.Second); n > 0 {
					t.Errorf("got %d answers with a pause over 1s, want none", n)
				}
			})
		})
	}
}

// Guards against new runs on an engine that announced that it is leaving. Two seconds
// after the announcement no run may use it as first stage, and the streams that it
// ran must be complete.
func TestLeavingEngineGetsNoNewRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 4)
		defer f.close()
		var leaving *stand.Engine
		f.sendStreams(200, func() {
			leaving = f.busiestEngine()
			f.site.DrainEngine(leaving)
			time.Sleep(2 * time.Second)
			if n := leaving.Running(); n > 0 {
				t.Errorf("got %d runs on the leaving engine after 2s, want none", n)
			}
		})
		if n := leaving.Running(); n > 0 {
			t.Errorf("got %d runs on the leaving engine at the end, want none", n)
		}
	})
}

// Guards against bookings (requests that must run at most once) that run twice. The
// upstream may run the booking and lose the answer, hang, fail, reject it, or answer
// another request first. Only a rejection may be retried on another upstream.
func TestBookingRunsAtMostOnce(t *testing.T) {
	tests := []struct {
		name    string
		outcome stand.Outcome
		status  int
		runs    int
	}{
		{"answer lost", stand.OutcomeDropConnection, http.StatusBadGateway, 1},
		{"hangs", stand.OutcomeHang, http.StatusGatewayTimeout, 1},
		{"fails", stand.OutcomeError, http.StatusInternalServerError, 1},
		{"refuses", stand.OutcomeReject, http.StatusServiceUnavailable, 0},
		{"answers another first", stand.OutcomeWrongRequest, http.StatusOK, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, 1)
				defer f.close()
				for _, d := range f.site.PlainUpstreams() {
					d.ChooseOutcome = func(*http.Request) stand.Outcome { return test.outcome }
				}
				a := f.request(0, http.MethodPost, "/book/1", "b", "")
				if a.status != test.status || f.site.Runs("b") != test.runs {
					t.Errorf("got %d after %d runs (%v), want %d after %d", a.status, f.site.Runs("b"), a.err, test.status, test.runs)
				}
				if hasRetryAfter := a.header.Get("Retry-After") != ""; hasRetryAfter != (test.runs == 0) {
					t.Errorf("got Retry-After set: %v, want it only if the booking has not run", hasRetryAfter)
				}
			})
		})
	}
}

// Guards against failed or late look-ups (idempotent requests) when one upstream
// loses answers, hangs, rejects or fails while the others are healthy. Another
// upstream must answer the caller within 300 ms.
func TestLookUpIsRetriedOnAnotherUpstream(t *testing.T) {
	for name, outcome := range map[string]stand.Outcome{"lose": stand.OutcomeDropConnection, "hang": stand.OutcomeHang, "shed": stand.OutcomeReject, "fail": stand.OutcomeError} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, 1)
				defer f.close()
				f.site.PlainUpstreams()[0].ChooseOutcome = func(*http.Request) stand.Outcome { return outcome }
				for n := range 20 {
					id := fmt.Sprintf("l%d", n)
					start := time.Now()
					a := f.request(0, http.MethodGet, "/look/1", id, "")
					if took := time.Since(start); a.status != http.StatusOK || took > 300*time.Millisecond {
						t.Errorf("got %d after %s, want 200 within 300ms", a.status, took)
					}
					time.Sleep(100 * time.Millisecond)
				}
			})
		})
	}
}

// Guards against an instance that stays on an old configuration while the store
// rejects its calls. Meanwhile a new configuration drops an API key, and the store
// loses its history. The instance must receive the configuration from its peers
// within two seconds and reject the key.
func TestInstanceWithoutStoreLearnsConfigFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 3)
		defer f.close()
		var rejecting atomic.Bool
		f.site.Store.SetFault(func(r *http.Request) stand.Fault {
			return stand.Fault{Unavailable: rejecting.Load() && strings.HasPrefix(r.Header.Get("User-Agent"), depot.Settings(0).Instance.Name)}
		})
		rejecting.Store(true)
		time.Sleep(3 * time.Second)
		f.site.Store.Put("op", "config", []byte(strings.Replace(string(f.site.Config(2)), "key-1", "key-0", 1)))
		f.site.Store.DropHistory()
		time.Sleep(2 * time.Second)
		for k := range f.instances {
			if a := f.request(k, http.MethodPost, "/book/1", fmt.Sprintf("k%d", k), ""); a.status != http.StatusUnauthorized {
				t.Errorf("got %d from instance %d, want 401 for the dropped key", a.status, k)
			}
		}
	})
}

// Guards against requests that fail while the store does not respond for 20 seconds
// under load. Every answer must be complete.
func TestServesWhileStoreIsUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2)
		defer f.close()
		var unresponsive atomic.Bool
		f.site.Store.SetFault(func(*http.Request) stand.Fault { return stand.Fault{Unresponsive: unresponsive.Load()} })
		f.sendStreams(400, func() { unresponsive.Store(true) })
		time.Sleep(20 * time.Second)
		f.sendStreams(50, func() { unresponsive.Store(false) })
	})
}

// Guards against streams that are cut when an instance is stopped under load.
// Requests that arrive on keep-alive connections are answered, and their callers are
// asked to connect elsewhere. Every stream that the instance began must be complete.
func TestStopCutsNoStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2)
		defer f.close()
		f.sendStreams(100, f.instances[1].Stop)
	})
}

// Guards against requests that get no answer at all because their instance is killed after
// its grace time. Before that, those whose answers have not begun must be answered by the
// router, and begun streams must go on.
func TestStoppingInstanceAnswersBeforeItIsKilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixtureFrom(t, &depot.Depot{Instances: 1, Kill: 8 * time.Second})
		defer f.close()
		begun := make(chan time.Duration, 1)
		go func() {
			start := time.Now()
			f.request(0, http.MethodPost, "/write/1", "begun", "300,1800")
			begun <- time.Since(start)
		}()
		time.Sleep(200 * time.Millisecond)
		for _, e := range f.site.Engines() {
			f.site.SetSlowdown(e, 5000)
		}
		f.instances[0].Stop()
		start := time.Now()
		waiting := f.request(0, http.MethodPost, "/write/2", "waiting", "300,1800")
		if took := time.Since(start); waiting.err != nil || waiting.status != http.StatusBadGateway || took < 7*time.Second || took > 8*time.Second {
			t.Errorf("got %d and %v after %s, want 502 shortly before 8 s", waiting.status, waiting.err, took)
		}
		if took := <-begun; took < 19*time.Second {
			t.Errorf("got the begun stream ended after %s, want it to go on to its deadline", took)
		}
	})
}

// Guards against requests that a stopping instance accepts so late that it is killed before
// their answers can end.
func TestStoppingInstanceRefusesLateRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1)
		defer f.close()
		f.instances[0].Stop()
		start := time.Now()
		for n := range 30 {
			at := time.Since(start)
			a := f.request(0, http.MethodPost, "/book/1", fmt.Sprintf("b%d", n), "")
			if late := at >= 2700*time.Millisecond; (a.status == http.StatusOK) == late {
				t.Errorf("got %d and %v for a request after %s, want served %v", a.status, a.err, at, !late)
			}
			time.Sleep(73 * time.Millisecond)
		}
	})
}

// Guards against an engine that stays without layers because the instance that plans
// ended. An engine that joins empty must hold layers within 8 s, whichever instance ended,
// and none may be ordered to hold more than its memory.
func TestEmptyEngineIsPlaced(t *testing.T) {
	const instances = 3
	for stopped := range instances {
		t.Run(fmt.Sprintf("instance %d ended", stopped), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, instances)
				defer f.close()
				f.instances[stopped].Stop()
				time.Sleep(10 * time.Second)
				e := &stand.Engine{ID: "new", Address: "10.1.64.99:8080", Zone: "east", Card: stand.DefaultDeployment.Cards[0]}
				f.site.AddEngine(e)
				time.Sleep(8 * time.Second)
				if from, to := e.LoadedLayers(); to-from == 0 {
					t.Error("got a new engine without layers after 8s, want it to hold some")
				}
			})
		})
	}
}

// Guards against a long stream that is cut when its first engine leaves, three times
// in a row: the engine that continues the stream leaves as well. The router moves the
// stream each time, and the caller must receive all events.
func TestStreamOutlivesLeavingEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1)
		defer f.close()
		a := f.runLongStream(3, 2500*time.Millisecond, func(int) { f.site.DrainEngine(f.busiestEngine()) })
		if a.body != wholeAnswer("long", 600) {
			t.Errorf("got %d with %d events (%v), want all 600", a.status, a.events, a.err)
		}
	})
}

// Guards against too many runs of a stream whose first engines leave one after the
// other but keep serving their runs for long. Each new run counts as an attempt, of
// which the route allows two. After that the stream must stay on the leaving engine
// and be complete.
func TestLeavingFirstEnginesCountAsAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1)
		defer f.close()
		a := f.runLongStream(3, 2500*time.Millisecond, func(int) { f.site.DrainEngine(f.busiestEngine()) })
		if a.body != wholeAnswer("long", 600) {
			t.Errorf("got %d with %d events (%v), want all 600", a.status, a.events, a.err)
		}
		if n := f.site.Runs("long"); n > 2 {
			t.Errorf("got %d runs, want 2 at most", n)
		}
	})
}

// Guards against declaring an engine dead while it changes its layers. The first
// engine of a stream is ordered to hold other layers, three times in a row: it rejects
// new runs and reports no layers, but continues the runs that it has. The stream must
// stay on it or continue elsewhere as an attempt, of which the route allows two, and
// be complete.
func TestEngineThatChangesLayersIsNotDead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1)
		defer f.close()
		a := f.runLongStream(3, 1500*time.Millisecond, func(n int) {
			e := f.busiestEngine()
			from, to := e.LoadedLayers()
			f.site.Place(e, from, to-1)
			// Further requests are rejected by the engine, so that its report is fetched.
			for k := range 8 {
				go func() { f.request(0, http.MethodPost, "/write/1", fmt.Sprintf("short-%d-%d", n, k), "300,30") }()
			}
		})
		if a.body != wholeAnswer("long", 600) {
			t.Errorf("got %d with %d events (%v), want all 600", a.status, a.events, a.err)
		}
		if n := f.site.Runs("long"); n > 2 {
			t.Errorf("got %d runs, want 2 at most", n)
		}
		time.Sleep(5 * time.Second)
	})
}

// Guards against cut streams when the retry budget is used up and the first engine of
// many streams leaves but keeps serving its runs for long. A stream that may not be
// retried elsewhere must stay on that engine, and its caller gets the complete answer.
func TestStreamsStayWhenRetryBudgetIsSpent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixtureWithRetry(t, 1, setup.Retry{Ratio: 0, Allowance: 2, Window: 10 * time.Second})
		defer f.close()
		f.runStreams(12, func() {
			for range 3 {
				f.site.DrainEngine(f.busiestEngine())
			}
		})
	})
}

// Guards against too many runs of a stream when engines of its later stages leave one
// after the other and engines reject a change of its path. While its first engine is
// alive, each new run counts as an attempt, of which the route allows two. After that
// the stream must stay where it is and be complete.
func TestMovedStreamStaysWithinAttemptLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1)
		defer f.close()
		f.site.RejectRepaths()
		a := f.runLongStream(4, 2500*time.Millisecond, func(int) {
			for _, e := range f.site.Engines() {
				if e.Streams() > 0 && e.Running() == 0 {
					f.site.DrainEngine(e)
					break
				}
			}
		})
		if a.body != wholeAnswer("long", 600) {
			t.Errorf("got %d with %d events (%v), want all 600", a.status, a.events, a.err)
		}
		if n := f.site.Runs("long"); n > 2 {
			t.Errorf("got %d runs, want 2 at most", n)
		}
	})
}
