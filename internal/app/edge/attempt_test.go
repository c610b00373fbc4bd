package edge_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fulmarwick/internal/fakes/inmem"
	"fulmarwick/platform/stand"
)

// departures are the ways in which the instances learn that an engine leaves.
var departures = map[string]func(*stand.Site, *stand.Engine){
	"draining": (*stand.Site).DrainEngine,
	"notice":   func(s *stand.Site, e *stand.Engine) { s.LeaveSilently(e) },
	"unlisted": func(s *stand.Site, e *stand.Engine) { s.RemoveRow(e) },
}

// Guards against a stream that runs on more engines than its attempts allow: its first engines leave, one
// after the other, and live on after their connections were reset.
func TestLeavingEnginesThatLoseConnectionsCountAsAttempts(t *testing.T) {
	for name, leave := range departures {
		for _, delay := range []time.Duration{20 * time.Millisecond, 150 * time.Millisecond, 400 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s %s before", name, delay), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFixture(t, 1)
					defer f.close()
					f.runLongStream(3, 1500*time.Millisecond, func(int) {
						e := f.busiestEngine()
						leave(f.site, e)
						time.Sleep(delay)
						f.site.Net.Reset(e.Address)
					})
					if n := f.site.LiveProducers("long"); n > 2 {
						t.Errorf("got runs on %d engines that are alive, want 2 at most", n)
					}
				})
			})
		}
	}
}

// Guards against a stream that is cut since its first engines count as attempts after they have exited:
// they left, one after the other, before they crashed.
func TestLeavingEnginesThatExitAreNoAttempts(t *testing.T) {
	for name, leave := range departures {
		for _, delay := range []time.Duration{20 * time.Millisecond, 400 * time.Millisecond, 900 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s %s before", name, delay), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFixture(t, 1)
					defer f.close()
					a := f.runLongStream(3, 1500*time.Millisecond, func(int) {
						e := f.busiestEngine()
						leave(f.site, e)
						time.Sleep(delay)
						f.site.Crash(e)
					})
					if a.body != wholeAnswer("long", 600) {
						t.Errorf("got %d with %d events (%v), want all 600", a.status, a.events, a.err)
					}
				})
			})
		}
	}
}

// passedStreams is how many streams are passed on in each way: the engines are chosen at random.
const passedStreams = 8

// passedLookUps is how many look-ups are passed on together.
const passedLookUps = 5

// Guards against a stream that runs on more engines than its attempts allow, since the attempts of the
// instances to which it was passed on are not counted: their engines break it off, or fail it.
func TestPassedStreamsStayWithinAttemptLimit(t *testing.T) {
	// An engine that leaves is not chosen again.
	breakOff := func(f *fixture) {
		e := f.busiestEngine()
		f.site.DrainEngine(e)
		f.site.Net.Reset(e.Address)
	}
	tests := map[string]struct {
		// cutFirst means that the links are cut before the stream begins.
		cutFirst bool
		fail     func(f *fixture)
	}{
		"broken off":        {true, breakOff},
		"broken off, begun": {false, breakOff},
		"failed, begun":     {false, func(f *fixture) { f.site.FailRuns(stand.RunError) }},
	}
	for name, test := range tests {
		for n := range passedStreams {
			t.Run(fmt.Sprintf("%s %d", name, n), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFixture(t, 4)
					defer f.close()
					if test.cutFirst {
						f.site.CutInstance("edge-0", inmem.CutReset)
						time.Sleep(time.Second)
					}
					f.runLongStream(4, 700*time.Millisecond, func(int) {
						test.fail(f)
						f.site.CutInstance("edge-0", inmem.CutReset)
						time.AfterFunc(600*time.Millisecond, func() { f.site.FailRuns(stand.RunServed) })
					})
					if n := f.site.LiveProducers("long"); n > 2 {
						t.Errorf("got runs on %d engines that are alive, want 2 at most", n)
					}
				})
			})
		}
	}
}

// Guards against a look-up that runs more often than its attempts allow, since instances to which it was
// passed on are lost after they made several attempts.
func TestPassedLookUpsStayWithinAttemptLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, processes := newProcessFixture(t, 4)
		defer time.Sleep(inmem.ConnectTimeout)
		defer f.close()
		for _, u := range f.site.PlainUpstreams() {
			u.ChooseOutcome = func(*http.Request) stand.Outcome { return stand.OutcomeHang }
		}
		f.site.CutInstance("edge-0", inmem.CutReset)
		time.Sleep(time.Second)
		var callers sync.WaitGroup
		for n := range passedLookUps {
			callers.Go(func() { f.request(0, http.MethodGet, "/look/1", fmt.Sprintf("look%d", n), "") })
		}
		for range 3 {
			time.Sleep(700 * time.Millisecond)
			for _, p := range processes[1:] {
				f.site.Net.Reset(p.settings.Listen.Mesh)
			}
		}
		callers.Wait()
		for n := range passedLookUps {
			if runs := f.site.Runs(fmt.Sprintf("look%d", n)); runs > 2 {
				t.Errorf("got %d runs of look-up %d, want 2 at most", runs, n)
			}
		}
		for _, p := range processes {
			p.end()
		}
	})
}

// Guards against a stream that runs on more engines than its attempts allow, since engines that begin it lose
// the connection before its first event, which looks like an idle connection that was closed.
func TestRunsLostBeforeTheirFirstEventCountAsAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1)
		defer f.close()
		f.sendStreams(100, func() {})
		var callers sync.WaitGroup
		time.AfterFunc(500*time.Millisecond, func() { f.site.FailRuns(stand.RunLost) })
		for n := range 100 {
			callers.Go(func() { f.request(0, http.MethodPost, "/write/1", fmt.Sprintf("lost%d", n), "300,60") })
			time.Sleep(20 * time.Millisecond)
		}
		callers.Wait()
		for n := range 100 {
			if n := f.site.LiveProducers(fmt.Sprintf("lost%d", n)); n > 2 {
				t.Errorf("got runs on %d engines that are alive, want 2 at most", n)
			}
		}
	})
}

// Guards against a stream that is refused or cut since its engine had closed the idle connections.
func TestClosedIdleConnectionsCostNoStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1)
		defer f.close()
		f.sendStreams(60, func() {})
		for _, e := range f.site.Engines() {
			f.site.Net.Reset(e.Address)
		}
		f.sendStreams(60, func() {})
	})
}

// Guards against a stream that runs on more engines than its attempts allow, since an engine that did not answer
// for a while, and answers again, is no attempt any more.
func TestEngineThatAnswersAgainCountsAsAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1)
		defer f.close()
		var first *stand.Engine
		actions := []func(){
			func() {
				first = f.busiestEngine()
				f.site.Freeze(first, 2500*time.Millisecond)
				time.Sleep(1300 * time.Millisecond)
			},
			func() {
				second := f.busiestEngineOf(func(e *stand.Engine) bool { return e != first })
				f.site.DrainEngine(second)
				f.site.Net.Reset(second.Address)
				time.Sleep(time.Second)
				f.site.DrainEngine(first)
			},
			func() { f.site.Crash(f.busiestEngineOf(func(e *stand.Engine) bool { return e != first })) },
		}
		f.runLongStream(len(actions), 0, func(n int) { actions[n]() })
		if n := f.site.LiveProducers("long"); n > 2 {
			t.Errorf("got runs on %d engines that are alive, want 2 at most", n)
		}
	})
}

// Guards against an empty answer that looks whole, in place of the failure with which engines answered a stream that
// was passed on.
func TestFailureOfPassedStreamIsForwarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 4)
		defer f.close()
		f.site.CutInstance("edge-0", inmem.CutReset)
		time.Sleep(time.Second)
		f.site.FailRuns(stand.RunError)
		a := f.request(0, http.MethodPost, "/write/1", "failed", "300,60")
		if a.status != http.StatusInternalServerError || !stand.IsSealed(a.header) || a.body != "" {
			t.Errorf("got %d, sealed %v, with body %q, want the engine's 500", a.status, stand.IsSealed(a.header), a.body)
		}
		for name := range a.header {
			if strings.HasPrefix(name, "Fulmarwick") {
				t.Errorf("got the header %s, want none that is meant for instances", name)
			}
		}
	})
}
