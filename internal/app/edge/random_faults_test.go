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

// faultInjector injects random faults into engines, load orders and store calls, and
// changes the configuration.
type faultInjector struct {
	fixture *fixture
	random  *rand.Rand
	// removed is how many engines crashed, stopped responding, left or changed their
	// layers.
	removed, added, version int
	// restoresStore means that the store may come back from an older copy.
	restoresStore bool
	// resetsConns means that connections to engines may be reset.
	resetsConns bool
	// frozenUntil is when each engine's last freeze ends. Freezes are shorter than the
	// time after which an engine counts as cut off.
	frozenUntil map[*stand.Engine]time.Time
}

// maxRemovedEngines limits how many engines are removed, so that the others can serve
// all requests.
const maxRemovedEngines = 12

// injectFault injects one random fault or change.
func (inj *faultInjector) injectFault() {
	f, all := inj.fixture, inj.fixture.site.Engines()
	e := all[inj.random.IntN(len(all))]
	if inj.random.IntN(2) == 0 {
		e = f.busiestReadyEngine()
	}
	removals := []func(){
		func() { f.site.DrainEngine(e) },
		func() { f.site.Crash(e) },
		func() { f.site.StopResponding(e) },
		func() {
			if from, to := e.LoadedLayers(); to-from > 1 {
				f.site.Place(e, from, to-1)
			}
		},
	}
	disturbances := []func(){
		func() {
			if now := time.Now(); now.After(inj.frozenUntil[e].Add(time.Second)) {
				d := time.Duration(50+inj.random.IntN(1000)) * time.Millisecond
				inj.frozenUntil[e] = now.Add(d)
				f.site.Freeze(e, d)
			}
		},
		func() { f.site.SetSlowdown(e, 1+4*inj.random.Float64()) },
		func() { f.site.RejectRuns(inj.random.IntN(3) == 0) },
		inj.addEngine,
		inj.changeConfig,
		func() { f.site.SetOrderFault(inj.randomFaults(150)) },
		func() {
			nextFault := inj.randomFaults(2000)
			f.site.Store.SetFault(func(*http.Request) stand.Fault { return nextFault() })
		},
	}
	if inj.restoresStore {
		disturbances = append(disturbances, inj.restoreStore, inj.restoreStore)
	}
	if inj.resetsConns {
		reset := func() { f.site.Net.Reset(e.Address) }
		disturbances = append(disturbances, reset, reset, reset)
	}
	if inj.random.IntN(3) == 0 && inj.removed < maxRemovedEngines {
		inj.removed++
		removals[inj.random.IntN(len(removals))]()
		return
	}
	disturbances[inj.random.IntN(len(disturbances))]()
}

// addEngine starts an engine that replaces a removed one, if one is left to replace.
func (inj *faultInjector) addEngine() {
	if inj.added >= inj.removed {
		return
	}
	inj.added++
	inj.fixture.site.AddEngine(&stand.Engine{
		ID: fmt.Sprintf("new-%d", inj.added), Address: fmt.Sprintf("10.1.64.%d:8080", 100+inj.added), Zone: "east", Card: stand.DefaultDeployment.Cards[inj.random.IntN(3)],
	})
}

// restoreStore has the store come back from a copy of up to six seconds ago. The operator and the
// upstreams write again soon.
func (inj *faultInjector) restoreStore() {
	store := inj.fixture.site.Store
	lost := store.Restore(time.Duration(inj.random.IntN(6000)) * time.Millisecond)
	time.AfterFunc(time.Duration(inj.random.IntN(1500))*time.Millisecond, func() { store.Rewrite(lost) })
}

// changeConfig writes a configuration with another API key.
func (inj *faultInjector) changeConfig() {
	inj.version++
	value := strings.Replace(string(inj.fixture.site.Config(1+inj.version)), "key-2", fmt.Sprintf("key-v%d", inj.version), 1)
	inj.fixture.site.Store.Put("op", "config", []byte(value))
}

// randomFaults returns a function that chooses the fault of each call. A random share of
// calls is rejected, loses its answer or is delayed by less than maxDelayMS
// milliseconds; the share may be zero.
func (inj *faultInjector) randomFaults(maxDelayMS int) func() stand.Fault {
	share := []float64{0, 0, 0.1, 0.5}[inj.random.IntN(4)]
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(inj.random.Uint64(), 1))
	return func() stand.Fault {
		mu.Lock()
		defer mu.Unlock()
		if random.Float64() >= share {
			return stand.Fault{}
		}
		return []stand.Fault{{Unavailable: true}, {LoseAnswer: true}, {Delay: time.Duration(random.IntN(maxDelayMS)) * time.Millisecond}}[random.IntN(3)]
	}
}

// Guards against streams that are cut, get events twice or run on a third engine under a
// random sequence of faults: engines leave, crash, stop responding, slow down, lack
// memory and return, load orders are lost or late, and the configuration changes. The
// retry budget is large or small.
func TestStreamsUnderRandomFaults(t *testing.T) {
	for seed := range uint64(faultSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testStreamsUnderFaults(t, seed, faultInjector{}) })
		})
	}
}

// Guards against the same where the store also comes back from older copies.
func TestStreamsUnderRandomFaultsAndRestores(t *testing.T) {
	for seed := range uint64(faultSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testStreamsUnderFaults(t, 100+seed, faultInjector{restoresStore: true}) })
		})
	}
}

// Guards against the same where connections to engines, also to those that leave, are reset too.
func TestStreamsUnderRandomFaultsAndResets(t *testing.T) {
	for seed := range uint64(faultSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testStreamsUnderFaults(t, 200+seed, faultInjector{resetsConns: true}) })
		})
	}
}

// testStreamsUnderFaults injects faults of a kind: those that every injector has, and what it has besides.
func testStreamsUnderFaults(t *testing.T, seed uint64, kind faultInjector) {
	random := rand.New(rand.NewPCG(seed, 2))
	retry := setup.Retry{Ratio: 0.2, Allowance: []float64{4, 40, 196}[random.IntN(3)], Window: 10 * time.Second}
	core, logs := observer.New(zap.WarnLevel)
	f := newFixtureFrom(t, &depot.Depot{Instances: 2, Retry: retry, Log: zap.New(core)})
	defer f.close()
	inj := &faultInjector{fixture: f, random: random, restoresStore: kind.restoresStore, resetsConns: kind.resetsConns, frozenUntil: map[*stand.Engine]time.Time{}}
	const streams = 120
	var callers sync.WaitGroup
	for n := range streams {
		events := 20 + random.IntN(300)
		callers.Go(func() { f.checkStream(n, events, logs) })
		if n > streams/6 && random.IntN(2) == 0 {
			inj.injectFault()
		}
		time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
	}
	f.site.RejectRuns(false)
	f.site.SetOrderFault(nil)
	f.site.Store.SetFault(nil)
	callers.Wait()
	time.Sleep(5 * time.Second)
	for n := range streams {
		if id := fmt.Sprintf("s%d", n); f.site.LiveProducers(id) > 2 {
			t.Errorf("got %s run on %d engines that are alive, want 2 at most", id, f.site.LiveProducers(id))
		}
	}
}

// checkStream requests a stream and checks its answer, which must be a prefix of the
// request's own answer. It may be incomplete only if the deadline is over, if two
// engines that are alive accepted the request, or if so many of its engines died that
// the request may have crashed them; the log must name the reason. A request that was
// reported as not executed must not have run.
func (f *fixture) checkStream(n, events int, logs *observer.ObservedLogs) {
	id := fmt.Sprintf("s%d", n)
	start := time.Now()
	a := f.request(n%2, http.MethodPost, "/write/"+id, id, fmt.Sprintf("%d,%d", 300+10*n, 3*events))
	took := time.Since(start)
	switch {
	case a.err != nil && a.status == 0:
		f.t.Errorf("got error %v for %s, want an answer", a.err, id)
	case a.status != http.StatusOK:
		if stand.IsNotExecuted(a.header) && f.site.Runs(id) > 0 {
			f.t.Errorf("got %s reported as not executed after %d runs, want no runs", id, f.site.Runs(id))
		}
	case !strings.HasPrefix(wholeAnswer(id, events), a.body):
		f.t.Errorf("got events for %s that are not a prefix of its answer, want each once and in order", id)
	case a.events < events && took < 19*time.Second:
		living, all := f.site.EnginesReached(id)
		reason := loggedReason(logs, id)
		if reason != "request crashes upstreams" && (reason != "attempts used up" || living < 2) {
			f.t.Errorf("got %d of %d events for %s (%v) after %s from %d engines, %d of them alive, reason %q, want all events", a.events, events, id, a.err, took, all, living, reason)
		}
	}
}

// loggedReason returns the reason in the log entry for a request that was not served,
// empty if there is none.
func loggedReason(logs *observer.ObservedLogs, id string) string {
	for _, l := range logs.FilterMessage("edge: request not served").FilterField(zap.String("request", id)).All() {
		return fmt.Sprint(l.ContextMap()["reason"])
	}
	return ""
}
