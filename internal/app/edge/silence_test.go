package edge_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fulmarwick/internal/fakes/depot"
	"fulmarwick/platform/stand"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// Guards against a begun stream that is cut since its engines paused, one after the other.
func TestStreamOutlivesPausedEngines(t *testing.T) {
	for _, pause := range []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, time.Second, 1400 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				core, logs := observer.New(zap.InfoLevel)
				f := newFixtureFrom(t, &depot.Depot{Instances: 1, Log: zap.New(core)})
				defer f.close()
				a := f.runLongStream(4, pause, func(int) {
					if e := f.busiestEngine(); e.Running() > 0 {
						f.site.Freeze(e, pause)
					}
				})
				if a.body != wholeAnswer("long", 600) {
					t.Errorf("got %d with %d events (%v, reason %q), want all 600", a.status, a.events, a.err, loggedReason(logs, "long"))
				}
				if a.longestGap > callerPatience {
					t.Errorf("got a pause of %s, want %s at most: callers leave then", a.longestGap, callerPatience)
				}
				if n := f.site.LiveProducers("long"); n > 2 {
					t.Errorf("got the stream run on %d engines, want 2 at most", n)
				}
			})
		})
	}
}

// Guards against an engine that gets no runs any more after it paused.
func TestPausedEngineServesAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2)
		defer f.close()
		var paused *stand.Engine
		f.sendStreams(100, func() {
			paused = f.busiestEngine()
			f.site.Freeze(paused, time.Second)
		})
		time.Sleep(2 * time.Second)
		served := 0
		f.sendStreams(100, func() { served = paused.Streams() })
		if served == 0 {
			t.Errorf("got no stream on %s two seconds after its pause, want some", paused.ID)
		}
	})
}

const (
	// pauseRound is the time between two pauses of engines, pauseRounds their number.
	pauseRound  = 1500 * time.Millisecond
	pauseRounds = 8
	// changeInterval is the time between two changes of the configuration.
	changeInterval = 1100 * time.Millisecond
	// pausedStreams is the number of streams of a drawn case.
	pausedStreams = 600
)

// callerPatience is how long a caller waits for an event before it leaves.
const callerPatience = 2 * time.Second

// sendPatient sends a request whose caller leaves if its answer does not begin in time.
func (f *fixture) sendPatient(k int, path, id, tokens string) callerResponse {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	req, err := stand.NewRequest(ctx, http.MethodPost, "http://"+depot.Settings(k).Listen.Callers+path, id, tokens)
	if err != nil {
		f.t.Fatal(err)
	}
	start := time.Now()
	patience := time.AfterFunc(callerPatience, cancel)
	resp, err := f.clients[k].Do(req)
	if err != nil {
		return callerResponse{err: err}
	}
	patience.Stop()
	defer func() { _ = resp.Body.Close() }()
	a := callerResponse{status: resp.StatusCode, header: resp.Header}
	a.readEvents(resp.Body, start)
	return a
}

// Guards against streams that are cut, sound requests that get an error or are held to crash engines,
// and layers that are placed anew, while engines pause and go on and the configuration changes.
func TestDrawnPausesOfEnginesLoseNoRequest(t *testing.T) {
	for seed := range uint64(pauseSeeds) {
		for _, engines := range []int{2, 6} {
			for _, changes := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d engines, changes %v, seed %d", engines, changes, seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { testDrawnPauses(t, seed, engines, changes) })
				})
			}
		}
	}
}

func testDrawnPauses(t *testing.T, seed uint64, engines int, changes bool) {
	core, logs := observer.New(zap.InfoLevel)
	f := newFixtureFrom(t, &depot.Depot{Instances: 4, Log: zap.New(core)})
	defer f.close()
	countOrders := func() int { return logs.FilterMessage("edge: load order").Len() }
	ordersBefore := countOrders()
	inj := &faultInjector{fixture: f, random: rand.New(rand.NewPCG(seed, 3)), frozenUntil: map[*stand.Engine]time.Time{}}
	var all sync.WaitGroup
	all.Go(func() { inj.pauseEngines(engines) })
	if changes {
		all.Go(func() {
			for end := time.Now().Add(pauseRounds * pauseRound); time.Now().Before(end); time.Sleep(changeInterval) {
				inj.changeConfig()
			}
		})
	}
	answers := make([]callerResponse, pausedStreams)
	for n := range answers {
		all.Go(func() {
			id := fmt.Sprintf("s%d", n)
			answers[n] = f.sendPatient(n%4, "/write/"+id, id, "700,180")
		})
		time.Sleep(20 * time.Millisecond)
	}
	all.Wait()
	cut, failed, refused, left := 0, 0, 0, 0
	for n, a := range answers {
		id := fmt.Sprintf("s%d", n)
		switch {
		case errors.Is(a.err, context.Canceled):
			left++
		case a.status == http.StatusServiceUnavailable:
			refused++
		case a.status != http.StatusOK:
			failed++
		case a.body != wholeAnswer(id, 60) || a.longestGap > callerPatience:
			cut++
		}
		if n := f.site.LiveProducers(id); n > 2 {
			t.Errorf("got %s run on %d engines, want 2 at most", id, n)
		}
	}
	convicted := 0
	for _, l := range logs.FilterMessage("edge: request not served").All() {
		if reason := fmt.Sprint(l.ContextMap()["reason"]); reason == "request crashes upstreams" || strings.HasPrefix(reason, "upstreams ended") {
			convicted++
		}
	}
	if cut > 0 || failed > 0 || convicted > 0 {
		t.Errorf("got %d of %d streams cut, %d failed and %d given up as ones that crash engines, want none", cut, len(answers), failed, convicted)
	}
	if 10*(refused+left) > len(answers) {
		t.Errorf("got %d of %d requests refused and %d callers that left, want a tenth at most", refused, len(answers), left)
	}
	if n := countOrders() - ordersBefore; n > 0 {
		t.Errorf("got %d orders to load layers, want none: no engine was lost", n)
	}
}

// pauseEngines pauses some engines in each round, half of them the busiest at that time, and none
// twice within a second.
func (inj *faultInjector) pauseEngines(count int) {
	f := inj.fixture
	for range pauseRounds {
		for range count {
			all := f.site.Engines()
			e := all[inj.random.IntN(len(all))]
			if inj.random.IntN(2) == 0 {
				e = f.busiestEngineOf(func(e *stand.Engine) bool { return e.Serving() && time.Now().After(inj.frozenUntil[e]) })
			}
			if e == nil || time.Now().Before(inj.frozenUntil[e].Add(time.Second)) {
				continue
			}
			d := time.Duration(800+inj.random.IntN(700)) * time.Millisecond
			inj.frozenUntil[e] = time.Now().Add(d)
			f.site.Freeze(e, d)
		}
		time.Sleep(pauseRound)
	}
}

// Guards against sound requests that are refused as ones under which upstreams end, since the upstreams of
// their service paused while they ran and accepted no connection for that time.
func TestPausedPlainUpstreamsConvictNoRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, logs := observer.New(zap.InfoLevel)
		f := newFixtureFrom(t, &depot.Depot{Instances: 2, Log: zap.New(core)})
		defer f.close()
		for round := range 4 {
			var callers sync.WaitGroup
			send := func(prefix string) {
				for k := range 6 {
					callers.Go(func() {
						crashClasses["safe"].send(f, k%2, fmt.Sprintf("%s%d-%d", prefix, round, k), 100*time.Millisecond)
					})
				}
			}
			send("early")
			time.Sleep(10 * time.Millisecond)
			for _, u := range f.site.PlainUpstreams() {
				f.site.PausePlainUpstream(u, 1200*time.Millisecond)
			}
			for range 5 {
				time.Sleep(150 * time.Millisecond)
				f.request(round%2, http.MethodGet, "/look/other", fmt.Sprintf("other%d-%d", round, time.Now().UnixNano()), "")
			}
			callers.Wait()
			time.Sleep(3 * time.Second)
		}
		if a := crashClasses["safe"].send(f, 0, "last", 0); a.status != http.StatusOK {
			t.Errorf("got %d %q, want the request served", a.status, a.body)
		}
		if l := logs.FilterMessage("edge: standing of a suspect changed").All(); len(l) > 0 {
			t.Errorf("got %d changes of standings, the first %v, want none", len(l), l[0].ContextMap())
		}
	})
}

// Guards against an engine that hangs for good and is never held dead, since all of its runs have left it:
// nothing would replace its layers, and a stream that ran on it would have no attempt left.
func TestHungEngineWithoutRunsIsDead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, logs := observer.New(zap.WarnLevel)
		f := newFixtureFrom(t, &depot.Depot{Instances: 1, Log: zap.New(core)})
		defer f.close()
		var hung *stand.Engine
		a := f.runLongStream(1, 2500*time.Millisecond, func(int) {
			time.Sleep(2 * time.Second)
			hung = f.busiestEngine()
			f.site.StopResponding(hung)
		})
		if a.body != wholeAnswer("long", 600) {
			t.Errorf("got %d with %d events (%v), want all 600", a.status, a.events, a.err)
		}
		if logs.FilterMessage("edge: engine is dead").FilterField(zap.String("engine", hung.ID)).Len() == 0 {
			t.Errorf("got %s not held dead, want it dead 1.5s after it fell silent", hung.ID)
		}
	})
}
