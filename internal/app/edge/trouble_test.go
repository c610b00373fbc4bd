package edge_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fulmarwick/internal/app/setup"
	"fulmarwick/internal/fakes/depot"
	"fulmarwick/platform/stand"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// faultInjector lets engines, orders, the store and the configuration go wrong at random.
type faultInjector struct {
	fixture *fixture
	random  *rand.Rand
	// removed is how many engines ended, left or changed their layers.
	removed, added, version int
	// frozenUntil is until when engines stand still: for less than it takes to count as
	// cut off.
	frozenUntil map[*stand.Engine]time.Time
}

// maxRemovedEngines bounds the engines that are taken away: the others can serve.
const maxRemovedEngines = 12

// injectFault does one thing.
func (r *faultInjector) injectFault() {
	w, all := r.fixture, r.fixture.site.Engines()
	e := all[r.random.IntN(len(all))]
	if r.random.IntN(2) == 0 {
		e = w.busiestReadyEngine()
	}
	takeAway := []func(){
		func() { w.site.DrainEngine(e) },
		func() { w.site.Crash(e) },
		func() { w.site.StopResponding(e) },
		func() {
			if from, to := e.LoadedLayers(); to-from > 1 {
				w.site.Place(e, from, to-1)
			}
		},
	}
	other := []func(){
		func() {
			if now := time.Now(); now.After(r.frozenUntil[e].Add(time.Second)) {
				d := time.Duration(50+r.random.IntN(1000)) * time.Millisecond
				r.frozenUntil[e] = now.Add(d)
				w.site.Freeze(e, d)
			}
		},
		func() { w.site.SetSlowdown(e, 1+4*r.random.Float64()) },
		func() { w.site.RejectRuns(r.random.IntN(3) == 0) },
		r.addEngine,
		r.changeConfig,
		func() { w.site.SetOrderFault(r.randomFaults(150)) },
		func() {
			draw := r.randomFaults(2000)
			w.site.Store.SetFault(func(*http.Request) stand.Fault { return draw() })
		},
	}
	if r.random.IntN(3) == 0 && r.removed < maxRemovedEngines {
		r.removed++
		takeAway[r.random.IntN(len(takeAway))]()
		return
	}
	other[r.random.IntN(len(other))]()
}

// addEngine starts an engine in the place of one that was taken away.
func (r *faultInjector) addEngine() {
	if r.added >= r.removed {
		return
	}
	r.added++
	r.fixture.site.AddEngine(&stand.Engine{
		ID: fmt.Sprintf("new-%d", r.added), Address: fmt.Sprintf("10.1.64.%d:8080", 100+r.added), Zone: "east", Card: stand.DefaultDeployment.Cards[r.random.IntN(3)],
	})
}

// changeConfig puts another key in force.
func (r *faultInjector) changeConfig() {
	r.version++
	value := strings.Replace(string(r.fixture.site.Config(1+r.version)), "key-2", fmt.Sprintf("key-v%d", r.version), 1)
	r.fixture.site.Store.Put("op", "config", []byte(value))
}

// randomFaults is what goes wrong with calls from now on: some are refused, some lost and
// some late by up to so many milliseconds, or none.
func (r *faultInjector) randomFaults(late int) func() stand.Fault {
	share := []float64{0, 0, 0.1, 0.5}[r.random.IntN(4)]
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(r.random.Uint64(), 1))
	return func() stand.Fault {
		mu.Lock()
		defer mu.Unlock()
		if random.Float64() >= share {
			return stand.Fault{}
		}
		return []stand.Fault{{Unavailable: true}, {LoseAnswer: true}, {Delay: time.Duration(random.IntN(late)) * time.Millisecond}}[random.IntN(3)]
	}
}

// Guards against streams that are cut, doubled or run on a third engine in some order
// of leaving, dying, silent, slow, full and returning engines, of orders lost or late,
// and of changes, with many repeats allowed or few.
func TestStreamsUnderRandomFaults(t *testing.T) {
	for seed := range uint64(faultSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testStreamsUnderFaults(t, seed) })
		})
	}
}

func testStreamsUnderFaults(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 2))
	retry := setup.Retry{Ratio: 0.2, Allowance: []float64{4, 40, 196}[random.IntN(3)], Window: 10 * time.Second}
	lines, seen := observer.New(zap.WarnLevel)
	w := newFixtureFrom(t, &depot.Depot{Instances: 2, Retry: retry, Log: zap.New(lines)})
	defer w.close()
	r := &faultInjector{fixture: w, random: random, frozenUntil: map[*stand.Engine]time.Time{}}
	const streams = 120
	var callers sync.WaitGroup
	for n := range streams {
		events := 20 + random.IntN(300)
		callers.Go(func() { w.checkStream(n, events, seen) })
		if n > streams/6 && random.IntN(2) == 0 {
			r.injectFault()
		}
		time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
	}
	w.site.RejectRuns(false)
	w.site.SetOrderFault(nil)
	w.site.Store.SetFault(nil)
	callers.Wait()
	time.Sleep(5 * time.Second)
	for n := range streams {
		if id := fmt.Sprintf("s%d", n); w.site.LiveProducers(id) > 2 {
			t.Errorf("got %s run on %d engines that live, want 2 at most", id, w.site.LiveProducers(id))
		}
	}
}

// checkStream asks for a stream. What its caller gets is the beginning of its own
// answer; less than the whole only where its time is over, two engines that live took it, or it met so many
// deaths that it may be what engines die of, and the log says which; and nothing runs
// after a promise.
func (w *fixture) checkStream(n, events int, seen *observer.ObservedLogs) {
	id := fmt.Sprintf("s%d", n)
	start := time.Now()
	a := w.request(n%2, http.MethodPost, "/write/"+id, id, fmt.Sprintf("%d,%d", 300+10*n, 3*events))
	took := time.Since(start)
	switch {
	case a.err != nil && a.status == 0:
		w.t.Errorf("got %v for %s, want an answer", a.err, id)
	case a.status != http.StatusOK:
		if stand.IsNotExecuted(a.header) && w.site.Runs(id) > 0 {
			w.t.Errorf("got a promise that %s has not run after %d runs, want none", id, w.site.Runs(id))
		}
	case !strings.HasPrefix(wholeAnswer(id, events), a.body):
		w.t.Errorf("got events for %s that are not the beginning of its answer, want them in order and once", id)
	case a.events < events && took < 19*time.Second:
		living, all := w.site.EnginesReached(id)
		why := loggedReason(seen, id)
		if why != "request crashes upstreams" && (why != "attempts used up" || living < 2) {
			w.t.Errorf("got %d of %d events for %s (%v) after %s from %d engines, of which %d live, since %s, want all", a.events, events, id, a.err, took, all, living, why)
		}
	}
}

// loggedReason is what the log says of a request that was not served.
func loggedReason(seen *observer.ObservedLogs, id string) string {
	for _, l := range seen.FilterMessage("edge: request not served").FilterField(zap.String("request", id)).All() {
		return fmt.Sprint(l.ContextMap()["reason"])
	}
	return ""
}
