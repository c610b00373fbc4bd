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

// flood sends n streams of 60 events, one every 20 ms, while event happens
// after half of them. It returns the answers.
func (w *world) flood(n int, event func()) []answer {
	got := make([]answer, n)
	var callers sync.WaitGroup
	for k := range n {
		if k == n/2 {
			event()
		}
		callers.Go(func() {
			id := fmt.Sprintf("f%d", k)
			got[k] = w.ask(k%len(w.instances), http.MethodPost, "/write/1", id, "700,180")
			if want := whole(id, 60); got[k].status != http.StatusOK || got[k].body != want {
				w.t.Errorf("got %d with %d events (%v) for %s, want 60", got[k].status, got[k].events, got[k].err, id)
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	callers.Wait()
	return got
}

// late is how many answers paused for longer than a time.
func late(all []answer, most time.Duration) int {
	n := 0
	for _, a := range all {
		if a.longest > most {
			n++
		}
	}
	return n
}

// longStream runs a stream of 600 events, named long, and lets event happen several
// times while it is answered: each time half a second on, with a rest after it.
func (w *world) longStream(times int, rest time.Duration, event func(n int)) answer {
	done := make(chan answer)
	go func() { done <- w.ask(0, http.MethodPost, "/write/1", "long", "300,1800") }()
	for n := range times {
		time.Sleep(500 * time.Millisecond)
		event(n)
		time.Sleep(rest)
	}
	return <-done
}

// busiest is the engine with the most runs as their first, or one that is on
// no path as first but holds layers of the middle.
func (w *world) busiest() *stand.Engine {
	return w.busiestOf(func(*stand.Engine) bool { return true })
}

// busiestOf is the engine with the most runs as their first among some.
func (w *world) busiestOf(some func(*stand.Engine) bool) *stand.Engine {
	var best *stand.Engine
	for _, e := range w.site.Engines() {
		if some(e) && (best == nil || e.Running() > best.Running()) {
			best = e
		}
	}
	return best
}

// middle is an engine of the same data centre that holds the layers after e.
func (w *world) middle(e *stand.Engine) *stand.Engine {
	_, to := e.Held()
	for _, other := range w.site.Engines() {
		if from, _ := other.Held(); from == to && other.Zone == e.Zone {
			return other
		}
	}
	w.t.Fatal("got no engine after the busiest one, want one")
	return nil
}

// A later stage falls silent under load, without a reset. The streams that
// pass it go on over another path: every answer is whole, and 9 in 10 of all
// pause no longer than the target of 200 ms.
func TestDarkLaterStage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := open(t, 4)
		defer w.close()
		got := w.flood(200, func() { w.site.Darken(w.middle(w.busiest())) })
		if n := late(got, 200*time.Millisecond); n > len(got)/10 {
			t.Errorf("got %d of %d answers with a pause over 200ms, want a tenth at most", n, len(got))
		}
	})
}

// The first stage of many streams dies, by silence or by a crash. Its streams
// are resumed by other engines after the last event that their callers have.
func TestDeadFirstStage(t *testing.T) {
	for name, end := range map[string]func(*stand.Site, *stand.Engine){"dark": (*stand.Site).Darken, "crash": (*stand.Site).Crash} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := open(t, 4)
				defer w.close()
				got := w.flood(200, func() { end(w.site, w.busiest()) })
				if n := late(got, time.Second); n > 0 {
					t.Errorf("got %d answers with a pause over a second, want none", n)
				}
			})
		})
	}
}

// An engine says that it leaves. After two seconds no new run comes to it, and
// the streams that it carried are whole.
func TestLeavingEngineGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := open(t, 4)
		defer w.close()
		var gone *stand.Engine
		w.flood(200, func() {
			gone = w.busiest()
			w.site.Drain(gone)
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
func TestBookingRunsOnce(t *testing.T) {
	tests := []struct {
		name    string
		outcome stand.Outcome
		status  int
		runs    int
	}{
		{"answer lost", stand.OutcomeLose, http.StatusBadGateway, 1},
		{"hangs", stand.OutcomeHang, http.StatusGatewayTimeout, 1},
		{"fails", stand.OutcomeFail, http.StatusInternalServerError, 1},
		{"refuses", stand.OutcomeShed, http.StatusServiceUnavailable, 0},
		{"answers another first", stand.OutcomeForeign, http.StatusOK, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := open(t, 1)
				defer w.close()
				for _, d := range w.site.Desks() {
					d.Answer = func(*http.Request) stand.Outcome { return test.outcome }
				}
				a := w.ask(0, http.MethodPost, "/book/1", "b", "")
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
func TestLookUpGoesElsewhere(t *testing.T) {
	for name, outcome := range map[string]stand.Outcome{"lose": stand.OutcomeLose, "hang": stand.OutcomeHang, "shed": stand.OutcomeShed, "fail": stand.OutcomeFail} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := open(t, 1)
				defer w.close()
				w.site.Desks()[0].Answer = func(*http.Request) stand.Outcome { return outcome }
				for n := range 20 {
					id := fmt.Sprintf("l%d", n)
					start := time.Now()
					a := w.ask(0, http.MethodGet, "/look/1", id, "")
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
func TestRefusedInstanceLearnsFromOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := open(t, 3)
		defer w.close()
		var cut atomic.Bool
		w.site.Store.SetTrouble(func(r *http.Request) stand.Trouble {
			return stand.Trouble{Down: cut.Load() && strings.HasPrefix(r.Header.Get("User-Agent"), depot.Settings(0).Instance.Name)}
		})
		cut.Store(true)
		time.Sleep(3 * time.Second)
		w.site.Store.Put("op", "config", []byte(strings.Replace(string(w.site.Config(2)), "key-1", "key-0", 1)))
		w.site.Store.Forget()
		time.Sleep(2 * time.Second)
		for k := range w.instances {
			if a := w.ask(k, http.MethodPost, "/book/1", fmt.Sprintf("k%d", k), ""); a.status != http.StatusUnauthorized {
				t.Errorf("got %d from instance %d, want 401 for the dropped key", a.status, k)
			}
		}
	})
}

// The store is away for 20 seconds under load. Every answer comes, whole.
func TestStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := open(t, 2)
		defer w.close()
		var down atomic.Bool
		w.site.Store.SetTrouble(func(*http.Request) stand.Trouble { return stand.Trouble{Silent: down.Load()} })
		w.flood(400, func() { down.Store(true) })
		time.Sleep(20 * time.Second)
		w.flood(50, func() { down.Store(false) })
	})
}

// An instance is told to stop under load. Callers who come on kept connections
// are answered and turned away; every stream that it began is whole.
func TestStopCutsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := open(t, 2)
		defer w.close()
		w.flood(100, w.instances[1].Stop)
	})
}

// The planner's engine orders get no answer for a while, or its instance ends:
// an engine that comes back empty holds layers again some seconds later, and
// none was ordered beyond its memory.
func TestEmptyEngineIsPlaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := open(t, 3)
		defer w.close()
		w.instances[0].Stop()
		time.Sleep(10 * time.Second)
		e := &stand.Engine{ID: "new", Address: "10.1.64.99:8080", Zone: "east", Card: stand.Usual.Cards[0]}
		w.site.AddEngine(e)
		time.Sleep(8 * time.Second)
		if from, to := e.Held(); to-from == 0 {
			t.Error("got a new engine without layers after 8s, want some")
		}
	})
}

// The first engine of a long stream leaves, and so do those that go on with it,
// three times in all. Each move is the router's own: the caller reads on to the
// end.
func TestStreamOutlivesLeavingEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := open(t, 1)
		defer w.close()
		a := w.longStream(3, 2500*time.Millisecond, func(int) { w.site.Drain(w.busiest()) })
		if a.body != whole("long", 600) {
			t.Errorf("got %d with %d events (%v), want all 600", a.status, a.events, a.err)
		}
	})
}

// The first engines of a stream leave one after the other and go on for long
// with what they have. Each new run is an attempt, of which the route allows two;
// then the stream stays with the engine that leaves, and is whole.
func TestLeavingFirstEnginesAreAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := open(t, 1)
		defer w.close()
		a := w.longStream(3, 2500*time.Millisecond, func(int) { w.site.Drain(w.busiest()) })
		if a.body != whole("long", 600) {
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
		w := open(t, 1)
		defer w.close()
		a := w.longStream(3, 1500*time.Millisecond, func(n int) {
			e := w.busiest()
			from, to := e.Held()
			w.site.Place(e, from, to-1)
			// Others find out that it refuses, and its report is asked for.
			for k := range 8 {
				go func() { w.ask(0, http.MethodPost, "/write/1", fmt.Sprintf("short-%d-%d", n, k), "300,30") }()
			}
		})
		if a.body != whole("long", 600) {
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
func TestStreamsStayWhereNoRepeatIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := openWith(t, 1, setup.Retry{Ratio: 0, Allowance: 2, Window: 10 * time.Second})
		defer w.close()
		w.streamsAcross(12, func() {
			for range 3 {
				w.site.Drain(w.busiest())
			}
		})
	})
}

// Engines that a stream passes leave one after the other, and no other path is
// taken for it. While its first engine lives each new run is an attempt, of
// which its route allows two: then the stream stays where it is, and is whole.
func TestMovedStreamKeepsToItsAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := open(t, 1)
		defer w.close()
		w.site.RefusePaths()
		a := w.longStream(4, 2500*time.Millisecond, func(int) {
			for _, e := range w.site.Engines() {
				if e.Streams() > 0 && e.Running() == 0 {
					w.site.Drain(e)
					break
				}
			}
		})
		if a.body != whole("long", 600) {
			t.Errorf("got %d with %d events (%v), want all 600", a.status, a.events, a.err)
		}
		if n := w.site.Runs("long"); n > 2 {
			t.Errorf("got %d runs, want 2 at most", n)
		}
	})
}
