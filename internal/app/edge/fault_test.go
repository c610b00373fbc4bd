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

// sendStreams sends n streams of 60 events, one every 20 ms, while event happens
// after half of them. It returns the answers.
func (w *fixture) sendStreams(n int, event func()) []callerResponse {
	got := make([]callerResponse, n)
	var callers sync.WaitGroup
	for k := range n {
		if k == n/2 {
			event()
		}
		callers.Go(func() {
			id := fmt.Sprintf("f%d", k)
			got[k] = w.request(k%len(w.instances), http.MethodPost, "/write/1", id, "700,180")
			if want := wholeAnswer(id, 60); got[k].status != http.StatusOK || got[k].body != want {
				w.t.Errorf("got %d with %d events (%v) for %s, want 60", got[k].status, got[k].events, got[k].err, id)
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	callers.Wait()
	return got
}

// countLongGaps is how many answers paused for longer than a time.
func countLongGaps(all []callerResponse, most time.Duration) int {
	n := 0
	for _, a := range all {
		if a.longestGap > most {
			n++
		}
	}
	return n
}

// runLongStream runs a stream of 600 events, named long, and lets event happen several
// times while it is answered: each time half a second on, with a rest after it.
func (w *fixture) runLongStream(times int, rest time.Duration, event func(n int)) callerResponse {
	done := make(chan callerResponse)
	go func() { done <- w.request(0, http.MethodPost, "/write/1", "long", "300,1800") }()
	for n := range times {
		time.Sleep(500 * time.Millisecond)
		event(n)
		time.Sleep(rest)
	}
	return <-done
}

// busiestEngine is the engine with the most runs as their first, or one that is on
// no path as first but holds layers of the middle.
func (w *fixture) busiestEngine() *stand.Engine {
	return w.busiestEngineOf(func(*stand.Engine) bool { return true })
}

// busiestEngineOf is the engine with the most runs as their first among some.
func (w *fixture) busiestEngineOf(some func(*stand.Engine) bool) *stand.Engine {
	var best *stand.Engine
	for _, e := range w.site.Engines() {
		if some(e) && (best == nil || e.Running() > best.Running()) {
			best = e
		}
	}
	return best
}

// nextStageEngine is an engine of the same data centre that holds the layers after e.
func (w *fixture) nextStageEngine(e *stand.Engine) *stand.Engine {
	_, to := e.LoadedLayers()
	for _, other := range w.site.Engines() {
		if from, _ := other.LoadedLayers(); from == to && other.Zone == e.Zone {
			return other
		}
	}
	w.t.Fatal("got no engine after the busiest one, want one")
	return nil
}

// A later stage falls silent under load, without a reset. The streams that
// pass it go on over another path: every answer is whole, and 9 in 10 of all
// pause no longer than the target of 200 ms.
func TestStreamsSurviveUnresponsiveLaterStage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(t, 4)
		defer w.close()
		got := w.sendStreams(200, func() { w.site.StopResponding(w.nextStageEngine(w.busiestEngine())) })
		if n := countLongGaps(got, 200*time.Millisecond); n > len(got)/10 {
			t.Errorf("got %d of %d answers with a pause over 200ms, want a tenth at most", n, len(got))
		}
	})
}

// The first stage of many streams dies, by silence or by a crash. Its streams
// are resumed by other engines after the last event that their callers have.
func TestStreamsResumeAfterDeadFirstStage(t *testing.T) {
	for name, end := range map[string]func(*stand.Site, *stand.Engine){"dark": (*stand.Site).StopResponding, "crash": (*stand.Site).Crash} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newFixture(t, 4)
				defer w.close()
				got := w.sendStreams(200, func() { end(w.site, w.busiestEngine()) })
				if n := countLongGaps(got, time.Second); n > 0 {
					t.Errorf("got %d answers with a pause over a second, want none", n)
				}
			})
		})
	}
}

// An engine says that it leaves. After two seconds no new run comes to it, and
// the streams that it carried are whole.
func TestLeavingEngineGetsNoNewRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(t, 4)
		defer w.close()
		var gone *stand.Engine
		w.sendStreams(200, func() {
			gone = w.busiestEngine()
			w.site.DrainEngine(gone)
			time.Sleep(2 * time.Second)
			if n := gone.Running(); n > 0 {
				t.Errorf("got %d runs on the leaving engine after 2s, want none", n)
			}
		})
		if n := gone.Running(); n > 0 {
			t.Errorf("got %d runs on the leaving engine at the end, want none", n)
		}
	})
}

// A booking meets an upstream that runs it and loses the answer, hangs, fails
// or refuses. It runs once at most, and only the refusal is followed by
// another upstream.
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
				w := newFixture(t, 1)
				defer w.close()
				for _, d := range w.site.PlainUpstreams() {
					d.ChooseOutcome = func(*http.Request) stand.Outcome { return test.outcome }
				}
				a := w.request(0, http.MethodPost, "/book/1", "b", "")
				if a.status != test.status || w.site.Runs("b") != test.runs {
					t.Errorf("got %d after %d runs (%v), want %d after %d", a.status, w.site.Runs("b"), a.err, test.status, test.runs)
				}
				if comes := a.header.Get("Retry-After") != ""; comes != (test.runs == 0) {
					t.Errorf("got Retry-After %v, want it only where the booking has not run", comes)
				}
			})
		})
	}
}

// A look-up meets an upstream that loses answers, hangs or refuses while the
// others are sound: the caller gets an answer of another one in time.
func TestLookUpIsRetriedOnAnotherUpstream(t *testing.T) {
	for name, outcome := range map[string]stand.Outcome{"lose": stand.OutcomeDropConnection, "hang": stand.OutcomeHang, "shed": stand.OutcomeReject, "fail": stand.OutcomeError} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newFixture(t, 1)
				defer w.close()
				w.site.PlainUpstreams()[0].ChooseOutcome = func(*http.Request) stand.Outcome { return outcome }
				for n := range 20 {
					id := fmt.Sprintf("l%d", n)
					start := time.Now()
					a := w.request(0, http.MethodGet, "/look/1", id, "")
					if took := time.Since(start); a.status != http.StatusOK || took > 300*time.Millisecond {
						t.Errorf("got %d after %s, want 200 within 300ms", a.status, took)
					}
					time.Sleep(100 * time.Millisecond)
				}
			})
		})
	}
}

// The store refuses one instance, then loses its history while a new
// configuration is written that drops a key. The instance learns it from the
// others within two seconds and refuses the key.
func TestInstanceWithoutStoreLearnsConfigFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(t, 3)
		defer w.close()
		var cut atomic.Bool
		w.site.Store.SetFault(func(r *http.Request) stand.Fault {
			return stand.Fault{Unavailable: cut.Load() && strings.HasPrefix(r.Header.Get("User-Agent"), depot.Settings(0).Instance.Name)}
		})
		cut.Store(true)
		time.Sleep(3 * time.Second)
		w.site.Store.Put("op", "config", []byte(strings.Replace(string(w.site.Config(2)), "key-1", "key-0", 1)))
		w.site.Store.DropHistory()
		time.Sleep(2 * time.Second)
		for k := range w.instances {
			if a := w.request(k, http.MethodPost, "/book/1", fmt.Sprintf("k%d", k), ""); a.status != http.StatusUnauthorized {
				t.Errorf("got %d from instance %d, want 401 for the dropped key", a.status, k)
			}
		}
	})
}

// The store is away for 20 seconds under load. Every answer comes, whole.
func TestServesWhileStoreIsUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(t, 2)
		defer w.close()
		var down atomic.Bool
		w.site.Store.SetFault(func(*http.Request) stand.Fault { return stand.Fault{Unresponsive: down.Load()} })
		w.sendStreams(400, func() { down.Store(true) })
		time.Sleep(20 * time.Second)
		w.sendStreams(50, func() { down.Store(false) })
	})
}

// An instance is told to stop under load. Callers who come on kept connections
// are answered and turned away; every stream that it began is whole.
func TestStopCutsNoStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(t, 2)
		defer w.close()
		w.sendStreams(100, w.instances[1].Stop)
	})
}

// The planner's engine orders get no answer for a while, or its instance ends:
// an engine that comes back empty holds layers again some seconds later, and
// none was ordered beyond its memory.
func TestEmptyEngineIsPlaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(t, 3)
		defer w.close()
		w.instances[0].Stop()
		time.Sleep(10 * time.Second)
		e := &stand.Engine{ID: "new", Address: "10.1.64.99:8080", Zone: "east", Card: stand.DefaultDeployment.Cards[0]}
		w.site.AddEngine(e)
		time.Sleep(8 * time.Second)
		if from, to := e.LoadedLayers(); to-from == 0 {
			t.Error("got a new engine without layers after 8s, want some")
		}
	})
}

// The first engine of a long stream leaves, and so do those that go on with it,
// three times in all. Each move is the router's own: the caller reads on to the
// end.
func TestStreamOutlivesLeavingEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(t, 1)
		defer w.close()
		a := w.runLongStream(3, 2500*time.Millisecond, func(int) { w.site.DrainEngine(w.busiestEngine()) })
		if a.body != wholeAnswer("long", 600) {
			t.Errorf("got %d with %d events (%v), want all 600", a.status, a.events, a.err)
		}
	})
}

// The first engines of a stream leave one after the other and go on for long
// with what they have. Each new run is an attempt, of which the route allows two;
// then the stream stays with the engine that leaves, and is whole.
func TestLeavingFirstEnginesCountAsAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(t, 1)
		defer w.close()
		a := w.runLongStream(3, 2500*time.Millisecond, func(int) { w.site.DrainEngine(w.busiestEngine()) })
		if a.body != wholeAnswer("long", 600) {
			t.Errorf("got %d with %d events (%v), want all 600", a.status, a.events, a.err)
		}
		if n := w.site.Runs("long"); n > 2 {
			t.Errorf("got %d runs, want 2 at most", n)
		}
	})
}

// The first engine of a stream is told to hold other layers, three times in a
// row. It refuses what is new and reports to hold nothing, but serves on what it
// has. It is no dead engine: the stream stays with it, or goes on elsewhere as an
// attempt, of which the route allows two, and is whole.
func TestEngineThatChangesLayersIsNotDead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(t, 1)
		defer w.close()
		a := w.runLongStream(3, 1500*time.Millisecond, func(n int) {
			e := w.busiestEngine()
			from, to := e.LoadedLayers()
			w.site.Place(e, from, to-1)
			// Others find out that it refuses, and its report is asked for.
			for k := range 8 {
				go func() { w.request(0, http.MethodPost, "/write/1", fmt.Sprintf("short-%d-%d", n, k), "300,30") }()
			}
		})
		if a.body != wholeAnswer("long", 600) {
			t.Errorf("got %d with %d events (%v), want all 600", a.status, a.events, a.err)
		}
		if n := w.site.Runs("long"); n > 2 {
			t.Errorf("got %d runs, want 2 at most", n)
		}
		time.Sleep(5 * time.Second)
	})
}

// All repeats that are allowed are used up when the first engine of many streams
// leaves; it goes on for long. A stream that may not begin anew elsewhere stays
// with the engine, and its caller gets the whole answer instead of a cut one.
func TestStreamsStayWhenRetryBudgetIsSpent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixtureWithRetry(t, 1, setup.Retry{Ratio: 0, Allowance: 2, Window: 10 * time.Second})
		defer w.close()
		w.runStreams(12, func() {
			for range 3 {
				w.site.DrainEngine(w.busiestEngine())
			}
		})
	})
}

// Engines that a stream passes leave one after the other, and no other path is
// taken for it. While its first engine lives each new run is an attempt, of
// which its route allows two: then the stream stays where it is, and is whole.
func TestMovedStreamStaysWithinAttemptLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(t, 1)
		defer w.close()
		w.site.RejectRepaths()
		a := w.runLongStream(4, 2500*time.Millisecond, func(int) {
			for _, e := range w.site.Engines() {
				if e.Streams() > 0 && e.Running() == 0 {
					w.site.DrainEngine(e)
					break
				}
			}
		})
		if a.body != wholeAnswer("long", 600) {
			t.Errorf("got %d with %d events (%v), want all 600", a.status, a.events, a.err)
		}
		if n := w.site.Runs("long"); n > 2 {
			t.Errorf("got %d runs, want 2 at most", n)
		}
	})
}
